"""What a candidate proposes once a majority has promised it an epoch: itself, or that another should stand."""

from __future__ import annotations

from dataclasses import dataclass

from lynxscale.coordination.acceptor import Proposal
from lynxscale.coordination.messages import EpochRecord, Position
from lynxscale.coordination.store import NO_POSITION


@dataclass(frozen=True, slots=True)
class CandidacyDecision:
    """The outcome: a record to propose, or a member whose copy reaches further, or neither."""

    record: EpochRecord | None = None
    further: str = ""


def decide_candidacy(me: str, held: Position, proposal: Proposal, tolerated: int) -> CandidacyDecision:
    """``held``: how far the own copy reaches. Only a voter whose copy counts may lead.

    Those in sync that have not promised are left out where enough copies remain, as they may be gone.
    """
    base = proposal.base
    if me not in base.in_sync or me not in base.voters:
        return CandidacyDecision()
    further = _more_complete_voter(me, held, proposal)
    if further:
        return CandidacyDecision(further=further)
    present = tuple(one for one in base.in_sync if proposal.promised.get(one, NO_POSITION) != NO_POSITION)
    in_sync = present if len(present) > tolerated else base.in_sync
    return CandidacyDecision(EpochRecord(proposal.epoch, me, in_sync, base.voters))


def _more_complete_voter(me: str, held: Position, proposal: Proposal) -> str:
    """An in-sync voter whose copy reaches further than the candidate's, which may have lost its last files."""
    base = proposal.base
    voters = [one for one in base.in_sync if one in base.voters and one in proposal.promised]
    best = max(voters, key=lambda one: proposal.promised[one], default=me)
    return best if proposal.promised.get(best, NO_POSITION) > held else ""
