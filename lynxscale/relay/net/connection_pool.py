"""A pool of connections to peers, which keeps idle ones for reuse within a limit of descriptors."""

from __future__ import annotations

from collections.abc import Callable

from lynxscale.relay.deadlines import Deadline, Deadlines
from lynxscale.relay.net.close_reason import CloseReason
from lynxscale.relay.net.connection import Address, OutboundConnection
from lynxscale.relay.slot_table import SlotTable


class ConnectionPool:
    """All connections to peers, busy or idle.

    ``address_of`` returns the address of an endpoint, or None if it is not listed; ``idle_timeout`` is in µs. Above
    ``max_connections`` the longest idle connection is closed.
    """

    def __init__(
        self,
        deadlines: Deadlines,
        address_of: Callable[[int], Address | None],
        idle_timeout: int,
        max_connections: int,
    ) -> None:
        self._deadlines, self._address_of, self._idle_timeout = deadlines, address_of, idle_timeout
        self.max_connections = max_connections
        self._connections: SlotTable = SlotTable()
        self._idle: dict[int, list[OutboundConnection]] = {}  # idle connections by endpoint, least recently used first
        self._sweep_timer: Deadline | None = None

    def __len__(self) -> int:
        return len(self._connections)

    def take(self, endpoint: int, address: Address) -> OutboundConnection | None:
        """Take the most recently used idle connection to an endpoint, or None; stale ones are closed."""
        idle = self._idle.get(endpoint)
        while idle:
            connection = idle.pop()
            if not connection.up:
                continue
            if connection.remote[1] != address:
                connection.drop(CloseReason.ADDRESS_CHANGED)
            elif connection.stale():
                connection.drop(CloseReason.REMOTE_CLOSED)
            else:
                return connection
        return None

    def add(self, connection: OutboundConnection, endpoint: int, address: Address) -> None:
        """Add a new connection, which is about to carry a call."""
        connection.remote = (endpoint, address)
        connection.slot = self._connections.add(connection)

    def release(self, connection: OutboundConnection) -> None:
        """Keep a connection for reuse after its call has ended."""
        if not connection.up:
            return
        endpoint = connection.remote[0]
        if self._address_of(endpoint) is None:
            connection.drop(CloseReason.ENDPOINT_REMOVED)
            return
        connection.idle_since = self._deadlines.now()
        self._idle.setdefault(endpoint, []).append(connection)
        if len(self._connections) > self.max_connections:
            self._evict_longest_idle()
        if self._sweep_timer is None:
            self._sweep_timer = self._deadlines.after(self._idle_timeout, self._sweep)

    def close_idle(self, endpoint: int, reason: str) -> None:
        """Close all idle connections of an endpoint."""
        for connection in self._idle.pop(endpoint, []):
            connection.drop(reason)

    def close_all_idle(self, reason: str) -> None:
        """Close all idle connections."""
        for endpoint in list(self._idle):
            self.close_idle(endpoint, reason)

    def lost(self, connection: OutboundConnection) -> None:
        """Remove a closed connection."""
        self._connections.remove(connection.slot)
        endpoint = connection.remote[0]
        idle = self._idle.get(endpoint, [])
        if connection in idle:
            idle.remove(connection)
            if not idle:
                del self._idle[endpoint]

    def _evict_longest_idle(self) -> None:
        """Close the connection that has been idle longest."""
        longest_idle = min((idle[0] for idle in self._idle.values() if idle), key=lambda one: one.idle_since)
        self._idle[longest_idle.remote[0]].remove(longest_idle)
        longest_idle.drop(CloseReason.EVICTED)

    def _sweep(self) -> None:
        """Close connections that reach the idle timeout, before the peer closes them while a call is being sent."""
        self._sweep_timer, now, oldest = None, self._deadlines.now(), None
        for idle in self._idle.values():
            while idle and (not idle[0].up or idle[0].idle_since + self._idle_timeout <= now):
                idle.pop(0).drop(CloseReason.IDLE)
            if idle and (oldest is None or idle[0].idle_since < oldest):
                oldest = idle[0].idle_since
        if oldest is not None:
            self._sweep_timer = self._deadlines.at(oldest + self._idle_timeout, self._sweep)
