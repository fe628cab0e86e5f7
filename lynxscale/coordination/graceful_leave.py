"""Graceful shutdown of a member: it keeps voting and replicating until nothing depends on it.

The primary approves the leave once the member's replica is not in sync in the decided record, and the member either
is not a voter there or cannot be replaced. The member repeats its request until then. A stop for a restart is handled
the same way; if no member can replace it, the approval takes one Paxos round.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto


class LeaveState(Enum):
    """Progress of a member's graceful shutdown."""

    NOT_REQUESTED = auto()
    PENDING = auto()
    APPROVED = auto()


class GracefulLeave:
    """The shutdown of one process, and whether the primary has approved it."""

    def __init__(self) -> None:
        self._state = LeaveState.NOT_REQUESTED
        self._on_approved: Callable[[], None] = lambda: None

    @property
    def requested(self) -> bool:
        """Was the member asked to stop, whether or not the leave is approved yet?"""
        return self._state is not LeaveState.NOT_REQUESTED

    @property
    def pending(self) -> bool:
        """Does the member wait for the approval of its leave?"""
        return self._state is LeaveState.PENDING

    def request(self, on_approved: Callable[[], None]) -> None:
        """The process was asked to stop. ``on_approved()`` is called once; a repeated request is ignored."""
        if self._state is LeaveState.NOT_REQUESTED:
            self._on_approved = on_approved
            self._state = LeaveState.PENDING

    def approve(self) -> None:
        """Nothing depends on the member any more."""
        if self.pending:
            self._state = LeaveState.APPROVED
            self._on_approved()
