"""State of one endpoint, derived from a relay's own attempts: concurrency window, restart timeout, load, cooldown."""

from __future__ import annotations

import math

from lynxscale.coordination.ports import Clock
from lynxscale.dataplane.connection_pool import ConnectionPool, IdleConnections
from lynxscale.dataplane.failure_rate import FailureRate
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.runtime.http_client import Dial
from lynxscale.scheduling.restart_timeout import INF, AttemptSample

READY = "ready"  # the platform's state for an endpoint that accepts requests

# The concurrency window, in requests (docs/design/serving-tier.md)
MAX_WINDOW_SHARE = 0.75  # share of the endpoint's slots
UNHEALTHY_WINDOW_SHARE = 0.5  # share of the slots while the endpoint is failing or slow
SLOW_LATENCY_MEDIANS = 3.0  # an endpoint is slow if its recent latency exceeds this many median latencies
RECENT_LATENCY_WEIGHT = 0.2  # weight of the newest attempt in the moving average

# The restart budget, a token bucket: each restart takes one token
RESTART_COST_MEDIANS = 1.0  # in median latencies: the endpoint may go on executing the abandoned request
RESTART_TOKENS_PER_SUCCESS, MAX_RESTART_TOKENS = 0.1, 3.0
INITIAL_RESTART_TOKENS = 1.0

# Cooldown and outlier ejection
REJECTION_COOLDOWN_S = 0.05
FAILURE_COOLDOWN_S, MAX_FAILURE_COOLDOWN_S = 0.2, 2.0
MAX_COOLDOWN_DOUBLINGS = 4
MIN_CONSECUTIVE_FAILURES = 2  # an endpoint with fewer is not failing: a single error may be random
SUCCESS, RESTART, FAILURE = 0.0, 0.5, 1.0  # severities; a restart is weaker evidence than a failure

REPORTED_LOAD_LIFETIME_S = 1.0  # the weight of a reported load falls linearly to 0 over this time


class EndpointState:
    """One endpoint, its idle connections, and the estimates from its recent attempts."""

    def __init__(
        self, endpoint: Endpoint, clock: Clock, dial: Dial, idle_connections: IdleConnections | None = None
    ) -> None:
        """``idle_connections``: the limit of idle connections to all endpoints, if there is one."""
        self.endpoint = endpoint
        self.ready = endpoint.state == READY
        self.in_flight = 0
        self.tokens_in_flight = 0
        self.window = 1
        self.sample = AttemptSample()
        self.recent_latency_ms = 0.0
        self.restart_tokens = INITIAL_RESTART_TOKENS
        self.cooldown_until = -INF
        self.failure_rate = FailureRate(clock)
        idle = idle_connections or IdleConnections()
        self.connections = ConnectionPool(endpoint.address, clock, dial, closed=not self.ready, idle_connections=idle)
        self._consecutive_failures = 0
        self._clock = clock
        self._load_of_others = 0.0
        self._load_reported_at = -INF

    @property
    def slots(self) -> int:
        """The number of requests that the endpoint executes concurrently."""
        return max(1, self.endpoint.slots)

    @property
    def failing(self) -> bool:
        """Whether the last ``MIN_CONSECUTIVE_FAILURES`` attempts have all failed."""
        return self._consecutive_failures >= MIN_CONSECUTIVE_FAILURES

    @property
    def slow(self) -> bool:
        """Whether the recent latency exceeds ``SLOW_LATENCY_MEDIANS`` median latencies."""
        return self.sample.median > 0 and self.recent_latency_ms > SLOW_LATENCY_MEDIANS * self.sample.median

    @property
    def concurrency_limit(self) -> int:
        """The number of this relay's requests that may be in flight at the endpoint now."""
        share = UNHEALTHY_WINDOW_SHARE if self.failing or self.slow else MAX_WINDOW_SHARE
        return max(1, min(self.window, math.floor(share * self.slots)))

    @property
    def load(self) -> float:
        """Requests at the endpoint: this relay's own, and those of other relays as estimated from its latest report."""
        age = self._clock.now() - self._load_reported_at
        return self.in_flight + self._load_of_others * max(0.0, 1.0 - age / REPORTED_LOAD_LIFETIME_S)

    def kv_cache_load(self, typical_tokens: float) -> float:
        """Return the most tokens that the requests at the endpoint may hold in its KV cache.

        Each request of another relay counts as ``typical_tokens``.
        """
        return self.tokens_in_flight + max(0.0, self.load - self.in_flight) * typical_tokens

    def may_send(self, now: float) -> bool:
        """Whether another request may be sent: the endpoint is ready, not in cooldown, and its window is not full."""
        return self.ready and now >= self.cooldown_until and self.in_flight < self.concurrency_limit

    # Reports of attempts -----------------------------------------------------------------------------

    def on_load_report(self, requests: int) -> None:
        """Record the load that the endpoint reports, which includes this relay's requests."""
        self._load_of_others = max(0.0, requests - self.in_flight)
        self._load_reported_at = self._clock.now()

    def on_success(self, latency_ms: float | None) -> None:
        """Record a completed attempt and increase the window by one; None if its latency is not the endpoint's."""
        if latency_ms is not None:
            self._record_latency(latency_ms)
            weight = RECENT_LATENCY_WEIGHT if self.recent_latency_ms else 1.0
            self.recent_latency_ms += (latency_ms - self.recent_latency_ms) * weight
        self.window = min(self.window + 1, max(1, math.floor(MAX_WINDOW_SHARE * self.slots)))
        self.restart_tokens = min(MAX_RESTART_TOKENS, self.restart_tokens + RESTART_TOKENS_PER_SUCCESS)
        self._consecutive_failures = 0
        self.failure_rate.observe(SUCCESS)

    def on_error_response(self) -> None:
        """Record that a completed response was a server error."""
        self.failure_rate.observe(FAILURE)

    def on_rejected(self) -> None:
        """Halve the window, as the endpoint was full and did not execute the request."""
        self._record_latency(INF)
        self.window = max(1, self.window // 2)
        self.cooldown_until = self._clock.now() + REJECTION_COOLDOWN_S

    def on_failure(self) -> None:
        """Record an attempt without a valid response: a protocol error, a reset, or no connection."""
        self._record_latency(INF)
        self.failure_rate.observe(FAILURE)
        self._consecutive_failures += 1
        cooldown_s = FAILURE_COOLDOWN_S * 2 ** min(self._consecutive_failures - 1, MAX_COOLDOWN_DOUBLINGS)
        if self.failing:
            self.cooldown_until = self._clock.now() + min(cooldown_s, MAX_FAILURE_COOLDOWN_S)

    def on_deadline_expired(self) -> None:
        """Record that the request's deadline expired during the attempt, and halve the window."""
        self.window = max(1, self.window // 2)
        self.on_failure()

    def on_restart(self) -> None:
        """Record that the attempt was abandoned at the restart timeout, and take a restart token."""
        self.failure_rate.observe(RESTART)
        self.restart_tokens -= 1.0
        self._record_latency(INF)

    def mark_unavailable(self) -> None:
        """Send no more requests: the endpoint is draining or gone, or its address now belongs to another one."""
        self.ready = False
        self.connections.close()

    def _record_latency(self, latency_ms: float) -> None:
        self.sample.add(self._clock.now() * 1000.0, latency_ms, RESTART_COST_MEDIANS)
