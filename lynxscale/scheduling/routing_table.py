"""Routing table: destinations, routes and endpoints as listed by the membership."""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import TYPE_CHECKING

from lynxscale.scheduling.endpoint_health import Health
from lynxscale.scheduling.events import Lifecycle, Member
from lynxscale.scheduling.model import Destination, Endpoint, PendingMessage, Route

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.message_queue import MessageQueue

INF = math.inf
DESTINATION_RETENTION_MS = 60_000.0  # lifetime of a destination without endpoints
WEIGHT_ERRORS = {"nominal": 1.0, "rough": 1.5}  # accuracy of weights: factor by which they may be too high


class RoutingTable:
    """Adds and removes destinations, routes and endpoints."""

    def __init__(self, context: SchedulerContext, queue: MessageQueue, pending: Mapping[int, PendingMessage]) -> None:
        self._context, self._queue, self._pending = context, queue, pending
        self._weight_error = WEIGHT_ERRORS.get(context.settings.weights, INF)
        self.endpoints: dict[int, Endpoint] = {}
        self.destinations: dict[int, Destination] = {}

    def destination(self, number: int) -> Destination:
        """Return the destination with this number; created if unknown."""
        found = self.destinations.get(number)
        if found is None:
            found = self.destinations[number] = Destination(number)
        return found

    def apply(self, member: Member) -> Endpoint | None:
        """Add or update an endpoint. Returns ``None`` for an unknown endpoint that is gone."""
        endpoint = self.endpoints.get(member.endpoint)
        if endpoint is None:
            if member.lifecycle == Lifecycle.GONE:
                return None
            endpoint = self._add(member)
        endpoint.ready = member.lifecycle == Lifecycle.READY
        endpoint.gone = member.lifecycle == Lifecycle.GONE
        endpoint.weight = max(0.0, member.weight) / self._weight_error
        route = endpoint.route
        route.rate_share.set_limit(route.limit or route.weight())
        return endpoint

    def _add(self, member: Member) -> Endpoint:
        settings = self._context.settings
        destination = self.destination(member.destination)
        apart = any(settings.routes_apart[member.kind : member.kind + 1])
        if apart or not destination.routes:
            destination.routes.append(Route(destination, self._context.now, settings.senders))
        route = destination.routes[-1]
        endpoint = Endpoint(member.endpoint, member.zone, member.kind, route)
        endpoint.per_call = (settings.per_call[member.kind : member.kind + 1] or [1])[0]
        endpoint.fee = (settings.route_fee[member.zone : member.zone + 1] or [0.0])[0]
        own = () if apart else (Health(self._context.now),)
        endpoint.health_records = (route.health, *own)
        route.endpoints.append(endpoint)
        route.per_call = endpoint.per_call
        self.endpoints[member.endpoint] = endpoint
        return endpoint

    def remove_if_unused(self, endpoint: Endpoint) -> None:
        """Remove an endpoint that is gone and has no calls in flight, so that the tables stay small."""
        if not endpoint.gone or endpoint.in_flight or endpoint.number not in self.endpoints:
            return
        del self.endpoints[endpoint.number]
        route, destination = endpoint.route, endpoint.route.destination
        route.endpoints.remove(endpoint)
        if not route.endpoints and len(destination.routes) > 1:
            destination.routes.remove(route)
        if not any(route.endpoints for route in destination.routes):
            self._schedule_removal_check(destination)

    def _schedule_removal_check(self, destination: Destination) -> None:
        self._context.timers.schedule(
            self._context.now + DESTINATION_RETENTION_MS, self._remove_destination_if_unused, destination
        )

    def _remove_destination_if_unused(self, destination: Destination) -> None:
        """Remove a destination without endpoints. Until then new endpoints of it inherit its waits, health and rate."""
        now = self._context.now
        used = destination.waiting or destination.in_flight
        used = used or any(message.destination is destination for message in self._pending.values())
        if used or any(route.blocked_until > now for route in destination.routes):
            self._schedule_removal_check(destination)
        elif not any(route.endpoints for route in destination.routes):
            self.destinations.pop(destination.number, None)
            self._queue.active.pop(destination.number, None)
