"""Files that a relay leaves in its state folder for a later process, written with fixed times and names.

The journal, traces and the cluster's memory have golden data of their own. ``write`` was run on the program at d667dea,
the last one before names were changed, and its output is kept in ``tests/data/relay/v1``, which must never be written
anew: a changed format gets a folder beside.
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
NOW = 5_000_000  # µs
BOOT, ZERO = "7d3a3c1e-0000-4000-8000-000000000001", 1_799_999_000_000_000
UNIT, LIST = "/etc/lynx/lists/north unit.list", b"endpoint a 10.0.0.1:90\n"
WAITING = b"endpoint b 10.0.0.2:90\n"
VERDICTS = [{"at": 1.5, "digest": digest_of(LIST), "verdict": "applied"}, {"digest": digest_of(WAITING)}]
ENDPOINTS = {11: ("a", "127.0.0.1:1"), 12: ("b", "127.0.0.1:2")}
MARKED, RELEASED = [1, 77, 2**40], [3, 4]
FINALS = "finals.jsonl"


class AtOnce:
    """Deadlines whose calls are made by hand."""

    def __init__(self) -> None:
        self.calls: list[Callable[[], None]] = []

    def after(self, micros: int, call: Callable[[], None]) -> None:
        """Note a call."""
        self.calls.append(call)


def learned() -> tuple[dict, Driver]:
    """What a sender knows of two destinations, one of which told it to wait."""
    old = Driver(members=[member(11), member(12, dest=2)])
    old.warm_up(30)
    old.finish(old.message(dest=2), Result.FULL, wait=500.0)
    return orjson.loads(orjson.dumps(export(old.scheduler))), old


def write(state: Path) -> None:
    """Everything, by the program's own writers."""
    state.mkdir(parents=True, exist_ok=True)
    _write_lists(state)
    _write_finals(state)
    _write_upgrade(state)
    wall._save(state / wall.FILE, BOOT, ZERO)
    with mock.patch.object(time, "time_ns", lambda: UNIX_NS):
        learned_file.save(state, learned()[0], ENDPOINTS.get, NOW)


def _write_lists(state: Path) -> None:
    lists = ListStore(state)
    lists.save_good(UNIT, digest_of(LIST), LIST)
    lists.save_awaiting(digest_of(WAITING), WAITING)
    lists.approve(digest_of(WAITING), "operator")
    lists.append_verdicts(VERDICTS)


def _write_finals(state: Path) -> None:
    due = AtOnce()
    finals = OutcomeLog(state / FINALS, 1 << 20, 1, due, lambda number: None, Counters(), lambda: 1_800_000_000.1234)
    finals.enqueue(1, "m-1", "expired", 0)
    finals.enqueue(2, "m-2", "refused", 1500)
    for call in due.calls:
        call()


def _write_upgrade(state: Path) -> None:
    mine, heir = Board(state).halves()
    mine.begin(4, 99)
    mine.set_stage(Stage.HANDED_OVER)
    mine.set_in_flight(3)
    mine.publish_wait(7, NOW + 1000, NOW)
    mine.publish_wait(8, NOW + 2000, NOW)
    heir.begin(5, 99)
    heir.set_stage(Stage.READY)
    folder = journal_folders.folder_of(state, 2)
    folder.mkdir()
    inherited = journal_folders.InheritedJournal(state, 2)
    inherited.mark_taken(MARKED)
    inherited.close()
    journal_folders.append_released(folder, RELEASED)


if __name__ == "__main__":
    write(DATA)
