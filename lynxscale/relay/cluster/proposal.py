"""One proposal of a membership change, with the answers of the acceptors so far."""

from __future__ import annotations

from dataclasses import dataclass, field

from lynxscale.relay.cluster.messages import Ballot, MembershipChange


@dataclass(slots=True)
class Proposal:
    """A proposer's state from ``Prepare`` until the decision or its failure. Times in µs."""

    number: int
    ballot: Ballot
    change: MembershipChange
    previously_accepted: bool  # some acceptor has accepted the change before
    progress_at: int  # start, or time of the last new answer
    retry_at: int
    reassert_at: int  # when it is also resent to acceptors that have answered
    promises: dict[str, tuple[Ballot, MembershipChange | None]] = field(default_factory=dict)
    ready_at: dict[str, int] = field(default_factory=dict)  # time at which each promising acceptor can accept
    accepted_by: set[str] = field(default_factory=set)
    rejected_by: set[str] = field(default_factory=set)
    preparing: bool = True  # True in phase 1 (Prepare), False in phase 2 (Accept)
