"""Parts of the tier by themselves."""

from lab.tier.world import World
from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.acceptor_state import AcceptorState, AcceptorStateFile, MemberIdentity
from lynxscale.coordination.messages import (
    EpochRecord,
    LeaseRequest,
    Position,
    Prepare,
    PrepareRejected,
    Promise,
)


def test_a_witness_promises_nobody_else_while_its_lease_may_run():
    world = World(4)
    machine = world.machine("a:1")
    clock = machine.clock()
    record = EpochRecord(3, "b#0", ("b#0",), ("a#0", "b#0", "c#0"))
    register = AcceptorStateFile(MemberIdentity("a:1", True, ("a:1",)), machine.files, world.random)
    register.save(AcceptorState("a#0", record))
    witness = Acceptor(register, clock, 0.4)
    start = Position(0, 0)
    assert witness.grant(LeaseRequest(record, 1))
    assert isinstance(witness.prepare(Prepare(4, "c#0"), start), PrepareRejected)
    assert isinstance(witness.prepare(Prepare(4, "b#0"), start), Promise)
    # Its holder asks for its own next epoch: the lease goes on. Nobody else gets a promise or a lease meanwhile.
    assert witness.grant(LeaseRequest(record, 2))
    assert isinstance(witness.prepare(Prepare(5, "c#0"), start), PrepareRejected)
    assert not witness.grant(LeaseRequest(EpochRecord(3, "c#0", ("c#0",), record.voters), 1))
    restarted = Acceptor(AcceptorStateFile(MemberIdentity("a:1", False, ()), machine.files, world.random), clock, 0.4)
    assert isinstance(restarted.prepare(Prepare(5, "c#0"), start), PrepareRejected)
    world.run(world.time + 0.41)
    assert isinstance(restarted.prepare(Prepare(5, "c#0"), start), Promise)
    assert restarted.accept(EpochRecord(4, "b#0", ("b#0",), ("a#0", "b#0", "c#0"))) is None
