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


QUICKLY_DETECTED = (
    "lease_is_never_checked",
    "turn_is_charged_nothing",
    "history_lacks_its_oldest_turns",
    "cached_history_is_used_for_any_chain",
    "unsafe_call_is_retried",
    "leaving_member_stops_at_once",
    "single_replica_is_left",
    "replaced_voter_stays_in_sync",
    "retry_is_judged_by_its_generation",
    "retry_is_rejected",
    "update_ignores_its_base_version",
    "rejection_precedes_the_commit",
    "snapshot_mixes_two_positions",
    "batches_between_chunks_are_lost",
    "timed_out_connect_counts_as_unsent",
    "response_without_id_is_accepted",
    "foreign_rejection_is_accepted",
)


@pytest.mark.parametrize(
    "mutation", [one for one in mutations.ALL if one.name in QUICKLY_DETECTED], ids=lambda one: one.name
)
def test_a_mutation_is_detected(mutation):
    """All of them, within more histories: python -m lab.tier.mutations."""
    assert mutations.detect(mutation, max_histories=20)


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
