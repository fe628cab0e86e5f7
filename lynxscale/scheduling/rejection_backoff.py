"""Backoff after a rejection for load: how long a route is left alone, besides the wait that it asked for.

A destination gives all nodes the same end of a wait; if all retried at that moment they would be rejected again. So
each adds a random backoff that grows with rejections in a row. Milliseconds.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from lynxscale.scheduling.endpoint_health import OUTAGE_AFTER_MS, TRIAL_GAP_MIN_MS

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.endpoint_health import HealthTracker
    from lynxscale.scheduling.model import Call, Route

BACKOFF_MIN_MS, BACKOFF_MAX_MS = 150.0, 12_000.0  # of the base that all destinations share
BACKOFF_INCREASE, BACKOFF_DECREASE = 1.3, 0.985  # factors of that base, for a rejection and a success
BACKOFF_GROWTH, BACKOFF_GROWTH_STEPS_MAX = 2.0, 6  # factor for each rejection in a row, so many times
BACKOFF_JITTER = (0.3, 1.0)  # share of the backoff that is used
OVER_LIMIT_ALLOWANCE_MAX = 0.5  # with less of the allowance left a rejection is due to the limit; reports are old
SUCCESS_RATE_MIN_PER_S = 0.01  # a second, for the usual gap between a node's successes


def is_over_limit(allowance_left: float | None) -> bool:
    """Was a rejection due to an exhausted rate limit? Many nodes reach it together, which is no outage."""
    return allowance_left is not None and allowance_left < OVER_LIMIT_ALLOWANCE_MAX


class RejectionBackoff:
    """Blocks routes that rejected a call; ``base_ms`` is learned from all calls of this node."""

    def __init__(self, context: SchedulerContext, health: HealthTracker) -> None:
        self._context, self._health = context, health
        self.base_ms = BACKOFF_MIN_MS

    def block(self, call: Call, wait: float, over_limit: bool) -> None:
        """Block the route of a rejected call, which asked to wait for so long (ms)."""
        now, random = self._context.now, self._context.random
        route = call.endpoint.route
        health = route.health
        unavailable_for = now + wait - (health.first_failure_at if health.failures else now)
        backoff = 0.0 if over_limit else self._backoff(route)  # the rate share paces the others
        spread = self._health.spread_after(route, unavailable_for)
        backoff = max(backoff * random.uniform(*BACKOFF_JITTER), spread * random.random())
        route.blocked_until = max(route.blocked_until, now + wait + backoff)
        route.rate_share.rejected(now, call.sent, random.random())

    def _backoff(self, route: Route) -> float:
        """A node that sends much there learns fast and need not wait for longer than its usual gap."""
        now, health = self._context.now, route.health
        typical_gap = 1000 / max(health.success_rate(now), SUCCESS_RATE_MIN_PER_S)
        shortest = TRIAL_GAP_MIN_MS if now - health.last_success_at > OUTAGE_AFTER_MS else 0.0
        backoff = max(shortest, self.base_ms) * BACKOFF_GROWTH ** min(health.failures, BACKOFF_GROWTH_STEPS_MAX)
        return min(typical_gap, backoff)

    def rejected(self) -> None:
        """A destination rejected a call for another reason than its rate limit."""
        self.base_ms = min(self.base_ms * BACKOFF_INCREASE, BACKOFF_MAX_MS)

    def succeeded(self) -> None:
        """A call succeeded."""
        self.base_ms = max(BACKOFF_MIN_MS, self.base_ms * BACKOFF_DECREASE)
