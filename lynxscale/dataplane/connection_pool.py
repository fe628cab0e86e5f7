"""A pool of idle connections to one endpoint, reused by later attempts there."""

from __future__ import annotations

from lynxscale.coordination.ports import Clock
from lynxscale.runtime.http_client import ClientConnection, Dial

MAX_IDLE = 24  # connections to one endpoint


class ConnectionPool:
    """The idle connections of an address; the most recently used is taken first."""

    __slots__ = ("_address", "_clock", "_closed", "_dial", "_idle")

    def __init__(self, address: str, clock: Clock, dial: Dial, closed: bool) -> None:
        self._address = address
        self._clock = clock
        self._dial = dial
        self._closed = closed
        self._idle: list[ClientConnection] = []

    @property
    def has_idle(self) -> bool:
        """Is there a connection that can carry a request now?"""
        return any(connection.reusable for connection in self._idle)

    def acquire(self) -> ClientConnection:
        """An idle connection, else a new one."""
        while self._idle:
            connection = self._idle.pop()
            if connection.reusable:
                return connection
            connection.close()
        connection = ClientConnection(self._address, self._clock, self._release)
        self._dial(self._address, connection)
        return connection

    def close(self) -> None:
        """Close all idle connections and keep none from now on; those in use end with their request."""
        self._closed = True
        for connection in self._idle:
            connection.close()
        self._idle.clear()

    def _release(self, connection: ClientConnection) -> None:
        if not self._closed and len(self._idle) < MAX_IDLE:
            self._idle.append(connection)
        else:
            # Not at once: the connection is still delivering the end of its response.
            self._clock.call_later(0.0, connection.close)
