"""Restarts: whether an attempt that has run for its restart timeout is cancelled and sent again.

A cancelled call may still run on at its destination, so restarts are rationed: each success earns a part of one. For
attempts whose call is evidently lost there is a second, larger budget.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lynxscale.scheduling.actions import Cancel
from lynxscale.scheduling.endpoint_health import HEALTHY

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.latency_estimates import LatencyEstimates
    from lynxscale.scheduling.model import AttemptInFlight, Call, Route
    from lynxscale.scheduling.retry_policy import RetryPolicy

INF = math.inf
RESTARTS_PER_SUCCESS = 0.1  # earned: cancelled calls may run on, so restarts are rationed
RESTARTS_MAX = 3.0  # saved up at most, which bounds the restarts at the start of an overload
LOST_RESTARTS_PER_SUCCESS = 0.4  # restarts of lost calls earned by a success
LOST_RESTARTS_MAX = 5.0  # and saved up at most
LOST_LATENCY_MULTIPLE = 4.0  # usual latencies until an overtaken call counts as lost
LOST_LATENCY_RATIO_MAX = 1.7  # only while its endpoint answers others at such a multiple of the usual latency at most
RESTARTS_PER_MESSAGE = 2  # a message that is slow by nature is slow again


class RestartBudget:
    """Cancels attempts for a restart, as far as attempts, time and the budget of their route allow."""

    def __init__(self, context: SchedulerContext, latencies: LatencyEstimates, retries: RetryPolicy) -> None:
        self._context, self._latencies, self._retries = context, latencies, retries

    def earn(self, route: Route) -> None:
        """A success on the route earns parts of restarts."""
        route.restarts = min(RESTARTS_MAX, route.restarts + RESTARTS_PER_SUCCESS)
        route.lost_restarts = min(LOST_RESTARTS_MAX, route.lost_restarts + LOST_RESTARTS_PER_SUCCESS)

    def timeout_expired(self, attempt: AttemptInFlight) -> None:
        """Restart an attempt that has run for its restart timeout, where that helps and is allowed."""
        message, route = attempt.message, attempt.call.endpoint.route
        if message.attempt is not attempt or message.ended or attempt.cancelled:
            return
        if not self._retries.may_repeat(message, attempt.call.sent):
            return
        if self._is_exhausted(attempt) or self._restart_is_useless(attempt):
            return
        if route.restarts >= 1:
            route.restarts -= 1
        elif not self._take_lost_restart(attempt):
            return
        message.restarts += 1
        attempt.cancelled = True
        self._context.actions.append(Cancel(message.id, attempt.number))

    def _is_exhausted(self, attempt: AttemptInFlight) -> bool:
        message = attempt.message
        attempts_cap = self._context.settings.attempts_cap or INF
        return message.restarts >= RESTARTS_PER_MESSAGE or message.attempts + 1 >= attempts_cap

    def _restart_is_useless(self, attempt: AttemptInFlight) -> bool:
        """Slow or unhealthy: the next attempt is no faster there, and cancelled calls would pile up."""
        message, route = attempt.message, attempt.call.endpoint.route
        if route.health.state is not HEALTHY or route.is_slow():
            return True
        time_left = message.expires - self._context.now
        return time_left < 2 * self._latencies.typical_latency(message) or route.rate_share.is_limiting

    def _take_lost_restart(self, attempt: AttemptInFlight) -> bool:
        """Beyond the budget for slow calls: is this one lost, or its answer? Otherwise look at it again later."""
        now = self._context.now
        call, route = attempt.call, attempt.call.endpoint.route
        typical_ms = max(
            1.0, max(route.median, route.recent_latency) * self._latencies.class_ratio(attempt.message.cls)
        )
        lost_at = call.sent + LOST_LATENCY_MULTIPLE * typical_ms
        if now >= lost_at and self.take_if_lost(call):
            return True
        self._context.timers.schedule(max(lost_at, now + typical_ms), self.timeout_expired, attempt)
        return False

    def take_if_lost(self, call: Call) -> bool:
        """Has its endpoint answered a call sent later, at the usual speed? Then spend a restart of lost calls."""
        endpoint, route = call.endpoint, call.endpoint.route
        overtaken = endpoint.answered_sent_at > call.sent and endpoint.latency_ratio <= LOST_LATENCY_RATIO_MAX
        if not overtaken or route.lost_restarts < 1:
            return False
        route.lost_restarts -= 1
        return True
