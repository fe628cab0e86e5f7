"""A primary acts only while its lease is valid by the monotonic clock."""

from lynxscale.coordination.messages import address_of
from tests.coordination.control_groups import start_group


def test_partitioned_primary_stops_before_another_begins():
    group = start_group()
    leader = group.wait_for_leader()
    own = address_of(leader.member_id)
    for other in group.seeds:
        if other != own:
            group.world.partition(own, other)
    overlap = []

    def watch():
        overlap.append(len(group.leaders()))
        group.world.call_at(group.world.time + 0.005, watch)

    watch()
    group.world.run(group.world.time + 4)
    assert max(overlap) == 1
    assert group.wait_for_leader() is not leader
    group.world.heal()
    assert group.put("after", 1)


def test_frozen_primary_notices_its_expired_lease_before_it_acts():
    group = start_group()
    leader = group.wait_for_leader()
    group.world.machine(address_of(leader.member_id)).freeze(3.0)
    group.world.run(group.world.time + 2)
    assert not leader.leads()
    assert group.wait_for_leader() is not leader
    assert group.put("a", 1)
    group.world.run(group.world.time + 3)
    assert len(group.leaders()) == 1


def test_stepped_time_of_day_does_not_affect_the_lease():
    group = start_group()
    assert group.put("a", 1)
    leader = group.wait_for_leader()
    for address, step in zip(group.seeds, (-3600.0, 3600.0, 0.0), strict=True):
        group.world.machine(address).clock_step_s = step
    group.world.run(group.world.time + 5)
    assert group.wait_for_leader() is leader
    assert group.put("b", 1)
