"""A member that is asked to stop leaves once nothing depends on it."""

import pytest

from lab.tier import second_failure
from lynxscale.coordination.messages import address_of
from tests.coordination.control_groups import backups_of, start_group

NEWCOMER = "10.0.0.9:7000"


def test_leaving_primary_transfers_leadership_at_once():
    group = start_group()
    assert group.put("a", 1)
    leader = group.wait_for_leader()
    before = group.world.time
    leader.leave(lambda: None)
    assert group.wait_for_leader() is not leader
    assert group.world.time - before < 0.3


@pytest.mark.parametrize("gap", [0.0, 0.02, 0.1, 0.2])
@pytest.mark.parametrize(("leaves", "lost"), [(0, 1), (0, 2), (1, 0), (1, 2)])
def test_loss_right_after_a_leaving_member_leaves_a_majority(gap, leaves, lost):
    """Regression: the leaving member stopped voting and replicating at once, and no primary was elected again."""
    for seed in range(4):
        group = start_group(seed)
        group.start(NEWCOMER)
        assert group.put("a", seed)
        group.world.run(group.world.time + 1.5)
        ranked = second_failure.members_by_rank(group)
        group.leave(ranked[leaves])
        group.world.run(group.world.time + gap)
        group.kill(ranked[lost], power=True, wipe=True)
        assert group.put("b", 1, within=10.0), (seed, leaves, lost)
        assert group.value("a") == seed


def test_leave_without_a_successor_is_approved_soon():
    for seed in range(10):
        for rank in (0, 1):
            group = start_group(seed)
            group.world.run(group.world.time + 2)
            address = second_failure.members_by_rank(group)[rank]
            begun = group.world.time
            group.leave(address)
            assert group.world.run_until(lambda g=group, a=address: a not in g.members, 1.3), (seed, rank)
            assert group.world.time - begun < 1.3
            assert group.put("a", 1)


def test_leaving_member_stays_until_its_successor_has_caught_up():
    group = start_group()
    assert group.put("a", "x" * 100_000)
    leaving = backups_of(group)[0]
    newcomer = group.start(NEWCOMER)
    group.world.machine(NEWCOMER).bytes_per_s = 200_000.0
    group.world.run(group.world.time + 0.5)
    group.leave(leaving)
    assert group.world.run_until(lambda: leaving not in group.members, 6.0)
    record = group.wait_for_leader().record
    assert newcomer.member_id in record.in_sync and newcomer.member_id in record.voters
    assert leaving not in [address_of(one) for one in (*record.voters, *record.in_sync)]


def test_member_without_approval_serves_until_its_grace_period_ends():
    group = start_group()
    first, second = backups_of(group)
    group.kill(first)
    group.world.run(group.world.time + 1)
    group.leave(second, within=5.0)
    group.world.run(group.world.time + 4)
    assert second in group.members
    assert group.put("a", 1)
    group.world.run(group.world.time + 2)
    assert second not in group.members
