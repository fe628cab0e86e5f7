"""Choice of an endpoint: the one with the least cost among those that may be called now."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lynxscale.scheduling.endpoint_health import FAILING, HEALTHY, TRIAL_GAP_MIN_MS

if TYPE_CHECKING:
    from lynxscale.scheduling.class_ejection import ClassEjection
    from lynxscale.scheduling.concurrency_window import ConcurrencyLimits
    from lynxscale.scheduling.connection_pools import ConnectionPools
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.endpoint_health import HealthTracker
    from lynxscale.scheduling.model import Destination, Endpoint, PendingMessage

INF = math.inf
FAULT_COST = 1.0  # for an endpoint that failed this message, or whose route is not healthy
LATENCY_COST = 0.1  # for a latency as long as the latency target


class EndpointChoice:
    """Chooses the endpoint for a message."""

    def __init__(
        self,
        context: SchedulerContext,
        limits: ConcurrencyLimits,
        health: HealthTracker,
        ejection: ClassEjection,
        pools: ConnectionPools,
    ) -> None:
        self._context, self._limits, self._health = context, limits, health
        self._ejection, self._pools = ejection, pools

    def choose(self, destination: Destination, message: PendingMessage) -> tuple[Endpoint | None, float]:
        """Return the cheapest endpoint that may be called now, or ``None`` and the time when one may be."""
        now = self._context.now
        routes = destination.routes
        unhealthy = any(route.health.state is FAILING or route.is_slow() for route in routes)
        no_slot = self._limits.is_full(destination, unhealthy)
        best, least_cost, available_at = None, INF, INF
        for endpoint in self._candidates(destination, message):
            at = self._available_at(endpoint, no_slot)
            cost = self._cost(endpoint, message) if at <= now else INF
            available_at = min(available_at, at)
            if cost < least_cost:
                best, least_cost = endpoint, cost
        return best, available_at

    def _candidates(self, destination: Destination, message: PendingMessage) -> list[Endpoint]:
        zone = message.zone
        ready = [
            endpoint
            for route in destination.routes
            for endpoint in route.endpoints
            if endpoint.ready and zone in (None, endpoint.zone)
        ]
        return [endpoint for endpoint in ready if not self._ejection.is_ejected(endpoint, message.cls)] or ready

    def _available_at(self, endpoint: Endpoint, no_slot: bool) -> float:
        """Return when the endpoint may be called; INF if that depends on the outcome of another call."""
        now, route = self._context.now, endpoint.route
        if route.blocked_until > now:
            return route.blocked_until
        if self.can_join(endpoint):
            return 0.0
        if (available_at := route.rate_share.available_at(now)) > now:
            return available_at
        if no_slot or self._limits.window_is_full(route):
            return INF
        if route.health.state is FAILING and self._limits.outage_slots_exhausted():
            return now + TRIAL_GAP_MIN_MS
        available_at = max(endpoint.cooldown_until, 0.0)
        for health in endpoint.health_records:
            available_at = max(available_at, self._health.available_at(endpoint, health))
        return available_at

    def can_join(self, endpoint: Endpoint) -> bool:
        """May another message join the endpoint's call of this step?"""
        call = endpoint.latest_call
        if call is None or call.step_number != self._context.step_number:
            return False
        return call.size < (endpoint.per_call if endpoint.route.health.state is not FAILING else 1)

    def _cost(self, endpoint: Endpoint, message: PendingMessage) -> float:
        """Return an endpoint's cost: fees and expected faults on the scale of message values."""
        settings, route = self._context.settings, endpoint.route
        cost = endpoint.fee if len(route.destination.routes) > 1 else 0.0
        cost += settings.cross_price if endpoint.zone != settings.zone else 0.0
        self._pools.drop_closed(endpoint)
        if not self.can_join(endpoint) and not endpoint.idle_since:
            cost += settings.handshake_price or 0.0
        if endpoint is message.last_endpoint or route.health.state is not HEALTHY:
            cost += FAULT_COST
        target_ms = settings.classes[message.cls].aim_ms or 1.0
        return cost + LATENCY_COST * route.recent_latency * (1 + endpoint.in_flight) / target_ms
