"""Writes the files that a relay leaves in its state folder for a later process, with fixed times and names.

The journal, traces and the cluster's durable state have separate golden data. ``tests/data/relay/v1`` is the output of
``write`` at commit d667dea, the last before a renaming. Never regenerate it: files written by the renamed program do
not show that it still reads those of the earlier one. If a format changes, add a folder for the new one beside ``v1``.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from pathlib import Path
from unittest import mock

import orjson

from lynxscale.relay import wall_clock as wall
from lynxscale.relay.counters import Counters
from lynxscale.relay.outcome_log import OutcomeLog
from lynxscale.relay.upgrade import journal_folders, learned_file
from lynxscale.relay.upgrade.board import Board, Stage
from lynxscale.relay.upstream.files import digest_of
from lynxscale.relay.upstream.list_store import ListStore
from lynxscale.scheduling.events import Result
from lynxscale.scheduling.learned_state import export
from tests.scheduling.driver import Driver, member

DATA = Path(__file__).parent / "data" / "relay" / "v1"
UNIX_NS = 1_800_000_000_123_456_000
NOW_US = 5_000_000
BOOT_ID, BOOT_UNIX_US = "7d3a3c1e-0000-4000-8000-000000000001", 1_799_999_000_000_000
LIST_PATH, LIST = "/etc/lynx/lists/north unit.list", b"endpoint a 10.0.0.1:90\n"
AWAITING_LIST = b"endpoint b 10.0.0.2:90\n"
VERDICTS = [{"at": 1.5, "digest": digest_of(LIST), "verdict": "applied"}, {"digest": digest_of(AWAITING_LIST)}]
ENDPOINTS = {11: ("a", "127.0.0.1:1"), 12: ("b", "127.0.0.1:2")}
TAKEN, RELEASED = [1, 77, 2**40], [3, 4]
OUTCOMES_FILE = "finals.jsonl"


class ManualDeadlines:
    """In place of ``Deadlines``: collects callbacks, which the test runs itself."""

    def __init__(self) -> None:
        self.callbacks: list[Callable[[], None]] = []

    def after(self, delay_us: int, callback: Callable[[], None]) -> None:
        """Keep a callback."""
        self.callbacks.append(callback)


def learned_state() -> tuple[dict, Driver]:
    """The learned state of a scheduler with two destinations, one of which asked it to wait; and its driver."""
    old = Driver(members=[member(11), member(12, dest=2)])
    old.warm_up(30)
    old.finish(old.message(dest=2), Result.FULL, wait=500.0)
    return orjson.loads(orjson.dumps(export(old.scheduler))), old


def write(state: Path) -> None:
    """Write all files, by the program's own functions."""
    state.mkdir(parents=True, exist_ok=True)
    _write_lists(state)
    _write_outcomes(state)
    _write_upgrade(state)
    wall._save(state / wall.FILE, BOOT_ID, BOOT_UNIX_US)
    with mock.patch.object(time, "time_ns", lambda: UNIX_NS):
        learned_file.save(state, learned_state()[0], ENDPOINTS.get, NOW_US)


def _write_lists(state: Path) -> None:
    lists = ListStore(state)
    lists.save_good(LIST_PATH, digest_of(LIST), LIST)
    lists.save_awaiting(digest_of(AWAITING_LIST), AWAITING_LIST)
    lists.approve(digest_of(AWAITING_LIST), "operator")
    lists.append_verdicts(VERDICTS)


def _write_outcomes(state: Path) -> None:
    deadlines = ManualDeadlines()
    outcomes = OutcomeLog(
        state / OUTCOMES_FILE, 1 << 20, 1, deadlines, lambda number: None, Counters(), lambda: 1_800_000_000.1234
    )
    outcomes.enqueue(1, "m-1", "expired", 0)
    outcomes.enqueue(2, "m-2", "refused", 1500)
    for callback in deadlines.callbacks:
        callback()


def _write_upgrade(state: Path) -> None:
    predecessor, successor = Board(state).halves()
    predecessor.begin(4, 99)
    predecessor.set_stage(Stage.HANDED_OVER)
    predecessor.set_in_flight(3)
    predecessor.publish_wait(7, NOW_US + 1000, NOW_US)
    predecessor.publish_wait(8, NOW_US + 2000, NOW_US)
    successor.begin(5, 99)
    successor.set_stage(Stage.READY)
    folder = journal_folders.folder_of(state, 2)
    folder.mkdir()
    inherited = journal_folders.InheritedJournal(state, 2)
    inherited.mark_taken(TAKEN)
    inherited.close()
    journal_folders.append_released(folder, RELEASED)


if __name__ == "__main__":
    write(DATA)
