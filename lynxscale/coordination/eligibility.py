"""Eligibility as primary, and the record that a candidate proposes once a majority has promised it an epoch."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from lynxscale.coordination.messages import EpochRecord, Position
from lynxscale.coordination.proposal import Proposal
from lynxscale.coordination.store import NO_POSITION


@dataclass(frozen=True, slots=True)
class CandidacyDecision:
    """A record to propose; or ``more_complete``, a voter that has to stand instead; or neither, to give up."""

    record: EpochRecord | None = None
    more_complete: str = ""


def decide_candidacy(candidate: str, position: Position, proposal: Proposal, tolerated: int) -> CandidacyDecision:
    """Decide by the promises. ``position``: how far the candidate's replica reaches.

    Only a voter whose replica counts may lead. In-sync members that have not promised are left out of the record where
    more than ``tolerated`` replicas remain, as they may have failed.
    """
    base = proposal.base
    if candidate not in base.in_sync or candidate not in base.voters:
        return CandidacyDecision()
    more_complete = more_complete_voter(base, proposal.promised, position)
    if more_complete:
        return CandidacyDecision(more_complete=more_complete)
    present = tuple(member for member in base.in_sync if proposal.promised.get(member, NO_POSITION) != NO_POSITION)
    in_sync = present if len(present) > tolerated else base.in_sync
    return CandidacyDecision(EpochRecord(proposal.epoch, candidate, in_sync, base.voters))


def more_complete_voter(record: EpochRecord, positions: Mapping[str, Position], own: Position) -> str:
    """The in-sync voter whose replica reaches furthest, if that is beyond ``own``; else empty.

    An in-sync replica that reaches less far has lost its last files.
    """
    voters = [member for member in record.in_sync if member in record.voters and member in positions]
    best = max(voters, key=lambda member: positions[member], default="")
    return best if best and positions[best] > own else ""
