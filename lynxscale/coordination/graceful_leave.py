"""The end of a member that is asked to stop: it goes on voting and copying until nothing depends on it.

States: STAYING, LEAVING (it tells so, again and again) and RELEASED: a primary told that no decided record counts its
copy any more, and either none names its vote or nobody could take its place. A stop that is followed by a return is
not told apart; where nobody could take its place the release takes one round of the register.
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum


class LeaveState(Enum):
    """Where a member stands on its way out."""

    STAYING = "staying"
    LEAVING = "leaving"
    RELEASED = "released"


class GracefulLeave:
    """One process's way out. ``on_release()`` is called once."""

    def __init__(self) -> None:
        self.state = LeaveState.STAYING
        self._on_release: Callable[[], None] = lambda: None

    @property
    def leaving(self) -> bool:
        """Is the member to stop, released or not?"""
        return self.state is not LeaveState.STAYING

    @property
    def pending(self) -> bool:
        """Does it wait to be released?"""
        return self.state is LeaveState.LEAVING

    def begin(self, on_release: Callable[[], None]) -> None:
        """The process was asked to stop."""
        if self.state is LeaveState.STAYING:
            self._on_release = on_release
            self.state = LeaveState.LEAVING

    def release(self) -> None:
        """Nothing depends on the member any more."""
        if self.state is LeaveState.LEAVING:
            self.state = LeaveState.RELEASED
            self._on_release()
