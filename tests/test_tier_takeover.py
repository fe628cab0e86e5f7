"""How a primary is followed by another: who asks, who waits, and for how long nobody serves."""

import pytest

from lab.tier.control_group import ControlGroup
from lab.tier.failover_time import FailoverCase, failover_time_s
from lab.tier.world import World
from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.acceptor_state import ACCEPTOR_STATE_FILE, AcceptorState, AcceptorStateFile, MemberIdentity
from lynxscale.coordination.checksummed_file import SECOND_FILE_SUFFIX
from lynxscale.coordination.lease import LEASE_S
from lynxscale.coordination.messages import (
    EpochRecord,
    Join,
    LeaseRequest,
    Message,
    Position,
    Prepare,
    PrepareRejected,
    Promise,
    address_of,
)
from lynxscale.coordination.vote_deference import VoteDeference


def started(seed: int = 1, size: int = 5, tolerated: int = 2, sync_s: float = 0.0) -> ControlGroup:
    group = ControlGroup(World(seed, delay_s=0.0015), size, tolerated)
    for address in group.seeds:
        group.world.machine(address).sync_s = sync_s
    group.start_all()
    group.wait_for_leader(20.0)
    group.world.run(group.world.time + 1.0)
    return group


@pytest.mark.parametrize("how", ["kill", "wipe", "cut", "deaf", "mute"])
@pytest.mark.parametrize(("sync_s", "median_s", "most_s"), [(0.0, 0.45, 0.6), (0.0092, 0.62, 0.85), (0.03, 1.25, 2.0)])
def test_another_primary_serves_soon_on_fast_and_slow_disks(how, sync_s, median_s, most_s):
    """Seen on scale-1 and trouble-3 of the Stadtwerke Steyr site: 1.4 to 1.7 s, as candidates put each other aside."""
    times = sorted(failover_time_s(FailoverCase(seed, sync_s, how=how)) for seed in range(1, 10))
    assert times[len(times) // 2] <= median_s and times[-1] <= most_s, times


def test_one_member_only_asks_for_an_epoch_where_a_primary_is_lost():
    for seed in range(1, 7):
        group = started(seed, sync_s=0.0092)
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


def test_a_member_that_hears_no_primary_alone_disturbs_nobody():
    """Its pre-votes are refused: it writes nothing, asks for no epoch, and the primary goes on."""
    group = started()
    leader = group.wait_for_leader()
    backup = next(one for one in group.members.values() if one is not leader)
    epoch, promised = leader.record.epoch, backup.acceptor.state.promised
    group.world.partition(address_of(leader.member_id), address_of(backup.member_id), both_ways=False)
    group.world.run(group.world.time + 5)
    assert leader.leads() and backup.acceptor.state.promised in (promised, leader.record.epoch)
    assert leader.record.epoch <= epoch + 2  # it left the in-sync set, no more
    group.world.heal()
    assert group.put("a", 1)


def test_a_member_that_asks_for_long_and_never_stands_lets_others_go_first():
    """Seen simulated: a member that heard no answers asked again and again, and all voters kept out of its way."""
    world = World(1)
    machine = world.machine("a:1")
    record = EpochRecord(3, "p#0", ("p#0", "b#0", "c#0"), ("a#0", "b#0", "c#0"))
    register = AcceptorStateFile(MemberIdentity("a:1", True, ("a:1",)), machine.files, world.random)
    register.save(AcceptorState("a#0", record, 3, "p#0"))
    support = VoteDeference(Acceptor(register, machine.clock(), LEASE_S), machine.clock())
    world.run(LEASE_S)
    allowed = []
    for _ in range(40):
        allowed.append(support.wait_s("b#0") <= 0)
        if allowed[-1]:
            support.prefer("b#0")
        world.run(world.time + support.round_s / 2)
    first_no = allowed.index(False)
    next_yes = allowed.index(True, first_no)
    assert 9 <= first_no <= 12 and 8 <= next_yes - first_no <= 11, allowed
    world.run(world.time + support.round_s)
    support.support("b#0")
    assert support.wait_s("c#0") > 0 and support.wait_s("b#0") <= 0


def test_the_better_rank_is_preferred_among_those_that_ask_at_once():
    world = World(1)
    machine = world.machine("a:1")
    record = EpochRecord(3, "p#0", ("p#0", "b#0", "c#0"), ("a#0", "b#0", "c#0"))
    register = AcceptorStateFile(MemberIdentity("a:1", True, ("a:1",)), machine.files, world.random)
    register.save(AcceptorState("a#0", record, 3, "p#0"))
    support = VoteDeference(Acceptor(register, machine.clock(), LEASE_S), machine.clock())
    world.run(LEASE_S)
    support.prefer("c#0")
    assert support.wait_s("b#0") <= 0
    support.prefer("b#0")
    assert support.wait_s("c#0") > 0
    support.support("c#0")
    assert support.wait_s("b#0") > 0


def test_a_member_outside_the_group_announces_itself_to_the_primary_alone():
    """Seen on the Stadtwerke Steyr site: spare machines told everybody four times a second that they were there."""
    group = started(size=3, tolerated=1)
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


def test_a_primary_keeps_its_lease_while_its_own_next_epoch_takes_long():
    """Seen simulated with 30 ms a sync: each change of the in-sync set cost the primary its lease, for ever again."""
    world = World(1)
    machine = world.machine("a:1")
    record = EpochRecord(3, "b#0", ("b#0",), ("a#0", "b#0", "c#0"))
    register = AcceptorStateFile(MemberIdentity("a:1", True, ("a:1",)), machine.files, world.random)
    register.save(AcceptorState("a#0", record, 3, "b#0"))
    witness = Acceptor(register, machine.clock(), LEASE_S)
    assert isinstance(witness.prepare(Prepare(4, "b#0"), Position(0, 0)), Promise)
    assert witness.grant(LeaseRequest(record, 1))
    assert isinstance(witness.prepare(Prepare(5, "c#0"), Position(0, 0)), PrepareRejected)
    world.run(world.time + LEASE_S + 0.01)
    assert isinstance(witness.prepare(Prepare(5, "c#0"), Position(0, 0)), Promise)
    assert not witness.grant(LeaseRequest(record, 2))


def test_a_register_whose_second_file_is_behind_is_written_anew_at_the_start():
    """Else a promise made from the first file alone would be forgotten where that one is damaged later."""
    machine = World(1).machine("a:1")
    identity = MemberIdentity("a:1", True, ("a:1",))
    register = AcceptorStateFile(identity, machine.files, machine.world.random)
    before = machine.files.read(ACCEPTOR_STATE_FILE + SECOND_FILE_SUFFIX)
    register.save(AcceptorState("a#0", register.state.accepted, 7, "b#0"))
    machine.files._files[ACCEPTOR_STATE_FILE + SECOND_FILE_SUFFIX] = before
    assert AcceptorStateFile(identity, machine.files, machine.world.random).state.promised == 7
    machine.files.truncate(ACCEPTOR_STATE_FILE, machine.world.random)
    assert AcceptorStateFile(identity, machine.files, machine.world.random).state.promised == 7
