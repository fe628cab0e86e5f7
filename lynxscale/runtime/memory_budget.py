"""Bounds the bytes that wait in a process: unfinished requests, responses under way, and partial messages of peers.

Without a bound, clients that stop in the middle would fill the memory until the process is killed.
"""

from __future__ import annotations

from attrs import define, field


@define
class MemoryBudget:
    """The bytes that one kind of waiting data may take together.

    ``refusals``: how many reservations were refused.
    """

    limit_bytes: float = float("inf")
    used_bytes: int = 0
    refusals: int = 0


@define(eq=False)
class Reservation:
    """The part of a budget that one holder of data takes. ``size_bytes``: its size now."""

    _budget: MemoryBudget
    size_bytes: int = field(default=0, init=False)

    def resize(self, size_bytes: int) -> bool:
        """Take as many bytes in all; return False, and leave the size as it is, if the budget has not so many.

        A smaller size is never refused.
        """
        growth = size_bytes - self.size_bytes
        if growth == 0:
            return True
        if growth > 0 and self._budget.used_bytes + growth > self._budget.limit_bytes:
            self._budget.refusals += 1
            return False
        self.hold(size_bytes)
        return True

    def hold(self, size_bytes: int) -> None:
        """Take as many bytes in all, even beyond the budget, because they are in memory already."""
        self._budget.used_bytes += size_bytes - self.size_bytes
        self.size_bytes = size_bytes

    def release(self) -> None:
        """Give all bytes back. Repeated calls have no effect."""
        if self.size_bytes:
            self.hold(0)
