"""A relay reads state files that the program wrote before its renaming, and writes the same bytes."""

import shutil
import time

import pytest

from lynxscale.relay import wall_clock as wall
from lynxscale.relay.upgrade import journal_folders, learned_file
from lynxscale.relay.upgrade.board import Board
from lynxscale.relay.upstream.files import digest_of
from lynxscale.relay.upstream.list_store import ListStore
from lynxscale.scheduling.learned_state import restore
from tests import golden_relay as relay
from tests.golden import read_files
from tests.scheduling.driver import Driver, member


@pytest.fixture
def state(tmp_path):
    """A copy of the golden state folder."""
    return shutil.copytree(relay.DATA, tmp_path / "state")


def test_the_same_inputs_leave_the_golden_files(tmp_path):
    relay.write(tmp_path / "state")
    assert read_files(tmp_path / "state") == read_files(relay.DATA)


def test_lists_and_verdicts_are_read(state):
    lists = ListStore(state)
    assert [tuple(stored) for stored in lists.load_good()] == [(relay.LIST_PATH, digest_of(relay.LIST), relay.LIST)]
    assert lists.load_awaiting() == {digest_of(relay.AWAITING_LIST): relay.AWAITING_LIST}
    assert lists.approved_digests() == {digest_of(relay.AWAITING_LIST)}
    assert list(lists.read_verdicts()) == relay.VERDICTS
    assert lists.reported_digests() == {digest_of(relay.LIST), digest_of(relay.AWAITING_LIST)}


def test_outcomes_are_json_lines():
    assert (relay.DATA / relay.OUTCOMES_FILE).read_bytes() == (
        b'{"id":"m-1","status":"expired","ts":1800000000.123}\n'
        b'{"id":"m-2","status":"refused","ts":1800000000.123,"again_ms":1500}\n'
    )


def test_the_clock_continues_from_the_stored_boot_time(state, monkeypatch):
    monkeypatch.setattr(wall, "_boot_id", lambda: relay.BOOT_ID)
    monkeypatch.setattr(wall, "_since_boot", lambda: 17)
    assert wall.unix_clock(state)() == relay.BOOT_UNIX_US + 17


def test_the_board_is_read(state):
    predecessor, successor = Board(state).halves()
    assert predecessor.read() == (4, 4, 99, 3) and successor.read() == (2, 5, 99, 0)
    assert [predecessor.wait_until(key) for key in (7, 8, 9)] == [relay.NOW_US + 1000, relay.NOW_US + 2000, 0]


def test_generations_and_released_numbers_are_read(state):
    assert journal_folders.generations(state) == [2]
    assert journal_folders.read_released(journal_folders.folder_of(state, 2), 0) == (relay.RELEASED, 16)


def test_learned_state_is_restored(state, monkeypatch):
    monkeypatch.setattr(time, "time_ns", lambda: relay.UNIX_NS + 1_000_000_000)
    numbers = {name: number for number, name in relay.ENDPOINTS.items()}
    loaded = learned_file.load(state, lambda *name: numbers.get(name), relay.NOW_US + 1)
    written, old = relay.learned_state()
    assert {key: loaded[key] for key in written} == written
    new = Driver(members=[member(11), member(12, dest=2)])
    new.now = old.now
    assert restore(new.scheduler, loaded, new.now) == 2
    before, after = (driver.scheduler.table.endpoints[11].route for driver in (old, new))
    assert (after.window, after.restart_timeout_ms, after.median) == (
        before.window,
        before.restart_timeout_ms,
        before.median,
    )
