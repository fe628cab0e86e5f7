"""Catch-up of replicas: batches, snapshots in chunks, and repair of a state that differs."""

import pytest

from lynxscale.coordination.messages import (
    SnapshotChunk,
    address_of,
    put_value,
)
from lynxscale.coordination.recent_batches import RecentBatches
from tests.coordination.control_groups import backups_of, fill, start_group, write_steadily


def test_a_backup_that_returns_amid_steady_writes_is_soon_in_sync_again():
    """Regression: new batches were sent to a member that lacked earlier ones, so it never caught up."""
    group = start_group()
    leader = group.wait_for_leader()
    backup = next(a for a in group.seeds if a != address_of(leader.member_id))

    def write():
        if leader.leads():
            group.submit(leader, "steady", group.world.time, lambda committed: None)
        group.world.call_at(group.world.time + 0.01, write)

    write()
    group.kill(backup, power=True)
    group.world.run(group.world.time + 2)
    member = group.start(backup)
    assert member.member_id not in leader.record.in_sync
    assert group.world.run_until(lambda: member.member_id in leader.record.in_sync, 1.0)


def test_a_returning_member_is_sent_each_batch_about_once():
    """Regression: each acknowledgement made the primary resend all later batches: 50 MB in 0.2 s, and it failed."""
    group = start_group()
    leader = group.wait_for_leader()
    backup = next(a for a in group.seeds if a != address_of(leader.member_id))
    group.kill(backup)
    for number in range(300):
        assert group.put(f"k{number}", number)
    sent = []
    deliver = group.world.deliver
    group.world.deliver = lambda source, target, message: (
        sent.append(type(message).__name__) if target == backup else None,
        deliver(source, target, message),
    )
    member = group.start(backup)
    assert group.world.run_until(lambda: member.member_id in leader.record.in_sync, 3.0)
    assert sent.count("Replicate") < 400


def brought_up_amid_writes(bytes_per_s: float, within_s: float) -> bool:
    """Does a wiped member receive 20 MB over such a link, during 100 writes per second, and get in sync in time?"""
    group = start_group()
    fill(group, 20)
    write_steadily(group, 0.01)
    address = backups_of(group)[0]
    group.kill(address, wipe=True)
    group.world.run(group.world.time + 1)
    group.world.machine(address).bytes_per_s = bytes_per_s
    member = group.start(address)
    leader = group.wait_for_leader()
    return group.world.run_until(lambda: member.member_id in leader.record.in_sync, within_s)


def test_a_large_snapshot_arrives_over_a_slow_link_amid_writes():
    """Regression: 20 MB at 1.9 MB/s with 100 writes per second never arrived, as the transfer restarted every 1.5 s."""
    assert brought_up_amid_writes(1_900_000.0, within_s=16.0)


def test_a_large_snapshot_arrives_well_within_the_time_to_catch_up():
    assert brought_up_amid_writes(10_700_000.0, within_s=3.2)


def test_a_snapshot_is_resumed_under_another_primary_and_after_a_partition():
    group = start_group(size=4)
    fill(group, 4)
    address, other = backups_of(group)[:2]
    group.kill(address, wipe=True)
    group.world.run(group.world.time + 1)
    group.world.machine(address).bytes_per_s = 500_000.0
    member = group.start(address)
    group.world.run(group.world.time + 5)
    sent: list[str] = []
    deliver = group.world.deliver
    group.world.deliver = lambda source, target, message: (
        sent.extend(put.key for put in message.puts) if isinstance(message, SnapshotChunk) else None,
        deliver(source, target, message),
    )
    group.kill(address_of(group.wait_for_leader().member_id))
    group.wait_for_leader()
    for one in group.members:
        group.world.partition(one, address)
    group.world.run(group.world.time + 0.7)
    group.world.heal()
    assert group.world.run_until(lambda: member.member_id in group.wait_for_leader().record.in_sync, 14.0)
    assert len(set(sent)) < 160  # of more than 200 keys: the others had arrived before


def test_a_replica_that_differs_is_repaired_while_writes_go_on():
    group = start_group()
    fill(group, 1)
    write_steadily(group, 0.02)
    address = backups_of(group)[0]
    member = group.members[address]
    member.store.apply((put_value("big00001", "other"),))
    leader = group.wait_for_leader()

    def scrub() -> None:
        leader.leadership.scrub()
        group.world.call_at(group.world.time + 0.033, scrub)

    scrub()
    assert group.world.run_until(lambda: member.store.values["big00001"] == leader.store.values["big00001"], 5.0)
    group.world.run(group.world.time + 1)
    assert member.member_id in leader.record.in_sync


def test_a_replica_that_differs_is_out_of_the_in_sync_set_until_it_is_repaired():
    """An in-sync replica must hold everything committed; the scrub compares replicas even during writes."""
    group = start_group(size=5, tolerated=2)
    write_steadily(group, 0.004)
    member = group.members[backups_of(group)[0]]
    leader = group.wait_for_leader()
    member.store.apply((put_value("lost", 1),))
    group.world.run(group.world.time + 0.05)
    leader.leadership.scrub()
    assert group.world.run_until(lambda: member.member_id not in leader.record.in_sync, 0.5)
    assert group.world.run_until(lambda: member.member_id in leader.record.in_sync, 3.0)
    assert "lost" not in member.store.values


@pytest.mark.parametrize("seed", range(12))
def test_a_snapshot_amid_new_keys_has_them_all(seed):
    """Regression: a batch that was sent before the first chunk was in no chunk, so the replica differed."""
    group = start_group(seed)
    fill(group, 1)
    for address, one in group.members.items():
        group.world.machine(address).sync_s = 0.004
        one.store.recent_batches = RecentBatches()  # so that the member needs a snapshot
    wiped = backups_of(group)[0]
    group.kill(wiped, power=True, wipe=True)
    number = 0

    def write() -> None:
        nonlocal number
        number += 1
        for leader in group.leaders():
            group.submit(leader, f"new{number:05}", number, lambda committed: None)
        if number < 900:
            group.world.call_at(group.world.time + 0.003, write)

    write()
    group.world.run(group.world.time + 0.3)
    member = group.start(wiped)
    leader = group.wait_for_leader()
    assert group.world.run_until(lambda: member.member_id in leader.record.in_sync, 6.0)
    group.world.run(group.world.time + 4.0)
    assert member.store.checksum() == leader.store.checksum(), set(leader.store.values) - set(member.store.values)


def test_a_member_catches_up_after_a_thousand_changes():
    group = start_group()
    address = backups_of(group)[0]
    group.kill(address)
    for number in range(1000):
        assert group.put(f"k{number % 40}", number)
    assert len(group.world.machine(address_of(group.wait_for_leader().member_id)).files.names()) < 1100
    member = group.start(address)
    leader = group.wait_for_leader()
    assert group.world.run_until(lambda: member.member_id in leader.record.in_sync, 3.0)
    assert member.store.checksum() == leader.store.checksum()
