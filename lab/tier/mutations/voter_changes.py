"""Mutations of the quorums of records that change the voters."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from lab.tier.models import voter_changes as voter_changes_model
from lab.tier.mutations.detectors import Patches
from lynxscale.coordination import leadership
from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.membership_plan import PlanInput, plan_next_record
from lynxscale.coordination.messages import Accepted, EpochRecord
from lynxscale.coordination.proposal import Proposal
from lynxscale.coordination.proposer import Proposer
from lynxscale.coordination.quorum import DecidedRecord, Quorum


def undecided_voters_are_the_quorum() -> Patches:
    """A round on an undecided record asks only for a majority of that record's voters (review case 1)."""
    return [(Proposal, "base_quorum", property(lambda self: Quorum((self.base.voters,))))]


def new_voters_decide_alone() -> Patches:
    """A change of voters is decided by a majority of the new voters."""
    return [(Proposal, "accept", _accept(lambda record: Quorum((record.voters,))))]


def previous_voters_decide_alone() -> Patches:
    """A change of voters is decided by a majority of the previous voters: the new ones may be out of reach for good."""
    return [(Proposal, "accept", _accept(lambda record: Quorum((record.previous_voters or record.voters,))))]


def _accept(quorum_of: Callable[[EpochRecord], Quorum]) -> Callable[[Proposal, Accepted], DecidedRecord | None]:
    def accept(self: Proposal, answer: Accepted) -> DecidedRecord | None:
        if answer.epoch != self.epoch or self.record is None:
            return None
        self.accepted.add(answer.voter)
        return DecidedRecord(self.record) if quorum_of(self.record).is_reached(self.accepted) else None

    return accept


def undecided_voters_are_changed_again() -> Patches:
    """A primary changes the voters of a record that may be undecided."""

    def plan(plan_input: PlanInput, epoch: int) -> EpochRecord:
        return plan_next_record(replace(plan_input, base_quorum=Quorum((plan_input.base.voters,))), epoch)

    return [(owner, "plan_next_record", plan) for owner in (voter_changes_model, leadership)]


def undecided_voters_count_as_previous() -> Patches:
    """A candidate forgets the previous voters of a record that may be undecided."""
    return [(Quorum, "decided_voters", property(lambda self: self.voter_sets[-1]))]


def accepted_record_counts_as_decided() -> Patches:
    """A primary counts grants by the voters of the record that it has accepted, even if that is undecided."""
    return [(Proposer, "known_record", property(lambda self: DecidedRecord(self._acceptor.record)))]


def accept_binds_no_lease() -> Patches:
    """A voter that accepts a primary's next record may promise another candidate at once."""

    def accept(self: Acceptor, record: EpochRecord) -> Accepted | None:
        holder, until = self._lease_holder, self._lease_until
        answer = original(self, record)
        self._lease_holder, self._lease_until = holder, until
        return answer

    original = Acceptor.accept
    return [(Acceptor, "accept", accept)]
