"""Bounds the bytes that wait in a process: unfinished requests, responses under way, and partial messages of peers.

Without a bound, clients that stop in the middle would fill the memory until the process is killed. Where a budget is
used up, the holder that is stalled or else holds most has to give its bytes back, so that one which has just come is
not refused because of the others.
"""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field, frozen

STALLED_S = 1.0
"""A holder that has made no progress for this long gives way to all that have."""


@frozen
class Holder:
    """Something that holds bytes of a budget and can give them back before its end, such as a client's connection.

    ``stalled_since()``: the time (as by ``Clock.now``) of its last progress, None while its bytes must not be taken.
    ``give_way()`` gives back all bytes at once, by refusing or closing what they belong to.
    """

    stalled_since: Callable[[], float | None]
    give_way: Callable[[], None]


@define
class MemoryBudget:
    """The bytes that one kind of waiting data may take together.

    ``refusals``: how many reservations were refused, or had to give way to others.
    """

    limit_bytes: float = float("inf")
    used_bytes: int = 0
    refusals: int = 0
    reservations: set[Reservation] = field(factory=set)
    """Those that have a holder and are not empty."""

    def make_room(self, needed_bytes: int, requester: Reservation, now: float) -> bool:
        """Let holders give way until ``needed_bytes`` are free; return False if that takes more than the requester's.

        Only those give way that are stalled, or else hold more than the requester would.
        """
        candidates = [
            (now - since >= STALLED_S, reservation.size_bytes, reservation)
            for reservation in list(self.reservations)
            if reservation is not requester and (since := reservation.stalled_since) is not None
        ]
        requested = (False, requester.size_bytes + needed_bytes)
        candidates = [candidate for candidate in candidates if candidate[:2] > requested]
        candidates.sort(key=lambda candidate: candidate[:2])
        while candidates and self.used_bytes + needed_bytes > self.limit_bytes:
            self.refusals += 1
            candidates.pop()[2].give_way()
        return self.used_bytes + needed_bytes <= self.limit_bytes


@define(eq=False)
class Reservation:
    """The part of a budget that one holder of data takes. ``size_bytes``: its size now.

    ``holder``: what gives the bytes back if others need them; None if nothing does.
    """

    _budget: MemoryBudget
    _holder: Holder | None = None
    size_bytes: int = field(default=0, init=False)

    @property
    def stalled_since(self) -> float | None:
        """The time of its holder's last progress, None while the holder must not give way."""
        return None if self._holder is None else self._holder.stalled_since()

    def give_way(self) -> None:
        """Have the holder give its bytes back."""
        if self._holder is not None:
            self._holder.give_way()

    def resize(self, size_bytes: int, now: float | None = None) -> bool:
        """Take as many bytes in all; return False, and leave the size as it is, if the budget has not so many.

        A smaller size is never refused. ``now``: the time, if others have to give way to this one.
        """
        growth = size_bytes - self.size_bytes
        if growth == 0:
            return True
        fits = growth < 0 or self._budget.used_bytes + growth <= self._budget.limit_bytes
        if not fits and (now is None or not self._budget.make_room(growth, self, now)):
            self._budget.refusals += 1
            return False
        self._take(size_bytes)
        return True

    def hold(self, size_bytes: int, now: float | None = None) -> None:
        """Take as many bytes in all, even beyond the budget, because they are in memory already.

        ``now``: the time, if others have to give way to this one; where none can, its own holder gives way if it may.
        """
        self._take(size_bytes)
        if now is None or self._budget.used_bytes <= self._budget.limit_bytes:
            return
        if not self._budget.make_room(0, self, now) and self.stalled_since is not None:
            self._budget.refusals += 1
            self.give_way()

    def _take(self, size_bytes: int) -> None:
        self._budget.used_bytes += size_bytes - self.size_bytes
        self.size_bytes = size_bytes
        if self._holder is not None:
            if size_bytes:
                self._budget.reservations.add(self)
            else:
                self._budget.reservations.discard(self)

    def release(self) -> None:
        """Give all bytes back. Repeated calls have no effect."""
        if self.size_bytes:
            self._take(0)
