"""Which client connections are evicted when connections or buffered bytes run short: a policy without I/O.

A connection without a complete request so far is *new*; one that waits for its next request is *idle*; one with a
request under way is neither, and is never evicted for capacity. An incomplete request counts by its buffered bytes.
Times are µs on the loop's clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

# A connection that is silent or idle for longer is evicted before all others, in µs.
SILENT_GRACE, IDLE_GRACE = 50_000, 500_000


class ConnectionBudget:
    """Client connections by slot number.

    ``max_connections``: how many there may be. ``idle_limit``: beyond so many, those idle for long are evicted.
    ``max_bytes``: what all incomplete requests together may buffer.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_connections = self.idle_limit = 0
        self.max_bytes, self.buffered = max_bytes, 0
        self._new: OrderedDict[int, int] = OrderedDict()  # since when, the oldest first
        self._idle: OrderedDict[int, int] = OrderedDict()  # since when, the longest idle first
        self._bytes: OrderedDict[int, int] = OrderedDict()  # of incomplete requests, the oldest first

    # State of the connections --------------------------------------------------------------------

    def opened(self, slot: int, now: int) -> None:
        """A connection was accepted."""
        self._new[slot] = now

    def idle(self, slot: int, now: int) -> None:
        """It has its response, and no further request."""
        self._new.pop(slot, None)
        self._idle[slot] = now
        self._idle.move_to_end(slot)

    def busy(self, slot: int) -> None:
        """A request has begun, or the connection is closing."""
        self._idle.pop(slot, None)

    def closing(self, slot: int) -> None:
        """It frees its slot soon: it is no candidate for eviction."""
        self._idle.pop(slot, None)
        self._new.pop(slot, None)
        self.buffer(slot, 0)

    def buffer(self, slot: int, size: int) -> None:
        """Its incomplete requests take so many bytes now."""
        self.buffered += size - self._bytes.get(slot, 0)
        if size:
            self._bytes[slot] = size
        else:
            self._bytes.pop(slot, None)

    # Candidates for eviction ---------------------------------------------------------------------

    def all_idle(self) -> list[int]:
        """All idle connections, the longest idle first."""
        return list(self._idle)

    def long_idle(self, now: int) -> Iterator[int]:
        """Idle for so long that a usual client has no more use for the connection."""
        for slot, since in list(self._idle.items()):
            if since > now - IDLE_GRACE:
                return
            yield slot

    def silent(self, now: int, age: int = 0) -> Iterator[int]:
        """Without a complete request for ``age`` or longer; never the youngest, which has only just been accepted."""
        youngest = next(reversed(self._new), None)
        for slot, since in list(self._new.items()):
            if since > now - age or slot == youngest:
                return
            yield slot

    def eviction_candidates(self, now: int) -> Iterator[int]:
        """Whom to evict for a new connection at the limit, in order.

        Usual clients send at once and come back soon, so those that are silent or idle for longer go before them.
        """
        yield from self.silent(now, SILENT_GRACE)
        yield from self.long_idle(now)
        yield from self.silent(now)
        yield from self.all_idle()

    def over_buffered(self) -> Iterator[int]:
        """Whom to evict while incomplete requests take too many bytes: those that began to buffer first."""
        for slot in list(self._bytes):
            if self.buffered <= self.max_bytes:
                return
            yield slot
