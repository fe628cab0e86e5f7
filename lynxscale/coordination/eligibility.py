"""Which replica may become primary, and the record that a candidate proposes once a majority has promised."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from lynxscale.coordination.messages import EpochRecord, Position
from lynxscale.coordination.proposal import Proposal
from lynxscale.coordination.store import NO_POSITION


@dataclass(frozen=True, slots=True)
class CandidacyDecision:
    """A record to propose, or ``more_complete``, a voter that must take over instead; neither means to give up."""

    record: EpochRecord | None = None
    more_complete: str = ""


def decide_candidacy(candidate: str, position: Position, proposal: Proposal, tolerated: int) -> CandidacyDecision:
    """Decide what a candidate proposes, given the promises. ``position``: the durable position of its replica.

    Only an in-sync voter may lead. In-sync members that have not promised may have failed, so they are left out of the
    record if more than ``tolerated`` replicas remain.
    """
    base = proposal.base
    if candidate not in base.in_sync or candidate not in base.voters:
        return CandidacyDecision()
    more_complete = more_complete_voter(base, proposal.promised, position)
    if more_complete:
        return CandidacyDecision(more_complete=more_complete)
    present = tuple(member for member in base.in_sync if proposal.promised.get(member, NO_POSITION) != NO_POSITION)
    in_sync = present if len(present) > tolerated else base.in_sync
    previous_voters = proposal.base_quorum.decided_voters
    return CandidacyDecision(EpochRecord(proposal.epoch, candidate, in_sync, base.voters, previous_voters))


def more_complete_voter(record: EpochRecord, positions: Mapping[str, Position], own: Position) -> str:
    """The in-sync voter with the highest replica position, if that is beyond ``own``; otherwise empty.

    An in-sync replica at a lower position has lost its newest files.
    """
    voters = [member for member in record.in_sync if member in record.voters and member in positions]
    best = max(voters, key=lambda member: positions[member], default="")
    return best if best and positions[best] > own else ""
