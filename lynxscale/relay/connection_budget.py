"""Who goes first when client connections or their bytes run short: a rule without I/O.

A connection that has brought no whole request yet stands among the *new*, one that rests after an answer among the
*idle*; one with a request under way in neither, and is never closed for room. Half a request counts in bytes. Times are
µs on the loop's clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

YOUNG, RESTED = 50_000, 500_000  # silent, or at rest, for so long: closed for room before all others


class Room:
    """Connections by their place. ``most``: how many there may be; ``easy``: beyond so many the rested ones go;
    ``bytes_most``: that all unfinished requests together may take."""

    def __init__(self, bytes_most: int) -> None:
        self.most = self.easy = 0
        self.bytes_most, self.bytes = bytes_most, 0
        self._new: OrderedDict[int, int] = OrderedDict()  # since when, the oldest first
        self._idle: OrderedDict[int, int] = OrderedDict()  # the longest idle first
        self._half: OrderedDict[int, int] = OrderedDict()  # bytes of unfinished requests, the oldest first

    # What connections do -------------------------------------------------------------------------

    def joined(self, place: int, now: int) -> None:
        self._new[place] = now

    def rests(self, place: int, now: int) -> None:
        """It has its answer and asks for nothing."""
        self._new.pop(place, None)
        self._idle[place] = now
        self._idle.move_to_end(place)

    def works(self, place: int) -> None:
        """It has begun to ask, or is closing."""
        self._idle.pop(place, None)

    def closing(self, place: int) -> None:
        """It gives its place back soon: it need not be asked to."""
        self._idle.pop(place, None)
        self._new.pop(place, None)
        self.holds(place, 0)

    def holds(self, place: int, size: int) -> None:
        """So many bytes of unfinished requests are kept for it."""
        self.bytes += size - self._half.get(place, 0)
        if size:
            self._half[place] = size
        else:
            self._half.pop(place, None)

    # Who goes ------------------------------------------------------------------------------------

    def idle(self) -> list[int]:
        """All at rest, the longest first."""
        return list(self._idle)

    def rested(self, now: int) -> Iterator[int]:
        """At rest for long enough that a usual client has no use for it."""
        for place, since in list(self._idle.items()):
            if since > now - RESTED:
                return
            yield place

    def silent(self, now: int, age: int = 0) -> Iterator[int]:
        """With no whole request, for so long or longer; never the youngest, which has just come."""
        last = next(reversed(self._new), None)
        for place, since in list(self._new.items()):
            if since > now - age or place == last:
                return
            yield place

    def leavers(self, now: int) -> Iterator[int]:
        """Who goes for a new one at the bound, the first to go first.

        Usual clients send at once and come back soon, so those that are silent or rest for longer go before them.
        """
        yield from self.silent(now, YOUNG)
        yield from self.rested(now)
        yield from self.silent(now)
        yield from self.idle()

    def heavy(self) -> Iterator[int]:
        """Who goes because unfinished requests take too many bytes: those that came to be so first."""
        for place in list(self._half):
            if self.bytes <= self.bytes_most:
                return
            yield place
