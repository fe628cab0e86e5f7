"""Restart budget: decides whether an attempt is cancelled and sent again at its restart timeout.

A cancelled call may continue at its destination, so a budget limits restarts: each success earns a fraction of one.
Attempts whose call is evidently lost have a second, larger budget.
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
RESTARTS_PER_SUCCESS = 0.1  # tokens that a success adds to the budget
RESTARTS_MAX = 3.0  # capacity of the budget, which bounds the restarts at the start of an overload
LOST_RESTARTS_PER_SUCCESS = 0.4  # tokens that a success adds to the budget for lost calls
LOST_RESTARTS_MAX = 5.0  # capacity of that budget
LOST_LATENCY_MULTIPLE = 4.0  # typical latencies after which an overtaken call may count as lost
LOST_LATENCY_RATIO_MAX = 1.7  # no call counts as lost while its endpoint's latency ratio is higher
RESTARTS_PER_MESSAGE = 2  # bound, because a message that takes long to execute takes long again


class RestartBudget:
    """Cancels attempts for a restart, within the limits of attempts, time and the route's budgets."""

    def __init__(self, context: SchedulerContext, latencies: LatencyEstimates, retries: RetryPolicy) -> None:
        self._context, self._latencies, self._retries = context, latencies, retries

    def earn(self, route: Route) -> None:
        """Add the tokens of a success to the route's budgets."""
        route.restarts = min(RESTARTS_MAX, route.restarts + RESTARTS_PER_SUCCESS)
        route.lost_restarts = min(LOST_RESTARTS_MAX, route.lost_restarts + LOST_RESTARTS_PER_SUCCESS)

    def timeout_expired(self, attempt: AttemptInFlight) -> None:
        """Restart an attempt at its restart timeout, if a restart is allowed and likely to help."""
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
        """Is a restart useless? On a slow or unhealthy route it is no faster, and cancelled calls accumulate."""
        message, route = attempt.message, attempt.call.endpoint.route
        if route.health.state is not HEALTHY or route.is_slow():
            return True
        time_left = message.expires - self._context.now
        return time_left < 2 * self._latencies.typical_latency(message) or route.rate_share.is_limiting

    def _take_lost_restart(self, attempt: AttemptInFlight) -> bool:
        """Take a token for a lost call, once the budget for slow calls is empty; without one, check again later."""
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
        """Take a token if the call is lost: its endpoint has answered a later call, with a typical latency."""
        endpoint, route = call.endpoint, call.endpoint.route
        overtaken = endpoint.answered_sent_at > call.sent and endpoint.latency_ratio <= LOST_LATENCY_RATIO_MAX
        if not overtaken or route.lost_restarts < 1:
            return False
        route.lost_restarts -= 1
        return True
