"""Concurrency limits: the window of each route, and this node's slots, which all destinations share."""

from __future__ import annotations

import math
from itertools import islice
from typing import TYPE_CHECKING

from lynxscale.scheduling.actions import Cancel

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.model import AttemptInFlight, Call, Destination, Route
    from lynxscale.scheduling.restart_budget import RestartBudget

DESTINATION_SLOT_SHARE = 0.75  # maximum share of the slots for one destination
UNHEALTHY_SLOT_DIVISOR = 2  # a slow or failing destination may use slots / UNHEALTHY_SLOT_DIVISOR
OUTAGE_SLOT_DIVISOR = 4  # slots / OUTAGE_SLOT_DIVISOR bounds trial calls, and unresponsive calls while no slot is free
UNRESPONSIVE_SCAN_MAX = 12  # oldest attempts that are checked for unresponsive calls


class ConcurrencyLimits:
    """Counts calls in flight; a route's window follows additive increase, multiplicative decrease (AIMD)."""

    def __init__(self, context: SchedulerContext) -> None:
        self._context = context
        slots = context.settings.slots  # initial value; the limits below ignore later changes by the caller
        self.calls_max = max(1, math.ceil(slots * DESTINATION_SLOT_SHARE) - 1)  # per destination
        self.calls_max_unhealthy = max(1, slots // UNHEALTHY_SLOT_DIVISOR)
        self.outage_slots = max(1, slots // OUTAGE_SLOT_DIVISOR)
        self.used = 0  # slots in use
        self.unresponsive = 0  # overdue calls in flight
        self.in_outage = 0  # calls in flight that were sent to failing routes
        # In send order, by message id and attempt number.
        self.attempts: dict[tuple[int, int], AttemptInFlight] = {}

    def slots_exhausted(self) -> bool:
        """Are all slots in use?"""
        return self.used >= self._context.settings.slots

    def is_full(self, destination: Destination, unhealthy: bool) -> bool:
        """Is there no slot left for another call to this destination?"""
        if self.slots_exhausted():
            return True
        return destination.in_flight >= (self.calls_max_unhealthy if unhealthy else self.calls_max)

    def window_is_full(self, route: Route) -> bool:
        """Is the route's window full? Unresponsive calls don't count, or it would stay full long after a hang."""
        return route.in_flight - route.unresponsive >= route.window

    def outage_slots_exhausted(self) -> bool:
        """Do trial calls to failing destinations use all slots allowed for them?"""
        return self.in_outage >= self.outage_slots

    def call_opened(self, call: Call) -> None:
        """Count a call that is sent."""
        endpoint = call.endpoint
        self.used += 1
        self.in_outage += call.in_outage
        endpoint.route.in_flight += 1
        endpoint.route.destination.in_flight += 1
        endpoint.in_flight += 1

    def mark_unresponsive(self, call: Call) -> None:
        """Count a call as unresponsive."""
        call.unresponsive = True
        call.endpoint.route.unresponsive += 1
        self.unresponsive += 1

    def call_closed(self, call: Call) -> None:
        """Release the slot of a call whose attempts all have their outcomes."""
        endpoint, route = call.endpoint, call.endpoint.route
        self.used -= 1
        endpoint.in_flight -= 1
        route.in_flight -= 1
        route.unresponsive -= call.unresponsive
        self.unresponsive -= call.unresponsive
        self.in_outage -= call.in_outage
        route.destination.in_flight -= 1

    def grow(self, route: Route) -> None:
        """Increase the window after a successful call."""
        route.window = min(route.window + 1, self.calls_max)

    def shrink(self, route: Route) -> None:
        """Halve the window of an overloaded route."""
        route.window = max(1, route.window // 2)

    def cancel_unresponsive(self, restarts: RestartBudget) -> None:
        """Free slots when none is left: cancel unresponsive calls that are lost, and the oldest ones of a hang.

        This fails messages that must not be repeated.
        """
        if not self._context.settings.may_cancel:
            return
        surplus = max(0, self.unresponsive - self.outage_slots)
        oldest = [a for a in islice(self.attempts.values(), UNRESPONSIVE_SCAN_MAX) if a.call.unresponsive]
        for position, attempt in enumerate(oldest):
            if not attempt.cancelled and (position < surplus or restarts.take_if_lost(attempt.call)):
                attempt.cancelled = True
                self._context.actions.append(Cancel(attempt.message.id, attempt.number))
