"""Rounds for a new epoch: own promises are durable first, and epochs do not grow without bound."""

from lynxscale.coordination.acceptor_state import AcceptorStateFile, MemberIdentity
from lynxscale.coordination.messages import Message, Prepare, address_of
from tests.coordination.control_groups import backups_of, start_group


def test_member_back_from_a_partition_soon_votes_and_is_in_sync():
    """Regression: a partitioned member promised itself ever higher epochs and then rejected the primary's for good."""
    group = start_group()
    leader = group.wait_for_leader()
    isolated = next(a for a in group.seeds if a != address_of(leader.member_id))
    for other in group.seeds:
        if other != isolated:
            group.world.partition(isolated, other)
    group.world.run(group.world.time + 12)
    group.world.heal()
    member = group.members[isolated]
    assert group.world.run_until(lambda: member.member_id in leader.record.in_sync, 1.5)
    third = next(a for a in group.seeds if a not in (isolated, address_of(leader.member_id)))
    group.kill(third)
    assert group.put("a", 1, within=1.5)
    assert leader.leads()


def test_own_promise_is_durable_before_any_voter_is_asked():
    """Otherwise a restarted candidate asks for the same epoch again, and two records may be proposed under it."""
    group = start_group()
    candidate = group.members[backups_of(group)[0]]
    machine = group.world.machine(address_of(candidate.member_id))
    asked: list[tuple[int, int]] = []
    deliver = group.world.deliver

    def watch(source: str, target: str, message: Message) -> None:
        if isinstance(message, Prepare) and target != source:
            stored = AcceptorStateFile(
                MemberIdentity(source, False, ()), group.world.machine(source).files, group.world.random
            )
            asked.append((message.epoch, stored.state.promised))
        deliver(source, target, message)

    group.world.deliver = watch
    for _ in range(4):
        group.kill(address_of(group.wait_for_leader().member_id))
        group.world.run(group.world.time + 2)
        for address in group.seeds:
            if address not in group.members:
                group.start(address)
    assert asked and all(epoch == promised for epoch, promised in asked)
    assert machine.files.names()
