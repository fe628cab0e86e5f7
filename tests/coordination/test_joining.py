"""How members announce themselves to the group."""

from lynxscale.coordination.messages import Join, Message, address_of
from tests.coordination.control_groups import start_group, start_group_with_slow_disks

NEWCOMER = "10.0.0.9:7000"


def test_spare_member_announces_itself_to_the_primary_only():
    """Regression: spare members announced themselves to all members four times a second."""
    group = start_group_with_slow_disks(size=3, tolerated=1)
    joins: list[str] = []
    group.start("10.0.0.8:7000")
    group.start("10.0.0.9:7000")
    group.world.run(group.world.time + 1.0)
    deliver = group.world.deliver

    def watch(source: str, target: str, message: Message) -> None:
        if isinstance(message, Join):
            joins.append(target)
        deliver(source, target, message)

    group.world.deliver = watch
    group.world.run(group.world.time + 2.0)
    primary = address_of(group.wait_for_leader().member_id)
    assert joins and set(joins) == {primary}
    group.kill(primary)
    group.world.run(group.world.time + 2.0)
    assert address_of(group.wait_for_leader().member_id) in joins


def test_member_replaced_during_a_partition_is_known_again_at_once():
    """Regression: it kept starting candidacies without announcing itself, so it could not replace a lost voter."""
    for seed in range(6):
        group = start_group(seed)
        group.start(NEWCOMER)
        assert group.put("a", 1)
        isolated = group.seeds[seed % 3]
        for other in (*group.seeds, NEWCOMER):
            if other != isolated:
                group.world.partition(isolated, other)
        group.world.run(group.world.time + 12)
        group.world.heal()
        member = group.members[isolated]
        leader = group.wait_for_leader()
        assert member.member_id not in leader.record.voters
        assert group.world.run_until(lambda m=member, r=leader.record: m.record == r, 1.0), seed
        lost = next(a for a in group.seeds if a not in (isolated, address_of(leader.member_id)))
        group.kill(lost, wipe=True)
        assert group.world.run_until(
            lambda m=member, g=group: m.member_id in g.wait_for_leader().record.in_sync, 2.0
        ), seed
