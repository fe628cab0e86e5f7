"""Idle connections of each endpoint, as far as decisions need them: which one a call takes, and which are closed."""

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
    """Times from which each connection has been idle; the connections themselves belong to the caller."""

    def __init__(self, context: SchedulerContext) -> None:
        self._context = context
        self._reuse, self._tables = ConnectionReuse(), ConnectionTables()
        self._released: list[Endpoint] = []  # in this step

    def begin_step(self) -> None:
        """No connection has been released in this step yet."""
        self._released = []

    def drop_closed(self, endpoint: Endpoint) -> None:
        """Forget connections that the far end has closed by now."""
        while endpoint.idle_since and endpoint.idle_since[0] < self._context.now - (
            self._context.settings.idle_close_ms or INF
        ):
            endpoint.idle_since.pop(0)

    def is_too_old(self, endpoint: Endpoint, unsafe: bool) -> bool:
        """Has even its most recently used connection been idle for too long?"""
        now, idle_since = self._context.now, endpoint.idle_since
        return bool(idle_since) and now - idle_since[-1] >= self._reuse.max_idle(now, unsafe)

    def take(self, endpoint: Endpoint) -> float:
        """Take an idle connection; how long it was idle (ms), 0 for a new one. Likely dead ones are closed."""
        if self.is_too_old(endpoint, False):
            self._close(endpoint)
        return self._context.now - endpoint.idle_since.pop() if endpoint.idle_since else 0.0

    def release(self, endpoint: Endpoint) -> None:
        """A call has ended and its connection is idle."""
        endpoint.idle_since.append(self._context.now)
        self._released.append(endpoint)

    def ended(self, call: Call, result: Result) -> None:
        """Learn from how a call ended."""
        now = self._context.now
        self._tables.ended(now, call.endpoint, call.sent, call.idle_ms, result)
        self._reuse.ended(now, call.idle_ms, result)

    def close_crowded(self) -> None:
        """Close unneeded connections where connects fail: idle ones of many nodes fill the connection tables.

        Costs some handshakes after an outage that failed connects, until the share of failed ones has sunk.
        """
        for endpoint in self._released:
            if endpoint.idle_since and self._tables.is_crowded(endpoint.kind):
                self._close(endpoint)

    def _close(self, endpoint: Endpoint) -> None:
        endpoint.idle_since.clear()
        self._context.actions.append(CloseIdle(endpoint.number))
