"""Voters defer to one candidate at a time."""

from lab.tier.world import World
from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.acceptor_state import AcceptorState, AcceptorStateFile, MemberIdentity
from lynxscale.coordination.lease import LEASE_S
from lynxscale.coordination.messages import EpochRecord
from lynxscale.coordination.vote_deference import VoteDeference


def test_fruitless_candidate_backs_off():
    """Regression: a member that received no replies kept asking, and all voters kept deferring to it."""
    world = World(1)
    machine = world.machine("a:1")
    record = EpochRecord(3, "p#0", ("p#0", "b#0", "c#0"), ("a#0", "b#0", "c#0"))
    state_file = AcceptorStateFile(MemberIdentity("a:1", True, ("a:1",)), machine.files, world.random)
    state_file.save(AcceptorState("a#0", record, 3, "p#0"))
    deference = VoteDeference(Acceptor(state_file, machine.clock(), LEASE_S), machine.clock())
    world.run(LEASE_S)
    allowed = []
    for _ in range(40):
        allowed.append(deference.wait_s("b#0") <= 0)
        if allowed[-1]:
            deference.prefer("b#0")
        world.run(world.time + deference.round_s / 2)
    first_no = allowed.index(False)
    next_yes = allowed.index(True, first_no)
    assert 9 <= first_no <= 12 and 8 <= next_yes - first_no <= 11, allowed
    world.run(world.time + deference.round_s)
    deference.support("b#0")
    assert deference.wait_s("c#0") > 0 and deference.wait_s("b#0") <= 0


def test_better_rank_is_preferred_among_concurrent_pre_votes():
    world = World(1)
    machine = world.machine("a:1")
    record = EpochRecord(3, "p#0", ("p#0", "b#0", "c#0"), ("a#0", "b#0", "c#0"))
    state_file = AcceptorStateFile(MemberIdentity("a:1", True, ("a:1",)), machine.files, world.random)
    state_file.save(AcceptorState("a#0", record, 3, "p#0"))
    deference = VoteDeference(Acceptor(state_file, machine.clock(), LEASE_S), machine.clock())
    world.run(LEASE_S)
    deference.prefer("c#0")
    assert deference.wait_s("b#0") <= 0
    deference.prefer("b#0")
    assert deference.wait_s("c#0") > 0
    deference.support("c#0")
    assert deference.wait_s("b#0") > 0
