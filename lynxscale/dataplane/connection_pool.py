"""A pool of idle connections to one endpoint, reused by later attempts at it."""

from __future__ import annotations

from lynxscale.coordination.ports import Clock
from lynxscale.runtime.http_client import ClientConnection, Dial

MAX_IDLE_CONNECTIONS = 24  # per endpoint


class ConnectionPool:
    """The idle connections to an address; the most recently used is reused first."""

    __slots__ = ("_address", "_clock", "_closed", "_dial", "_idle")

    def __init__(self, address: str, clock: Clock, dial: Dial, closed: bool) -> None:
        self._address = address
        self._clock = clock
        self._dial = dial
        self._closed = closed
        self._idle: list[ClientConnection] = []

    @property
    def has_idle(self) -> bool:
        """Whether an idle connection can carry a request now."""
        return any(connection.reusable for connection in self._idle)

    def acquire(self) -> ClientConnection:
        """Return an idle connection, or a new one if none can be reused."""
        while self._idle:
            connection = self._idle.pop()
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
        self._idle.clear()

    def _release(self, connection: ClientConnection) -> None:
        if not self._closed and len(self._idle) < MAX_IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            # Deferred to the next iteration, as the connection is still delivering the end of its response.
            self._clock.call_later(0.0, connection.close)
