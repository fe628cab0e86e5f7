"""The graceful shutdown of a member: it goes on voting and replicating until nothing depends on it.

The primary approves the leave once no decided record counts the member's replica, and either none names it as a
voter or no member could replace it. The member repeats its request until then. A stop for a restart is treated the
same; where no member could replace it, the approval takes one round of Paxos.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum, auto


class LeaveState(Enum):
    """How far a member's shutdown has come."""

    NOT_REQUESTED = auto()
    PENDING = auto()
    APPROVED = auto()


class GracefulLeave:
    """One process's shutdown. ``on_approved()`` is called once."""

    def __init__(self) -> None:
        self._state = LeaveState.NOT_REQUESTED
        self._on_approved: Callable[[], None] = lambda: None

    @property
    def requested(self) -> bool:
        """Is the member to stop, approved or not?"""
        return self._state is not LeaveState.NOT_REQUESTED

    @property
    def pending(self) -> bool:
        """Does it wait for approval?"""
        return self._state is LeaveState.PENDING

    def request(self, on_approved: Callable[[], None]) -> None:
        """The process was asked to stop; a repeated request is ignored."""
        if self._state is LeaveState.NOT_REQUESTED:
            self._on_approved = on_approved
            self._state = LeaveState.PENDING

    def approve(self) -> None:
        """Nothing depends on the member any more."""
        if self.pending:
            self._state = LeaveState.APPROVED
            self._on_approved()
