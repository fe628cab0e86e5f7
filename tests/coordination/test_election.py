"""A lost primary is replaced soon, with one candidate at a time."""

from unittest.mock import patch

import pytest

from lab.tier.control_group import ControlGroup
from lab.tier.failover_time import FailoverCase, failover_time_s
from lab.tier.machine import ProcessorQuota
from lab.tier.world import World
from lynxscale.coordination.acceptor import Acceptor, DeferredPromise
from lynxscale.coordination.member_role import MemberRole, RoleChange, RoleState
from lynxscale.coordination.messages import Message, Position, Prepare, Promise, TakeOver, address_of
from tests.coordination.control_groups import start_group, start_group_with_slow_disks


@pytest.mark.parametrize("how", ["kill", "wipe", "cut", "deaf", "mute"])
@pytest.mark.parametrize(("sync_s", "median_s", "most_s"), [(0.0, 0.40, 0.46), (0.0092, 0.53, 0.8), (0.03, 0.96, 1.1)])
def test_failover_time_on_fast_and_slow_disks(how, sync_s, median_s, most_s):
    """Regression: a failover took 1.4 to 1.7 s, because candidates displaced each other."""
    times = sorted(failover_time_s(FailoverCase(seed, sync_s, fault=how)) for seed in range(1, 10))
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
    """The member's pre-votes are rejected, so it writes nothing and asks for no epoch; the primary keeps leading."""
    group = start_group_with_slow_disks()
    leader = group.wait_for_leader()
    backup = next(one for one in group.members.values() if one is not leader)
    epoch, promised = leader.record.epoch, backup.acceptor.state.promised
    group.world.partition(address_of(leader.member_id), address_of(backup.member_id), both_ways=False)
    group.world.run(group.world.time + 5)
    assert leader.leads() and backup.acceptor.state.promised in (promised, leader.record.epoch)
    assert leader.record.epoch <= epoch + 2  # at most the epochs that remove it from the in-sync set
    group.world.heal()
    assert group.put("a", 1)


@pytest.mark.parametrize("seed", range(1, 9))
def test_a_pre_vote_in_flight_at_a_take_over_begins_no_second_candidacy(seed, monkeypatch):
    """Regression: a pre-vote round was won during the candidacy that a ``TakeOver`` had started."""
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
        member.acceptor.release(leader.record.epoch)  # so that every voter grants pre-votes
    backup._campaign._start_round()
    backup.receive(TakeOver(leader.record.epoch))
    group.world.run(group.world.time + 2.0)
    assert started == [MemberRole.BACKUP]
    assert group.put("a", 1)


@pytest.mark.parametrize("how", ["kill", "cut", "mute"])
def test_failover_time_with_promises_stored_before_the_lease_ends(how):
    """Without promises stored in advance it took 0.56 s at the median and 0.69 s at p95, with 9.2 ms per sync."""
    times = sorted(failover_time_s(FailoverCase(seed, 0.0092, fault=how)) for seed in range(1, 21))
    assert times[10] <= 0.50 and times[19] <= 0.60, times


@pytest.mark.parametrize("seed", range(1, 7))
@pytest.mark.parametrize(("sync_s", "members"), [(0.0, 3), (0.0092, 1)])
def test_no_promise_leaves_a_voter_while_the_lease_that_it_granted_may_run(seed, sync_s, members):
    """Promises are stored shortly before the lease ends, but sent only once it has ended."""
    group = start_group_with_slow_disks(seed, sync_s=sync_s)
    stored_in_advance: list[str] = []
    prepare, deliver = Acceptor.prepare, group.world.deliver

    def watch_prepare(acceptor: Acceptor, request: Prepare, position: Position) -> object:
        answer = prepare(acceptor, request, position)
        if isinstance(answer, DeferredPromise):
            stored_in_advance.append(acceptor.member)
            assert acceptor.state.promised == request.epoch
        return answer

    def watch_sent(source: str, target: str, message: Message) -> None:
        if isinstance(message, Promise):
            assert group.members[source].acceptor.lease_left_for_other(member_at(group, target)) == 0.0
        deliver(source, target, message)

    with patch.object(Acceptor, "prepare", watch_prepare):
        group.world.deliver = watch_sent
        group.kill(address_of(group.wait_for_leader().member_id))
        group.wait_for_leader(2.0)
    assert len(set(stored_in_advance)) >= members


def member_at(group: ControlGroup, address: str) -> str:
    """The id of the member at an address."""
    return group.members[address].member_id


def test_a_primary_overtakes_a_promise_that_was_stored_in_advance():
    """A voter that missed heartbeats promised another epoch: the primary decides a later one and keeps leading."""
    group = start_group(3)
    group.world.run(group.world.time + 1.0)
    leader = group.wait_for_leader()
    backup = next(one for one in group.members.values() if one is not leader)
    promised = leader.record.epoch + 1
    backup.acceptor._save(backup.record, promised, backup.member_id)
    group.world.run(group.world.time + 1.0)
    assert group.leaders() == [leader] and leader.record.epoch > promised
    assert group.put("a", 1)


@pytest.mark.parametrize("delay_s", [0.02, 0.04, 0.06])
@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_primary_is_elected_and_replaced_over_links_on_which_replies_take_long(seed, delay_s):
    """Regression: replies to pre-votes always arrived after the fixed duration of a round, so no round was ever won."""
    group = start_group(seed, delay_s=delay_s)
    group.world.run(group.world.time + 3.0)
    group.kill(address_of(group.wait_for_leader().member_id))
    begun = group.world.time
    group.wait_for_leader(5.0)
    assert group.world.time - begun < 2.5


def test_members_whose_processors_run_at_other_times_elect_a_primary():
    """A CPU quota pauses each process for part of every 100 ms, here so that no two members run simultaneously."""
    group = ControlGroup(World(1), 3, 1)
    group.start_all()
    group.wait_for_leader()
    group.world.run(group.world.time + 1.0)
    group.kill(address_of(group.wait_for_leader().member_id))
    for number, address in enumerate(sorted(group.members)):
        group.world.machine(address).quota = ProcessorQuota(0.5, number / 2)
    group.wait_for_leader(6.0)
    assert group.put("a", 1)
