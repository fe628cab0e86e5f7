"""Chooses the client connections to evict when connections or buffered bytes exceed their limits. Does no I/O.

A connection that has not sent a complete request yet is *new*; one that waits for its next request is *idle*. A
connection with a request in progress is neither, and is never evicted to free a slot. Incomplete requests count by
their buffered bytes. Times are µs on the loop's clock.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator

# Connections that have sent no request, or have been idle, for longer than this are evicted before all others.
SILENT_GRACE_US, IDLE_GRACE_US = 50_000, 500_000


class ConnectionBudget:
    """Tracks the state of client connections, by slot number.

    ``max_connections``: the maximum number of connections. ``idle_limit``: above this number, connections that have
    been idle for long are evicted. ``max_bytes``: the limit on the bytes of all incomplete requests together.
    """

    def __init__(self, max_bytes: int) -> None:
        self.max_connections = self.idle_limit = 0
        self.max_bytes, self.buffered = max_bytes, 0
        self._new: OrderedDict[int, int] = OrderedDict()  # time of acceptance by slot, oldest first
        self._idle: OrderedDict[int, int] = OrderedDict()  # begin of the idle time by slot, longest idle first
        self._bytes: OrderedDict[int, int] = OrderedDict()  # bytes of the incomplete requests by slot, oldest first

    # State of the connections --------------------------------------------------------------------

    def opened(self, slot: int, now: int) -> None:
        """A connection was accepted."""
        self._new[slot] = now

    def idle(self, slot: int, now: int) -> None:
        """The connection has received its response and sent no further request."""
        self._new.pop(slot, None)
        self._idle[slot] = now
        self._idle.move_to_end(slot)

    def busy(self, slot: int) -> None:
        """A request has begun, or the connection is closing."""
        self._idle.pop(slot, None)

    def closing(self, slot: int) -> None:
        """The connection is closing and frees its slot soon, so it is no longer a candidate for eviction."""
        self._idle.pop(slot, None)
        self._new.pop(slot, None)
        self.buffer(slot, 0)

    def buffer(self, slot: int, size: int) -> None:
        """Set the number of bytes that the connection's incomplete requests take."""
        self.buffered += size - self._bytes.get(slot, 0)
        if size:
            self._bytes[slot] = size
        else:
            self._bytes.pop(slot, None)

    # Candidates for eviction ---------------------------------------------------------------------

    def all_idle(self) -> list[int]:
        """All idle connections, longest idle first."""
        return list(self._idle)

    def long_idle(self, now: int) -> Iterator[int]:
        """Connections idle for so long that a well-behaved client is unlikely to reuse them."""
        for slot, since in list(self._idle.items()):
            if since > now - IDLE_GRACE_US:
                return
            yield slot

    def without_request(self, now: int, age: int = 0) -> Iterator[int]:
        """New connections that are at least ``age`` old, except the youngest, which has only just been accepted."""
        youngest = next(reversed(self._new), None)
        for slot, since in list(self._new.items()):
            if since > now - age or slot == youngest:
                return
            yield slot

    def eviction_candidates(self, now: int) -> Iterator[int]:
        """The connections to evict at the limit, in order of preference.

        Well-behaved clients send immediately and return soon, so connections that have sent no request, or have been
        idle, for longer are evicted first.
        """
        yield from self.without_request(now, SILENT_GRACE_US)
        yield from self.long_idle(now)
        yield from self.without_request(now)
        yield from self.all_idle()

    def over_buffered(self) -> Iterator[int]:
        """The connections to evict while incomplete requests exceed ``max_bytes``, oldest incomplete request first."""
        for slot in list(self._bytes):
            if self.buffered <= self.max_bytes:
                return
            yield slot
