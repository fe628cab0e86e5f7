"""Commits: which replicas they wait for, and the outcome of submissions when the primary stops leading."""

from lynxscale.coordination.messages import address_of
from tests.coordination.control_groups import start_group


def test_an_unresponsive_backup_does_not_delay_writes():
    group = start_group()
    leader = group.wait_for_leader()
    backup = next(a for a in group.seeds if a != address_of(leader.member_id))
    group.kill(backup)
    before = group.world.time
    assert group.put("a", 1)
    assert group.world.time - before < 1.2


def test_nothing_is_acknowledged_without_enough_replicas():
    group = start_group()
    leader = group.wait_for_leader()
    for address in group.seeds:
        if address != address_of(leader.member_id):
            group.kill(address)
    done: list[bool] = []
    group.submit(leader, "a", 1, done.append)
    group.world.run(group.world.time + 5)
    assert True not in done
    assert not group.leaders()


def test_a_backup_with_a_full_disk_does_not_delay_writes_although_it_responds():
    group = start_group()
    assert group.put("a", 1)
    group.world.run(group.world.time + 0.5)
    leader = group.wait_for_leader()
    backup = next(a for a in group.seeds if a != address_of(leader.member_id))
    group.world.machine(backup).files.full = True
    before = group.world.time
    assert group.put("b", 1)
    assert group.world.time - before < 0.8
    group.world.machine(backup).files.full = False
    member = group.members[backup]
    assert group.world.run_until(lambda: member.member_id in leader.record.in_sync, 2.0)


def test_submissions_in_no_batch_are_undone_when_the_lead_ends():
    """Otherwise a member that leads again acknowledges a change that exists only in its own memory."""
    group = start_group()
    assert group.put("a", 1)
    group.world.run(group.world.time + 0.5)
    leader = group.wait_for_leader()
    own = address_of(leader.member_id)
    for other in group.seeds:
        if other != own:
            group.world.partition(own, other)
    outcomes = []
    group.submit(leader, "first", 1, outcomes.append)
    group.world.run(group.world.time + 0.1)
    group.submit(leader, "second", 2, outcomes.append)
    assert leader.store.values.keys() == {"a", "first", "second"}
    group.world.run(group.world.time + 3)
    assert outcomes == [False, False]
    assert "second" not in leader.store.values
    group.world.heal()
    assert group.put("b", 1)
    group.world.run(group.world.time + 2)
    assert {member.store.checksum() for member in group.members.values()} == {leader.store.checksum()}
