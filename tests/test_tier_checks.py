"""The tier's own checkers: histories find nothing, mistakes put in are found, and small parts by themselves."""

import pytest

from lab.tier import mutations
from lab.tier.histories import History
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


@pytest.mark.parametrize("seed", range(1, 41))
def test_a_drawn_history_breaks_no_rule(seed):
    assert not History(seed).play(), seed


QUICKLY_FOUND = (
    "lease_is_never_checked",
    "settled_at_nothing",
    "chain_lacks_its_oldest",
    "cached_history_is_taken_for_any_chain",
    "unsafe_call_is_sent_again",
    "leaving_member_goes_at_once",
    "one_copy_is_left",
    "vote_goes_and_copy_stays",
    "resend_is_judged_by_its_number",
    "resend_is_refused",
    "update_goes_by_any_version",
    "refusal_rests_on_what_is_undecided",
    "snapshot_is_mixed_of_two",
    "batches_between_parts_are_lost",
    "given_up_dial_was_not_sent",
    "nameless_answer_is_the_own",
    "any_refusal_is_the_own",
)


@pytest.mark.parametrize(
    "mistake", [one for one in mutations.ALL if one.name in QUICKLY_FOUND], ids=lambda one: one.name
)
def test_a_mistake_put_in_is_found(mistake):
    """All of them, within more histories: python -m lab.tier.mutations."""
    assert mutations.detect(mistake, most=20)


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
