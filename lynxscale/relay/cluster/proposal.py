"""One proposal of a membership change: what its proposer knows of the acceptors' answers."""

from __future__ import annotations

from dataclasses import dataclass, field

from lynxscale.relay.cluster.messages import Ballot, MembershipChange


@dataclass(slots=True)
class Proposal:
    """A proposer's state from ``Prepare`` until the decision or its failure. Times in µs."""

    number: int
    ballot: Ballot
    change: MembershipChange
    previously_accepted: bool  # some acceptor has accepted that change before
    progress_at: int  # when it began, or last had a new answer
    retry_at: int
    reassert_at: int  # when it is next sent to those too that have answered
    promises: dict[str, tuple[Ballot, MembershipChange | None]] = field(default_factory=dict)
    ready_at: dict[str, int] = field(default_factory=dict)  # when each that has promised can accept
    accepted_by: set[str] = field(default_factory=set)
    rejected_by: set[str] = field(default_factory=set)
    preparing: bool = True  # for promises; else to accept
