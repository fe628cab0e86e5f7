"""Promises and lease grants of one acceptor."""

from lab.tier.world import World
from lynxscale.coordination.acceptor import Acceptor, DeferredPromise
from lynxscale.coordination.acceptor_state import AcceptorState, AcceptorStateFile, MemberIdentity
from lynxscale.coordination.lease import LEASE_S, MAX_ADVANCE_S
from lynxscale.coordination.messages import EpochRecord, LeaseRequest, Position, Prepare, PrepareRejected, Promise


def test_primary_keeps_its_lease_during_its_own_next_epoch():
    """Regression: with 30 ms per disk sync, every change of the in-sync set cost the primary its lease, forever."""
    world = World(1)
    machine = world.machine("a:1")
    record = EpochRecord(3, "b#0", ("b#0",), ("a#0", "b#0", "c#0"))
    state_file = AcceptorStateFile(MemberIdentity("a:1", True, ("a:1",)), machine.files, world.random)
    state_file.save(AcceptorState("a#0", record, 3, "b#0"))
    acceptor = Acceptor(state_file, machine.clock(), LEASE_S)
    assert isinstance(acceptor.prepare(Prepare(4, "b#0"), Position(0, 0)), Promise)
    assert acceptor.grant(LeaseRequest(record, 1))
    assert isinstance(acceptor.prepare(Prepare(5, "c#0"), Position(0, 0)), PrepareRejected)
    world.run(world.time + LEASE_S + 0.01)
    assert isinstance(acceptor.prepare(Prepare(5, "c#0"), Position(0, 0)), Promise)
    assert not acceptor.grant(LeaseRequest(record, 2))


def test_no_promise_to_others_while_a_granted_lease_may_run():
    world = World(4)
    machine = world.machine("a:1")
    clock = machine.clock()
    record = EpochRecord(3, "b#0", ("b#0",), ("a#0", "b#0", "c#0"))
    state_file = AcceptorStateFile(MemberIdentity("a:1", True, ("a:1",)), machine.files, world.random)
    state_file.save(AcceptorState("a#0", record))
    acceptor = Acceptor(state_file, clock, 0.4)
    start = Position(0, 0)
    assert acceptor.grant(LeaseRequest(record, 1))
    assert isinstance(acceptor.prepare(Prepare(4, "c#0"), start), PrepareRejected)
    assert isinstance(acceptor.prepare(Prepare(4, "b#0"), start), Promise)
    # The holder asked for its own next epoch: its lease is renewed, and no other member gets a promise or a lease.
    assert acceptor.grant(LeaseRequest(record, 2))
    assert isinstance(acceptor.prepare(Prepare(5, "c#0"), start), PrepareRejected)
    assert not acceptor.grant(LeaseRequest(EpochRecord(3, "c#0", ("c#0",), record.voters), 1))
    restarted = Acceptor(AcceptorStateFile(MemberIdentity("a:1", False, ()), machine.files, world.random), clock, 0.4)
    assert isinstance(restarted.prepare(Prepare(5, "c#0"), start), PrepareRejected)
    world.run(world.time + 0.41)
    assert isinstance(restarted.prepare(Prepare(5, "c#0"), start), Promise)
    assert restarted.accept(EpochRecord(4, "b#0", ("b#0",), ("a#0", "b#0", "c#0"))) is None


def test_a_promise_is_stored_shortly_before_a_lease_ends_and_given_once_it_has():
    world = World(5)
    machine = world.machine("a:1")
    record = EpochRecord(3, "b#0", ("b#0",), ("a#0", "b#0", "c#0"))
    state_file = AcceptorStateFile(MemberIdentity("a:1", True, ("a:1",)), machine.files, world.random)
    state_file.save(AcceptorState("a#0", record, 3, "b#0"))
    acceptor = Acceptor(state_file, machine.clock(), LEASE_S)
    assert acceptor.grant(LeaseRequest(record, 1))
    world.run(LEASE_S - MAX_ADVANCE_S - 0.01)
    assert isinstance(acceptor.prepare(Prepare(4, "c#0"), Position(0, 0)), PrepareRejected)
    assert acceptor.state.promised == 3
    world.run(LEASE_S - MAX_ADVANCE_S + 0.01)
    answer = acceptor.prepare(Prepare(4, "c#0"), Position(0, 0))
    assert isinstance(answer, DeferredPromise) and 0 < answer.wait_s < MAX_ADVANCE_S
    assert acceptor.state.promised == 4 and acceptor.state.promised_to == "c#0"
    assert not acceptor.grant(LeaseRequest(record, 2))
    world.run(LEASE_S + 0.001)
    assert isinstance(acceptor.prepare(Prepare(4, "c#0"), Position(0, 0)), Promise)


def test_a_stored_promise_does_not_outlive_a_higher_one():
    world = World(6)
    machine = world.machine("a:1")
    record = EpochRecord(3, "b#0", ("b#0",), ("a#0", "b#0", "c#0"))
    state_file = AcceptorStateFile(MemberIdentity("a:1", True, ("a:1",)), machine.files, world.random)
    state_file.save(AcceptorState("a#0", record, 3, "b#0"))
    acceptor = Acceptor(state_file, machine.clock(), LEASE_S)
    assert acceptor.grant(LeaseRequest(record, 1))
    world.run(LEASE_S - MAX_ADVANCE_S + 0.01)
    assert isinstance(acceptor.prepare(Prepare(4, "c#0"), Position(0, 0)), DeferredPromise)
    assert isinstance(acceptor.prepare(Prepare(5, "b#0"), Position(0, 0)), Promise)  # b#0 holds the lease itself
    world.run(LEASE_S + 0.001)
    assert isinstance(acceptor.prepare(Prepare(4, "c#0"), Position(0, 0)), PrepareRejected)
