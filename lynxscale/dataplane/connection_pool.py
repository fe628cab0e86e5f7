"""A pool of idle connections to one endpoint, reused by later attempts at it.

An endpoint may repeat an earlier answer where the next one on the connection is due. The request id in an answer
identifies the attempt only if no connection carries two attempts of one request, so the caller excludes the connections
that have carried the request before.
"""

from __future__ import annotations

from collections.abc import Collection

from attrs import define

from lynxscale.coordination.ports import Clock
from lynxscale.runtime.http_client import ClientConnection, Dial

MAX_IDLE_CONNECTIONS = 24  # per endpoint


@define
class IdleConnections:
    """The idle connections of all pools together. ``limit``: how many there may be."""

    limit: float = float("inf")
    count: int = 0


class ConnectionPool:
    """The idle connections to an address; the most recently used is reused first."""

    __slots__ = ("_address", "_all_idle", "_clock", "_closed", "_dial", "_idle")

    def __init__(
        self,
        address: str,
        clock: Clock,
        dial: Dial,
        closed: bool,
        idle_connections: IdleConnections | None = None,
    ) -> None:
        """``idle_connections``: the limit of idle connections to all endpoints, if there is one."""
        self._all_idle = idle_connections or IdleConnections()
        self._address = address
        self._clock = clock
        self._dial = dial
        self._closed = closed
        self._idle: list[ClientConnection] = []

    @property
    def has_idle(self) -> bool:
        """Whether an idle connection can carry a request now."""
        return any(connection.reusable for connection in self._idle)

    def acquire(self, excluded: Collection[ClientConnection] = ()) -> ClientConnection:
        """Return an idle connection that is not ``excluded``, or a new one if no such connection can be reused."""
        for index in reversed(range(len(self._idle))):
            if self._idle[index] in excluded:
                continue
            connection = self._idle.pop(index)
            self._all_idle.count -= 1
            if connection.reusable:
                return connection
            connection.close()
        connection = ClientConnection(self._address, self._clock, self._release)
        self._dial(self._address, connection)
        return connection

    def close(self) -> None:
        """Close all idle connections; those in use are closed when their request ends."""
        self._closed = True
        for connection in self._idle:
            connection.close()
        self._all_idle.count -= len(self._idle)
        self._idle.clear()

    def _release(self, connection: ClientConnection) -> None:
        if self._all_idle.count >= self._all_idle.limit:
            self._drop_unusable()
        kept = len(self._idle) < MAX_IDLE_CONNECTIONS and self._all_idle.count < self._all_idle.limit
        if kept and not self._closed:
            self._idle.append(connection)
            self._all_idle.count += 1
        else:
            # Deferred to the next iteration, as the connection is still delivering the end of its response.
            self._clock.call_later(0.0, connection.close)

    def _drop_unusable(self) -> None:
        """Close and forget the idle connections that cannot carry a request any more."""
        usable = [connection for connection in self._idle if connection.reusable]
        for connection in self._idle:
            if not connection.reusable:
                connection.close()
        self._all_idle.count -= len(self._idle) - len(usable)
        self._idle = usable
