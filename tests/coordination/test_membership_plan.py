"""Voters are admitted, replaced and removed without losing data."""

from lynxscale.coordination.messages import address_of
from tests.coordination.control_groups import start_group


def test_wiped_member_gets_a_new_id_and_is_admitted_by_a_majority():
    group = start_group()
    assert group.put("a", 1)
    leader = group.wait_for_leader()
    wiped = next(a for a in group.seeds if a != address_of(leader.member_id))
    group.kill(wiped, power=True, wipe=True)
    group.world.run(group.world.time + 0.5)
    member = group.start(wiped)
    assert group.world.run_until(lambda: member.member_id in leader.record.in_sync, 4.0)
    assert member.store.values.keys() == {"a"}
    assert len(leader.record.voters) == 3


def test_member_at_another_address_replaces_one_gone_for_good():
    group = start_group()
    assert group.put("a", 1)
    leader = group.wait_for_leader()
    gone = next(a for a in group.seeds if a != address_of(leader.member_id))
    group.kill(gone, wipe=True)
    group.world.run(group.world.time + 1)
    member = group.start("10.0.0.9:7000")
    assert group.world.run_until(lambda: member.member_id in leader.record.in_sync, 4.0)
    assert gone not in [address_of(one) for one in leader.record.voters]


def test_retiring_member_is_replaced_before_it_is_removed():
    group = start_group()
    assert group.put("a", 1)
    leader = group.wait_for_leader()
    extra = group.start("10.0.0.9:7000")
    group.world.run(group.world.time + 1)
    retiring = next(a for a in group.seeds if a != address_of(leader.member_id))
    leader.retiring = frozenset({f"node-{retiring}"})
    assert group.world.run_until(lambda: extra.member_id in leader.record.in_sync, 4.0)
    group.world.run(group.world.time + 0.5)
    assert retiring not in [address_of(one) for one in (*leader.record.voters, *leader.record.in_sync)]
