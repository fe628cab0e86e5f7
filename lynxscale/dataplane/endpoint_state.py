"""What a relay knows of one endpoint from its own attempts: concurrency window, restart timeout, load and cooldown."""

from __future__ import annotations

import math

from lynxscale.coordination.ports import Clock
from lynxscale.dataplane.connection_pool import ConnectionPool
from lynxscale.dataplane.failure_rate import FailureRate
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.runtime.http_client import Dial
from lynxscale.scheduling.restart_timeout import INF, AttemptSample

READY = "ready"  # the platform's state of an endpoint that takes requests

# The concurrency window, in requests (docs/design/serving-tier.md)
MAX_WINDOW_SHARE = 0.75  # of the endpoint's slots
UNHEALTHY_WINDOW_SHARE = 0.5  # of the slots, while the endpoint is failing or slow
SLOW_MULTIPLE = 3.0  # recent latency in median latencies beyond which an endpoint counts as slow
RECENT_LATENCY_WEIGHT = 0.2  # of the newest attempt in the recent latency

# The restart budget, a token bucket: one token a restart
RESTART_COST_MEDIANS = 1.0  # cost of a restart in median latencies: the abandoned call may run on
RESTART_TOKENS_PER_SUCCESS, MAX_RESTART_TOKENS = 0.1, 3.0
INITIAL_RESTART_TOKENS = 1.0

# Cooldown and outlier ejection
REJECTION_COOLDOWN_S = 0.05
FAILURE_COOLDOWN_S, MAX_FAILURE_COOLDOWN_S = 0.2, 2.0
MAX_COOLDOWN_DOUBLINGS = 4
FAILING_STREAK = 2  # consecutive failures that make an endpoint failing: a lone error is chance
SUCCESS, RESTART, FAILURE = 0.0, 0.5, 1.0  # severity of an attempt's end; a restart is weaker evidence than a failure

REPORTED_LOAD_LIFETIME_S = 1.0  # a reported load counts linearly less until it is so old


class EndpointState:
    """One endpoint, its connections, and what recent attempts have shown."""

    def __init__(self, endpoint: Endpoint, clock: Clock, dial: Dial) -> None:
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
        self.connections = ConnectionPool(endpoint.address, clock, dial, closed=not self.ready)
        self._consecutive_failures = 0
        self._clock = clock
        self._load_of_others = 0.0
        self._load_reported_at = -INF

    @property
    def slots(self) -> int:
        """Requests that the endpoint executes at once."""
        return max(1, self.endpoint.slots)

    @property
    def failing(self) -> bool:
        """Have the latest attempts all failed?"""
        return self._consecutive_failures >= FAILING_STREAK

    @property
    def slow(self) -> bool:
        """Is the recent latency more than ``SLOW_MULTIPLE`` median latencies?"""
        return self.sample.median > 0 and self.recent_latency_ms > SLOW_MULTIPLE * self.sample.median

    @property
    def concurrency_limit(self) -> int:
        """Requests of this relay that may be in flight there now."""
        share = UNHEALTHY_WINDOW_SHARE if self.failing or self.slow else MAX_WINDOW_SHARE
        return max(1, min(self.window, math.floor(share * self.slots)))

    @property
    def load(self) -> float:
        """Requests at the endpoint: this relay's, and those of other relays by the endpoint's latest report."""
        age = self._clock.now() - self._load_reported_at
        return self.in_flight + self._load_of_others * max(0.0, 1.0 - age / REPORTED_LOAD_LIFETIME_S)

    def kv_cache_load(self, typical_tokens: float) -> float:
        """Tokens that the requests there may come to hold; other relays' count as ``typical_tokens`` each."""
        return self.tokens_in_flight + max(0.0, self.load - self.in_flight) * typical_tokens

    def may_send(self, now: float) -> bool:
        """May another request be sent now? The endpoint is ready, not in cooldown, and its window has room."""
        return self.ready and now >= self.cooldown_until and self.in_flight < self.concurrency_limit

    # What attempts report ----------------------------------------------------------------------------

    def on_load_report(self, requests: int) -> None:
        """The endpoint reports its load, this relay's request included."""
        self._load_of_others = max(0.0, requests - self.in_flight)
        self._load_reported_at = self._clock.now()

    def on_success(self, latency_ms: float) -> None:
        """An attempt completed; the window grows by one."""
        self._record_latency(latency_ms)
        weight = RECENT_LATENCY_WEIGHT if self.recent_latency_ms else 1.0
        self.recent_latency_ms += (latency_ms - self.recent_latency_ms) * weight
        self.window = min(self.window + 1, max(1, math.floor(MAX_WINDOW_SHARE * self.slots)))
        self.restart_tokens = min(MAX_RESTART_TOKENS, self.restart_tokens + RESTART_TOKENS_PER_SUCCESS)
        self._consecutive_failures = 0
        self.failure_rate.observe(SUCCESS)

    def on_error_response(self) -> None:
        """The response that completed was an error of the endpoint's own."""
        self.failure_rate.observe(FAILURE)

    def on_rejected(self) -> None:
        """The endpoint was full and did not execute the request; the window is halved."""
        self._record_latency(INF)
        self.window = max(1, self.window // 2)
        self.cooldown_until = self._clock.now() + REJECTION_COOLDOWN_S

    def on_failure(self) -> None:
        """The attempt ended without a response that counts: an error, a reset, or no connection."""
        self._record_latency(INF)
        self.failure_rate.observe(FAILURE)
        self._consecutive_failures += 1
        cooldown_s = FAILURE_COOLDOWN_S * 2 ** min(self._consecutive_failures - 1, MAX_COOLDOWN_DOUBLINGS)
        if self.failing:
            self.cooldown_until = self._clock.now() + min(cooldown_s, MAX_FAILURE_COOLDOWN_S)

    def on_deadline_expired(self) -> None:
        """No response in all the time that the request had; the window is halved."""
        self.window = max(1, self.window // 2)
        self.on_failure()

    def on_restart(self) -> None:
        """The relay abandoned the attempt at the restart timeout."""
        self.failure_rate.observe(RESTART)
        self.restart_tokens -= 1.0
        self._record_latency(INF)

    def mark_unavailable(self) -> None:
        """The endpoint is draining, or another one has its address: nothing more is sent there."""
        self.ready = False
        self.connections.close()

    def _record_latency(self, latency_ms: float) -> None:
        self.sample.add(self._clock.now() * 1000.0, latency_ms, RESTART_COST_MEDIANS)
