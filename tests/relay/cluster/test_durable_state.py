"""Durable state: files on disk, damage, and coalesced writes."""

import os
from pathlib import Path

import pytest

from lynxscale.relay.cluster import durable_state as stable
from lynxscale.relay.cluster.exceptions import ForeignStateError
from lynxscale.relay.cluster.membership_table import Identity
from lynxscale.relay.cluster.messages import Ballot, DurableState, MembershipChange, View

KEPT = DurableState(
    View(4, 9, (Identity("r1", 2, 8),)),
    Ballot(3, "r2", 1),
    Ballot(2, "r1", 8),
    MembershipChange(("r3",), (Identity("r4", 1, 2),)),
    17,
    True,
)


def saved(path, count: int) -> stable.StateStore:
    """Memory of as many lives, each written once."""
    store = stable.StateStore(path, "norte", "r1")
    assert store.load() == stable.LoadResult(None)
    for life in range(1, count + 1):
        store.save(life, KEPT)
    return store


@pytest.mark.parametrize("count", [1, 2, 3, 6])
def test_state_outlasts_the_process_and_a_damaged_file_is_set_aside(tmp_path, count):
    saved(tmp_path, count)
    store = stable.StateStore(tmp_path, "norte", "r1")
    assert store.load() == stable.LoadResult(stable.StoredNode("norte", "r1", count, KEPT), serial=count)
    with pytest.raises(ForeignStateError, match="node r1 in cluster norte; this relay is r2"):
        stable.StateStore(tmp_path, "norte", "r2").load()
    for name in stable.FILES[:count]:
        path = tmp_path / stable.FOLDER / (name if count > 1 else stable.FILES[1])
        whole = path.read_bytes()
        for place in range(len(whole)):
            assert stable.decode(whole[:place]).stored is None
            assert stable.decode(whole[:place] + bytes([whole[place] ^ 4]) + whole[place + 1 :]).stored is None
        assert stable.decode(whole[:12] + bytes([whole[12] ^ 4]) + whole[13:]).reason == "checksum"
        path.write_bytes(whole[:-1])
        store = stable.StateStore(tmp_path, "norte", "r1")
        assert store.load() == stable.LoadResult(None, f"{path.name}: cut short")
        assert not path.exists() and path.with_name(path.name + ".damaged").read_bytes() == whole[:-1]
        # The other one may be the older of the two: it is not believed either, now or by a later start.
        assert stable.StateStore(tmp_path, "norte", "r1").load() == stable.LoadResult(None)
        store.save(7, None)
        store.save(8, KEPT)
        assert stable.StateStore(tmp_path, "norte", "r1").load().stored == stable.StoredNode("norte", "r1", 8, KEPT)


def test_state_with_one_of_two_files_missing_is_not_trusted(tmp_path):
    saved(tmp_path, 3)
    (tmp_path / stable.FOLDER / stable.FILES[1]).unlink()
    assert stable.StateStore(tmp_path, "norte", "r1").load() == stable.LoadResult(None, "one of two files is missing")


def test_version_1_is_read_until_a_newer_file_exists(tmp_path):
    folder = tmp_path / stable.FOLDER
    folder.mkdir()
    golden = (Path(__file__).parents[2] / "data" / "cluster" / "node-v1").read_bytes()
    (folder / "node").write_bytes(golden)
    store = stable.StateStore(tmp_path, "norte", "r1")
    assert store.load().stored == stable.StoredNode("norte", "r1", 6, KEPT)
    store.save(7, None)
    assert [path.name for path in folder.iterdir()] == ["node.1"]
    (folder / "node").write_bytes(golden)  # as a kill between the two would leave it
    assert stable.StateStore(tmp_path, "norte", "r1").load().stored == stable.StoredNode("norte", "r1", 7, None)
    for place in range(len(golden)):
        assert stable.decode(golden[:place]).stored is None


def test_a_vote_costs_one_sync_and_a_failed_sync_damages_nothing(tmp_path, monkeypatch):
    synced = []
    fails = False

    def sync(_handle):
        synced.append(None)
        if fails:
            raise OSError(5, "input/output error")

    monkeypatch.setattr(os, "fsync", sync)
    monkeypatch.setattr(os, "fdatasync", sync)
    store = saved(tmp_path, 2)  # each file made anew: its bytes, and its name in the folder
    assert len(synced) == 4
    store.save(3, KEPT)
    store.save(4, KEPT)
    assert len(synced) == 6
    fails = True
    with pytest.raises(OSError):
        store.save(5, KEPT)
    before = (tmp_path / stable.FOLDER / stable.FILES[0]).read_bytes()  # of the fourth
    fails, synced[:] = False, []
    store.save(6, KEPT)
    assert len(synced) == 2  # anew, where the failed one was
    assert (tmp_path / stable.FOLDER / stable.FILES[0]).read_bytes() == before
    assert stable.StateStore(tmp_path, "norte", "r1").load().stored.generation == 6


def test_a_state_in_flight_or_on_disk_is_not_written_again():
    pending, done = stable.WriteQueue(), []
    assert pending.put("a", lambda: done.append(1)) == "a"
    assert pending.put("a", lambda: done.append(2)) is None  # with the one under way
    assert pending.put("b", lambda: done.append(3)) is None
    assert pending.put("c", lambda: done.append(4)) is None
    for then in pending.done(True):
        then()
    assert done == [1, 2] and pending.begin() == "c"
    assert pending.done(False) == [] and pending.begin() is None  # it could not be written: nothing follows
    assert pending.put("a", lambda: done.append(5)) == "a"  # what is there now is not known
    for then in pending.done(True):
        then()
    assert pending.begin() is None and pending.put("a", lambda: done.append(6)) is None
    assert done == [1, 2, 5, 6]
