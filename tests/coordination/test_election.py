"""A lost primary is followed by another soon, and by one candidate at a time."""

import pytest

from lab.tier.failover_time import FailoverCase, failover_time_s
from lynxscale.coordination.member_role import MemberRole, RoleChange, RoleState
from lynxscale.coordination.messages import Message, Prepare, TakeOver, address_of
from tests.coordination.control_groups import start_group, start_group_with_slow_disks


@pytest.mark.parametrize("how", ["kill", "wipe", "cut", "deaf", "mute"])
@pytest.mark.parametrize(("sync_s", "median_s", "most_s"), [(0.0, 0.45, 0.6), (0.0092, 0.62, 0.85), (0.03, 1.25, 2.0)])
def test_failover_time_on_fast_and_slow_disks(how, sync_s, median_s, most_s):
    """Seen on scale-1 and trouble-3 of the Stadtwerke Steyr site: 1.4 to 1.7 s, as candidates put each other aside."""
    times = sorted(failover_time_s(FailoverCase(seed, sync_s, how=how)) for seed in range(1, 10))
    assert times[len(times) // 2] <= median_s and times[-1] <= most_s, times


def test_lost_primary_makes_one_candidate_only():
    for seed in range(1, 7):
        group = start_group_with_slow_disks(seed, sync_s=0.0092)
        asked: set[str] = set()
        deliver = group.world.deliver

        def watch(source: str, target: str, message: Message, asked=asked, deliver=deliver) -> None:
            if isinstance(message, Prepare):
                asked.add(message.candidate)
            deliver(source, target, message)

        lost = address_of(group.wait_for_leader().member_id)
        group.kill(lost)
        group.world.deliver = watch
        group.wait_for_leader(2.0)
        assert len(asked) == 1, seed


def test_pre_votes_of_an_isolated_member_do_not_disturb_the_primary():
    """Its pre-votes are refused: it writes nothing, asks for no epoch, and the primary goes on."""
    group = start_group_with_slow_disks()
    leader = group.wait_for_leader()
    backup = next(one for one in group.members.values() if one is not leader)
    epoch, promised = leader.record.epoch, backup.acceptor.state.promised
    group.world.partition(address_of(leader.member_id), address_of(backup.member_id), both_ways=False)
    group.world.run(group.world.time + 5)
    assert leader.leads() and backup.acceptor.state.promised in (promised, leader.record.epoch)
    assert leader.record.epoch <= epoch + 2  # it left the in-sync set, no more
    group.world.heal()
    assert group.put("a", 1)


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_pre_vote_in_flight_at_a_take_over_begins_no_second_candidacy(seed, monkeypatch):
    """Found by reading: the round was won while the candidacy that the primary asked for was under way."""
    started: list[MemberRole] = []
    apply = RoleState.apply

    def record(role: RoleState, change: RoleChange) -> None:
        if change is RoleChange.STARTED_CANDIDACY:
            started.append(role.current)
        apply(role, change)

    group = start_group(seed)
    group.world.run(group.world.time + 1.0)
    leader = group.wait_for_leader()
    backup = next(one for one in group.members.values() if one is not leader)
    monkeypatch.setattr(RoleState, "apply", record)
    for member in group.members.values():
        member.acceptor.release(leader.record.epoch)  # every voter is free to answer yes
    backup._campaign._start_round()
    backup.receive(TakeOver(leader.record.epoch))
    group.world.run(group.world.time + 2.0)
    assert started == [MemberRole.BACKUP]
    assert group.put("a", 1)
