"""Connection pools: which idle connection a call uses, and which idle connections are closed."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lynxscale.scheduling.actions import CloseIdle
from lynxscale.scheduling.connection_reuse import ConnectionReuse, ConnectionTables

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.events import Result
    from lynxscale.scheduling.model import Call, Endpoint

INF = math.inf


class ConnectionPools:
    """Keeps since when each connection has been idle. The caller owns the connections."""

    def __init__(self, context: SchedulerContext) -> None:
        self._context = context
        self._reuse, self._tables = ConnectionReuse(), ConnectionTables()
        self._released: list[Endpoint] = []  # endpoints with connections released in this step

    def begin_step(self) -> None:
        """Reset the list of endpoints with connections released in the step."""
        self._released = []

    def drop_closed(self, endpoint: Endpoint) -> None:
        """Remove connections that the remote end has closed by now."""
        while endpoint.idle_since and endpoint.idle_since[0] < self._context.now - (
            self._context.settings.idle_close_ms or INF
        ):
            endpoint.idle_since.pop(0)

    def is_too_old(self, endpoint: Endpoint, unsafe: bool) -> bool:
        """Has even the endpoint's most recently used connection been idle for too long?"""
        now, idle_since = self._context.now, endpoint.idle_since
        return bool(idle_since) and now - idle_since[-1] >= self._reuse.max_idle(now, unsafe)

    def take(self, endpoint: Endpoint) -> float:
        """Take an idle connection and return its idle time in ms, 0 for a new one. Closes those that are too old."""
        if self.is_too_old(endpoint, False):
            self._close(endpoint)
        return self._context.now - endpoint.idle_since.pop() if endpoint.idle_since else 0.0

    def release(self, endpoint: Endpoint) -> None:
        """Return the connection of an ended call to the pool."""
        endpoint.idle_since.append(self._context.now)
        self._released.append(endpoint)

    def ended(self, call: Call, result: Result) -> None:
        """Update the statistics of connection reuse with a call's result."""
        now = self._context.now
        self._tables.ended(now, call.endpoint, call.sent, call.idle_ms, result)
        self._reuse.ended(now, call.idle_ms, result)

    def close_crowded(self) -> None:
        """Close idle connections where connects fail, as the idle connections of many nodes fill connection tables.

        After an outage with failed connects this costs some handshakes, until the share of failed connects has fallen.
        """
        for endpoint in self._released:
            if endpoint.idle_since and self._tables.is_crowded(endpoint.kind):
                self._close(endpoint)

    def _close(self, endpoint: Endpoint) -> None:
        endpoint.idle_since.clear()
        self._context.actions.append(CloseIdle(endpoint.number))
