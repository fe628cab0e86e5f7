"""Backoff after a rejection because of load: how long a route is blocked in addition to its Retry-After.

A destination announces the same end of the wait to all nodes; if all retried at that moment, they would be rejected
again. So each node adds a random backoff that grows with consecutive rejections. Times are milliseconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lynxscale.scheduling.endpoint_health import OUTAGE_AFTER_MS, TRIAL_GAP_MIN_MS

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.endpoint_health import HealthTracker
    from lynxscale.scheduling.model import Call, Route

BACKOFF_MIN_MS, BACKOFF_MAX_MS = 150.0, 12_000.0  # bounds of the base backoff, which all destinations share
BACKOFF_INCREASE, BACKOFF_DECREASE = 1.3, 0.985  # factors of the base backoff after a rejection and a success
BACKOFF_GROWTH, BACKOFF_GROWTH_STEPS_MAX = 2.0, 6  # factor per consecutive failure; maximum exponent
BACKOFF_JITTER = (0.3, 1.0)  # range of the random factor
OVER_LIMIT_ALLOWANCE_MAX = 0.5  # with less allowance left a rejection is due to the rate limit; reports are old
SUCCESS_RATE_MIN_PER_S = 0.01  # bounds the typical gap between a node's successes


def is_over_limit(allowance_left: float | None) -> bool:
    """Was a rejection due to an exhausted rate limit? Many nodes exhaust it together, which is not an outage."""
    return allowance_left is not None and allowance_left < OVER_LIMIT_ALLOWANCE_MAX


class RejectionBackoff:
    """Blocks routes that rejected a call; the base backoff is learned from all calls of this node."""

    def __init__(self, context: SchedulerContext, health: HealthTracker) -> None:
        self._context, self._health = context, health
        self.base_ms = BACKOFF_MIN_MS

    def block(self, call: Call, wait: float, over_limit: bool) -> None:
        """Block the route of a rejected call for ``wait`` ms, as the endpoint requested, and a backoff."""
        now, random = self._context.now, self._context.random
        route = call.endpoint.route
        health = route.health
        unavailable_for = now + wait - (health.first_failure_at if health.failures else now)
        backoff = 0.0 if over_limit else self._backoff(route)  # the rate share limits further calls
        spread = self._health.spread_after(route, unavailable_for)
        backoff = max(backoff * random.uniform(*BACKOFF_JITTER), spread * random.random())
        route.blocked_until = max(route.blocked_until, now + wait + backoff)
        route.rate_share.rejected(now, call.sent, random.random())

    def _backoff(self, route: Route) -> float:
        """Return the backoff, bounded by the typical gap between successes: a frequent caller learns quickly."""
        now, health = self._context.now, route.health
        typical_gap = 1000 / max(health.success_rate(now), SUCCESS_RATE_MIN_PER_S)
        shortest = TRIAL_GAP_MIN_MS if now - health.last_success_at > OUTAGE_AFTER_MS else 0.0
        backoff = max(shortest, self.base_ms) * BACKOFF_GROWTH ** min(health.failures, BACKOFF_GROWTH_STEPS_MAX)
        return min(typical_gap, backoff)

    def rejected(self) -> None:
        """Increase the base backoff after a rejection that is not due to a rate limit."""
        self.base_ms = min(self.base_ms * BACKOFF_INCREASE, BACKOFF_MAX_MS)

    def succeeded(self) -> None:
        """Decrease the base backoff after a success."""
        self.base_ms = max(BACKOFF_MIN_MS, self.base_ms * BACKOFF_DECREASE)
