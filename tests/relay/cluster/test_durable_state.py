"""Durable state: files on disk, damaged files, and coalesced writes."""

import os
from pathlib import Path

import pytest

from lynxscale.relay.cluster import durable_state
from lynxscale.relay.cluster.exceptions import ForeignStateError
from lynxscale.relay.cluster.membership_table import Identity
from lynxscale.relay.cluster.messages import Ballot, DurableState, MembershipChange, View

STATE = DurableState(
    View(4, 9, (Identity("r1", 2, 8),)),
    Ballot(3, "r2", 1),
    Ballot(2, "r1", 8),
    MembershipChange(("r3",), (Identity("r4", 1, 2),)),
    17,
    True,
)


def store_with(path, count: int) -> durable_state.StateStore:
    """A store to which the generations from 1 to ``count`` were saved."""
    store = durable_state.StateStore(path, "norte", "r1")
    assert store.load() == durable_state.LoadResult(None)
    for generation in range(1, count + 1):
        store.save(generation, STATE)
    return store


@pytest.mark.parametrize("count", [1, 2, 3, 6])
def test_state_outlasts_the_process_and_a_damaged_file_is_set_aside(tmp_path, count):
    store_with(tmp_path, count)
    store = durable_state.StateStore(tmp_path, "norte", "r1")
    assert store.load() == durable_state.LoadResult(durable_state.StoredNode("norte", "r1", count, STATE), serial=count)
    with pytest.raises(ForeignStateError, match="node r1 in cluster norte; this relay is r2"):
        durable_state.StateStore(tmp_path, "norte", "r2").load()
    for name in durable_state.FILES[:count]:
        path = tmp_path / durable_state.FOLDER / (name if count > 1 else durable_state.FILES[1])
        whole = path.read_bytes()
        for offset in range(len(whole)):
            assert durable_state.decode(whole[:offset]).stored is None
            assert (
                durable_state.decode(whole[:offset] + bytes([whole[offset] ^ 4]) + whole[offset + 1 :]).stored is None
            )
        assert durable_state.decode(whole[:12] + bytes([whole[12] ^ 4]) + whole[13:]).reason == "checksum"
        path.write_bytes(whole[:-1])
        store = durable_state.StateStore(tmp_path, "norte", "r1")
        assert store.load() == durable_state.LoadResult(None, f"{path.name}: cut short")
        assert not path.exists() and path.with_name(path.name + ".damaged").read_bytes() == whole[:-1]
        # The other file may be the older of the two, so it is not trusted either, now or by a later start.
        assert durable_state.StateStore(tmp_path, "norte", "r1").load() == durable_state.LoadResult(None)
        store.save(7, None)
        store.save(8, STATE)
        assert durable_state.StateStore(tmp_path, "norte", "r1").load().stored == durable_state.StoredNode(
            "norte", "r1", 8, STATE
        )


def test_state_with_one_of_two_files_missing_is_not_trusted(tmp_path):
    store_with(tmp_path, 3)
    (tmp_path / durable_state.FOLDER / durable_state.FILES[1]).unlink()
    assert durable_state.StateStore(tmp_path, "norte", "r1").load() == durable_state.LoadResult(
        None, "one of two files is missing"
    )


def test_version_1_is_read_until_a_newer_file_exists(tmp_path):
    folder = tmp_path / durable_state.FOLDER
    folder.mkdir()
    golden = (Path(__file__).parents[2] / "data" / "cluster" / "node-v1").read_bytes()
    (folder / "node").write_bytes(golden)
    store = durable_state.StateStore(tmp_path, "norte", "r1")
    assert store.load().stored == durable_state.StoredNode("norte", "r1", 6, STATE)
    store.save(7, None)
    assert [path.name for path in folder.iterdir()] == ["node.1"]
    (folder / "node").write_bytes(golden)  # as after a crash between writing the new file and removing this one
    assert durable_state.StateStore(tmp_path, "norte", "r1").load().stored == durable_state.StoredNode(
        "norte", "r1", 7, None
    )
    for offset in range(len(golden)):
        assert durable_state.decode(golden[:offset]).stored is None


def test_a_vote_costs_one_sync_and_a_failed_sync_damages_nothing(tmp_path, monkeypatch):
    syncs = []
    sync_fails = False

    def sync(_handle):
        syncs.append(None)
        if sync_fails:
            raise OSError(5, "input/output error")

    monkeypatch.setattr(os, "fsync", sync)
    monkeypatch.setattr(os, "fdatasync", sync)
    store = store_with(tmp_path, 2)  # two syncs for each new file: of its data, and of its name in the folder
    assert len(syncs) == 4
    store.save(3, STATE)
    store.save(4, STATE)
    assert len(syncs) == 6
    sync_fails = True
    with pytest.raises(OSError):
        store.save(5, STATE)
    before = (tmp_path / durable_state.FOLDER / durable_state.FILES[0]).read_bytes()  # the file of the fourth save
    sync_fails, syncs[:] = False, []
    store.save(6, STATE)
    assert len(syncs) == 2  # the file of the failed save is created anew
    assert (tmp_path / durable_state.FOLDER / durable_state.FILES[0]).read_bytes() == before
    assert durable_state.StateStore(tmp_path, "norte", "r1").load().stored.generation == 6


def test_a_state_in_flight_or_on_disk_is_not_written_again():
    queue, called = durable_state.WriteQueue(), []
    assert queue.put("a", lambda: called.append(1)) == "a"
    assert queue.put("a", lambda: called.append(2)) is None  # joins the write in flight
    assert queue.put("b", lambda: called.append(3)) is None
    assert queue.put("c", lambda: called.append(4)) is None
    for callback in queue.done(True):
        callback()
    assert called == [1, 2] and queue.begin() == "c"
    assert queue.done(False) == [] and queue.begin() is None  # a failed write has no callbacks
    # Written again, as the content on disk is unknown after a failure.
    assert queue.put("a", lambda: called.append(5)) == "a"
    for callback in queue.done(True):
        callback()
    assert queue.begin() is None and queue.put("a", lambda: called.append(6)) is None
    assert called == [1, 2, 5, 6]
