"""Recovery of a store whose files are damaged or missing."""

import pytest

from lab.tier.world import World
from lynxscale.coordination.messages import (
    Batch,
    Position,
    address_of,
    put_value,
)
from lynxscale.coordination.store import NO_POSITION, Store
from lynxscale.coordination.version_files import SNAPSHOT_PREFIX
from tests.coordination.control_groups import backups_of, damage_batch_file, start_group, write_steadily


def test_a_truncated_batch_file_is_reported_as_damage():
    machine = World(2).machine("a:1")
    store = Store(machine.files)
    for index in range(1, 4):
        batch = Batch(store.position, Position(1, index), (put_value(f"k{index}", index),))
        store.save(batch)
        store.apply(batch.puts)
    last = machine.files.names()[-1]
    machine.files._files[last] = machine.files.read(last)[:-20]
    reloaded = Store(machine.files)
    assert (reloaded.position, reloaded.damage) == (Position(1, 2), [last])
    assert not reloaded.intact and reloaded.durable_position == NO_POSITION
    assert reloaded.values.keys() == {"k1", "k2"}


@pytest.mark.parametrize("how", ["corrupt", "truncate", "missing"])
@pytest.mark.parametrize("where", ["middle", "last"])
def test_a_backup_with_a_gap_in_its_files_never_leads_from_there(how, where):
    """Regression: it became primary with the state before the gap; eight of twelve acknowledged values were lost."""
    for seed in range(8):
        group = start_group(seed)
        for number in range(12):
            assert group.put(f"k{number}", number)
        group.world.run(group.world.time + 1.5)
        backup = backups_of(group)[seed % 2]
        group.kill(backup)
        damage_batch_file(group, backup, how, where)
        member = group.start(backup)
        assert not member.store.intact and member.store.durable_position == NO_POSITION
        group.kill(address_of(group.wait_for_leader().member_id), power=True)
        assert group.put("after", 1)
        assert all(group.value(f"k{number}") == number for number in range(12)), (seed, how, where)
        assert group.world.run_until(lambda: member.store.intact, 6.0)  # noqa: B023


def test_a_damaged_or_missing_snapshot_is_detected(monkeypatch):
    monkeypatch.setattr("lynxscale.coordination.compaction.MAX_BATCH_FILES", 3)
    group = start_group()
    for number in range(9):
        assert group.put(f"k{number}", number)
    group.world.run(group.world.time + 1.5)
    address = backups_of(group)[0]
    files = group.world.machine(address).files
    state = next(name for name in files.names() if name.startswith(SNAPSHOT_PREFIX))
    group.kill(address)
    content = files._files.pop(state)
    assert not Store(files).intact
    files._files[state] = content
    assert Store(files).intact
    files.corrupt(state, group.world.random)
    assert not Store(files).intact


def test_files_after_a_loss_of_power_do_not_count_as_damaged():
    """Removed files whose names reappear after a power loss must not make every member ineligible."""
    for seed in range(40):
        group = start_group(seed)
        write_steadily(group, 0.011, value="x" * 2000)
        group.world.run(group.world.time + 1 + seed * 0.013)
        for address in group.seeds:
            group.kill(address, power=True)
        group.world.run(group.world.time + 0.5)
        for address in group.seeds:
            assert group.start(address).store.intact, seed
        assert group.put("after", seed)


def test_a_damaged_member_leaves_the_in_sync_set_and_is_repaired():
    group = start_group()
    for number in range(12):
        assert group.put(f"k{number}", number)
    group.world.run(group.world.time + 1.5)
    address = backups_of(group)[0]
    group.kill(address)
    damage_batch_file(group, address, "corrupt", "middle")
    group.world.machine(address).bytes_per_s = 5_000.0
    member = group.start(address)
    leader = group.wait_for_leader()
    assert group.world.run_until(lambda: member.member_id not in leader.record.in_sync, 1.0)
    assert group.world.run_until(lambda: member.member_id in leader.record.in_sync, 6.0)
    assert member.store.checksum() == leader.store.checksum()
