"""A relay reads what the program before the renaming left in the state folder, and leaves the same bytes."""

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
from tests.golden import files_of
from tests.scheduling.driver import Driver, member


@pytest.fixture
def state(tmp_path):
    return shutil.copytree(relay.DATA, tmp_path / "state")


def test_the_same_inputs_leave_the_golden_files(tmp_path):
    relay.write(tmp_path / "state")
    assert files_of(tmp_path / "state") == files_of(relay.DATA)


def test_lists_and_verdicts_are_read(state):
    lists = ListStore(state)
    assert [tuple(one) for one in lists.load_good()] == [(relay.UNIT, digest_of(relay.LIST), relay.LIST)]
    assert lists.load_awaiting() == {digest_of(relay.WAITING): relay.WAITING}
    assert lists.approved_digests() == {digest_of(relay.WAITING)}
    assert list(lists.read_verdicts()) == relay.VERDICTS
    assert lists.reported_digests() == {digest_of(relay.LIST), digest_of(relay.WAITING)}


def test_finals_are_lines_of_json():
    assert (relay.DATA / relay.FINALS).read_bytes() == (
        b'{"id":"m-1","status":"expired","ts":1800000000.123}\n'
        b'{"id":"m-2","status":"refused","ts":1800000000.123,"again_ms":1500}\n'
    )


def test_the_clock_goes_on(state, monkeypatch):
    monkeypatch.setattr(wall, "_boot_id", lambda: relay.BOOT)
    monkeypatch.setattr(wall, "_since_boot", lambda: 17)
    assert wall.unix_clock(state)() == relay.ZERO + 17


def test_the_board_is_read(state):
    one, other = Board(state).halves()
    assert one.read() == (4, 4, 99, 3) and other.read() == (2, 5, 99, 0)
    assert [one.wait_until(dest) for dest in (7, 8, 9)] == [relay.NOW + 1000, relay.NOW + 2000, 0]


def test_marks_and_released_numbers_are_read(state):
    assert journal_folders.generations(state) == [2]
    assert journal_folders.read_released(journal_folders.folder_of(state, 2), 0) == (relay.RELEASED, 16)


def test_what_was_learned_is_taken_over(state, monkeypatch):
    monkeypatch.setattr(time, "time_ns", lambda: relay.UNIX_NS + 1_000_000_000)
    numbers = {name: number for number, name in relay.ENDPOINTS.items()}
    told = learned_file.load(state, lambda *name: numbers.get(name), relay.NOW + 1)
    written, old = relay.learned()
    assert {key: told[key] for key in written} == written
    new = Driver(members=[member(11), member(12, dest=2)])
    new.now = old.now
    assert restore(new.scheduler, told, new.now) == 2
    before, after = (one.scheduler.table.endpoints[11].route for one in (old, new))
    assert (after.window, after.restart_timeout_ms, after.median) == (
        before.window,
        before.restart_timeout_ms,
        before.median,
    )
