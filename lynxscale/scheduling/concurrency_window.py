"""Concurrency: the window of calls on each route, and this node's slots, which all destinations share."""

from __future__ import annotations

import math
from itertools import islice
from typing import TYPE_CHECKING

from lynxscale.scheduling.actions import Cancel

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.model import AttemptInFlight, Call, Destination, Route
    from lynxscale.scheduling.restart_budget import RestartBudget

DESTINATION_SLOT_SHARE = 0.75  # of the slots that one destination may use
UNHEALTHY_SLOT_DIVISOR = 2  # one slot in so many: what a slow or failing destination may use
OUTAGE_SLOT_DIVISOR = (
    4  # one slot in so many: for trial calls in outages, and for unresponsive calls when others need slots
)
UNRESPONSIVE_SCAN_MAX = 12  # looked at for unresponsive ones


class ConcurrencyLimits:
    """Counts calls in flight; additive increase of a route's window with success, halved on overload."""

    def __init__(self, context: SchedulerContext) -> None:
        self._context = context
        slots = context.settings.slots  # at the start; the caller may change it later
        self.calls_max = max(1, math.ceil(slots * DESTINATION_SLOT_SHARE) - 1)  # to one destination
        self.calls_max_unhealthy = max(1, slots // UNHEALTHY_SLOT_DIVISOR)
        self.outage_slots = max(1, slots // OUTAGE_SLOT_DIVISOR)
        self.used = 0  # slots
        self.unresponsive = 0  # calls in flight that are long overdue
        self.in_outage = 0  # calls in flight that were sent to failing routes
        self.attempts: dict[tuple[int, int], AttemptInFlight] = {}  # by message id and number, in the order sent

    def slots_exhausted(self) -> bool:
        """Are all slots in use?"""
        return self.used >= self._context.settings.slots

    def is_full(self, destination: Destination, unhealthy: bool) -> bool:
        """Is there no slot for a further call to this destination?"""
        if self.slots_exhausted():
            return True
        return destination.in_flight >= (self.calls_max_unhealthy if unhealthy else self.calls_max)

    def window_is_full(self, route: Route) -> bool:
        """Unresponsive calls keep their slots but not the window: it would stay full long after a hang."""
        return route.in_flight - route.unresponsive >= route.window

    def outage_slots_exhausted(self) -> bool:
        """Do trial calls to failing destinations use all that they may?"""
        return self.in_outage >= self.outage_slots

    def opened(self, call: Call) -> None:
        """A call is sent."""
        endpoint = call.endpoint
        self.used += 1
        self.in_outage += call.in_outage
        endpoint.route.in_flight += 1
        endpoint.route.destination.in_flight += 1
        endpoint.in_flight += 1

    def overdue(self, call: Call) -> None:
        """A call is long overdue."""
        call.unresponsive = True
        call.endpoint.route.unresponsive += 1
        self.unresponsive += 1

    def closed(self, call: Call) -> None:
        """All attempts of a call have their outcome."""
        endpoint, route = call.endpoint, call.endpoint.route
        self.used -= 1
        endpoint.in_flight -= 1
        route.in_flight -= 1
        route.unresponsive -= call.unresponsive
        self.unresponsive -= call.unresponsive
        self.in_outage -= call.in_outage
        route.destination.in_flight -= 1

    def grow(self, route: Route) -> None:
        """A call on the route succeeded."""
        route.window = min(route.window + 1, self.calls_max)

    def shrink(self, route: Route) -> None:
        """The route is overloaded."""
        route.window = max(1, route.window // 2)

    def cancel_unresponsive(self, restarts: RestartBudget) -> None:
        """No slot is left: cancel unresponsive calls, all that are lost and the oldest of a hang.

        Messages that must not be repeated are failed by that.
        """
        if not self._context.settings.may_cancel:
            return
        surplus = max(0, self.unresponsive - self.outage_slots)
        oldest = [a for a in islice(self.attempts.values(), UNRESPONSIVE_SCAN_MAX) if a.call.unresponsive]
        for position, attempt in enumerate(oldest):
            if not attempt.cancelled and (position < surplus or restarts.take_if_lost(attempt.call)):
                attempt.cancelled = True
                self._context.actions.append(Cancel(attempt.message.id, attempt.number))
