"""Membership: applies updates, and asks service discovery again after failures. Milliseconds."""

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
RETRY_MAX_MS = 4000.0  # unless the fleet is so large that its queries take longer
RETRY_SPREAD = (0.7, 1.3)  # random factor of the backoff
QUERY_TIMEOUT_MS = 20_000.0  # then the query is repeated
DISCOVERY_QUERY_MS = 40.0  # of service discovery's time for the query of one node
RETRY_MAX_ROUNDS = 10  # backoff at most, in times that the queries of all nodes take
RETRY_MAX_ASK_WINDOWS = 3  # and in times within which the settings want discovery asked


class MembershipTracker:
    """Keeps the routing table up to date with service discovery."""

    def __init__(self, context: SchedulerContext, table: RoutingTable, queue: MessageQueue) -> None:
        self._context, self._table, self._queue = context, table, queue
        self._fleet_query_ms = DISCOVERY_QUERY_MS * context.settings.senders  # for which all nodes' queries take
        self._backoff_ms = max(RETRY_MIN_MS, self._fleet_query_ms)
        self._query_at = INF  # the query that is scheduled; others are outdated
        self._has_queried = False

    def update(self, event: MembershipUpdate) -> None:
        """Apply an update, or schedule the next query where it failed."""
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
        for endpoint in affected:  # and not all there are: a membership may have tens of thousands
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
