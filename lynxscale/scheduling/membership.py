"""Membership: applies updates to the routing table and retries failed queries of service discovery.

Times are milliseconds.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lynxscale.scheduling.actions import Subscribe
from lynxscale.scheduling.events import MembershipKind, MembershipUpdate

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.message_queue import MessageQueue
    from lynxscale.scheduling.routing_table import RoutingTable

INF = math.inf
RETRY_MIN_MS = 300.0  # backoff after a failed query
RETRY_MAX_MS = 4000.0  # exceeded in a large fleet, whose queries take longer
RETRY_SPREAD = (0.7, 1.3)  # random factor of the backoff
QUERY_TIMEOUT_MS = 20_000.0  # an unanswered query is repeated after this time
DISCOVERY_QUERY_MS = 40.0  # service discovery's processing time for one node's query
RETRY_MAX_ROUNDS = 10  # upper bound of the backoff, in processing times of all nodes' queries
RETRY_MAX_ASK_WINDOWS = 3  # upper bound of the backoff, in multiples of the setting ``ask_within_ms``


class MembershipTracker:
    """Keeps the routing table up to date with service discovery."""

    def __init__(self, context: SchedulerContext, table: RoutingTable, queue: MessageQueue) -> None:
        self._context, self._table, self._queue = context, table, queue
        self._fleet_query_ms = DISCOVERY_QUERY_MS * context.settings.senders  # processing time of all nodes' queries
        self._backoff_ms = max(RETRY_MIN_MS, self._fleet_query_ms)
        self._query_at = INF  # time of the scheduled query; timers for other times are outdated
        self._has_queried = False

    def update(self, event: MembershipUpdate) -> None:
        """Apply an update or, if the query failed, schedule a retry."""
        if event.kind == MembershipKind.FAILED:
            self._back_off()
            return
        affected = [] if event.kind == MembershipKind.DELTA else list(self._table.endpoints.values())
        for endpoint in affected:
            endpoint.ready, endpoint.gone = False, True
        for member in event.members:
            changed = self._table.apply(member)
            if changed is not None:
                affected.append(changed)
        for endpoint in affected:  # checking all endpoints would be slow: a membership may list tens of thousands
            self._table.remove_if_unused(endpoint)
        self._schedule_after(event.kind)
        for destination in self._table.destinations.values():
            self._queue.activate(destination)

    def _schedule_after(self, kind: MembershipKind) -> None:
        if kind == MembershipKind.CACHED and self._context.settings.asks_for_members:
            self._query_after(self._context.random.random() * self._fleet_query_ms)
        elif kind != MembershipKind.CACHED and self._has_queried:
            self._backoff_ms, self._query_at = max(RETRY_MIN_MS, self._fleet_query_ms), INF

    def _back_off(self) -> None:
        self._query_after(self._backoff_ms * self._context.random.uniform(*RETRY_SPREAD))
        max_ask_ms = RETRY_MAX_ASK_WINDOWS * (self._context.settings.ask_within_ms or INF)
        longest = min(RETRY_MAX_ROUNDS * self._fleet_query_ms, max_ask_ms)
        self._backoff_ms = min(self._backoff_ms * 2, max(RETRY_MAX_MS, longest))

    def _query_after(self, delay: float) -> None:
        self._query_at = self._context.now + delay
        self._context.timers.schedule(self._query_at, self._query, self._query_at)

    def _query(self, scheduled_for: float) -> None:
        if scheduled_for == self._query_at:
            self._has_queried = True
            self._context.actions.append(Subscribe(True))
            self._query_after(QUERY_TIMEOUT_MS)
