"""Outage detection and slow start: the health of routes and endpoints, and the rate at which they may be called.

A route that fails repeatedly without success is *failing* and receives only infrequent trial calls. The first success
after an outage makes it *warming*: its load rises from a small share of its rate to the full rate (slow start), because
a destination that has just recovered has little capacity and fails again if all nodes send at once. Times are
milliseconds. Rates are calls a second unless a name ends in ``_per_ms``.
"""

from __future__ import annotations

import math
from enum import StrEnum
from typing import TYPE_CHECKING

from lynxscale.scheduling.actions import Note

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.model import Call, Endpoint, Route

INF = math.inf
OUTAGE_FAILURES_MIN = 2  # consecutive failures that make a route failing: a single error may be chance
OUTAGE_AFTER_MS = 2500.0  # time without success that makes an outage, in contrast to a rate limit or a short gap
SUCCESS_RATE_MEMORY_MS = 10_000.0  # time constant of the decaying success count
BASE_RATE_RETAINED_SHARE = 0.5  # share of the previous outage's base rate that is a new one's minimum
TRIAL_GAP_MIN_MS = 600.0  # minimum gap between trial calls in an outage
TRIAL_GAP_MAX_MS = 1000.0  # maximum gap, unless all nodes together need a longer one
TRIAL_GAP_SPREAD = (0.7, 1.3)  # random factor, so that nodes don't call simultaneously
# Trial gap per age of the outage, times initial share and overload multiple: the older, the more nodes send trials.
TRIAL_GAP_PER_AGE = 2.0
RATE_MIN_PER_S = 1.0  # assumed where no rate is known
SLOW_START_LOAD_SHARE = 0.8  # used share of the load that a recovering destination can take
SLOW_START_BURST_SHARE = 0.25  # burst size, as a share of the calls within ``overload_after_ms``
RATE_SHARE_USED = 0.75  # used share of this node's part of an advertised rate, as others may use more than their part
# Defaults for absent settings:
SLOW_START_INITIAL_SHARE = 0.15  # share of its capacity that a destination has directly after an outage
SLOW_START_MS = 15_000.0  # time until it has its full capacity
OVERLOAD_MULTIPLE = 1.5  # a destination fails under a load above this multiple of its rate
OVERLOAD_AFTER_MS = 3000.0  # duration of such an overload after which it fails


class HealthState(StrEnum):
    """State of a route or an endpoint. The values appear in the exported learned state and in log lines."""

    OK = "ok"
    FAILING = "failing"  # outage: trial calls only
    WARMING = "warming"  # slow start


# Access to an enum member takes 0.2 µs in Python 3.11, and these are read many times per message.
HEALTHY, FAILING, WARMING = HealthState.OK, HealthState.FAILING, HealthState.WARMING


class Health:
    """Health of a route or an endpoint, with the token bucket of its slow start."""

    def __init__(self, now: float) -> None:
        self.state: HealthState = HEALTHY
        self.failures = 0  # consecutive
        self.definite_failures = 0  # those of ``failures`` that were not just a missing response
        self.last_failure_at = self.last_success_at = self.count_at = self.tokens_at = now
        self.first_failure_at = 0.0  # first of the consecutive failures
        self.slow_start_from = 0.0
        self.next_trial_at = 0.0
        self.base_rate = 0.0  # successful calls a second of this node before the outage
        self.count = 0.0  # exponentially decaying count of successes
        self.tokens = 0.0  # calls that slow start allows now

    def success_rate(self, now: float) -> float:
        """Return the recent successes a second."""
        return self.count * math.exp((self.count_at - now) / SUCCESS_RATE_MEMORY_MS) * 1000 / SUCCESS_RATE_MEMORY_MS


class HealthTracker:
    """Moves health records from state to state, and decides when they allow a call."""

    def __init__(self, context: SchedulerContext) -> None:
        settings = context.settings
        self._context = context
        self._senders = settings.senders
        self._initial_share = settings.cold_share or SLOW_START_INITIAL_SHARE
        self._slow_start_ms = settings.ramp_time_ms or SLOW_START_MS
        self._overload_multiple = settings.tip_multiple or OVERLOAD_MULTIPLE
        self._overload_after_ms = settings.tip_after_ms or OVERLOAD_AFTER_MS
        self._gap_per_age = TRIAL_GAP_PER_AGE / (self._initial_share * self._overload_multiple)

    # Rates ---------------------------------------------------------------------------------------

    def _dependable_rate(self, endpoint: Endpoint, health: Health) -> float:
        """Return the calls a second this node can rely on, from its successes or its part of an advertised rate."""
        route = endpoint.route
        sharers = self._senders * (1 if health is route.health else max(1, len(route.endpoints)))
        part = max(route.limit, route.weight()) / sharers
        return max(health.base_rate, RATE_SHARE_USED * part, 1000 / self._overload_after_ms / self._senders)

    def _slow_start_rate_per_ms(self, endpoint: Endpoint, health: Health) -> float:
        """Return the calls a millisecond that this node may send to a warming destination."""
        elapsed = self._context.now - health.slow_start_from
        capacity = self._initial_share + (1 - self._initial_share) * elapsed / self._slow_start_ms
        rate = self._dependable_rate(endpoint, health)
        return SLOW_START_LOAD_SHARE * self._overload_multiple * min(1.0, capacity) * rate / 1000

    def available_at(self, endpoint: Endpoint, health: Health) -> float:
        """Return when this health allows a call; 0 for now."""
        state = health.state
        if state is not WARMING:
            return health.next_trial_at if state is FAILING else 0.0
        now = self._context.now
        if now - health.slow_start_from >= self._slow_start_ms:
            self._change(endpoint, health, HEALTHY)
            return 0.0
        rate_per_ms = self._slow_start_rate_per_ms(endpoint, health)
        burst = max(1.0, SLOW_START_BURST_SHARE * rate_per_ms * self._overload_after_ms)
        health.tokens = min(burst, health.tokens + rate_per_ms * (now - health.tokens_at))
        health.tokens_at = now
        return 0.0 if health.tokens >= 1 - 1e-6 else now + (1 - health.tokens) / rate_per_ms

    def trial_sent(self, endpoint: Endpoint, health: Health) -> None:
        """Schedule the trial call that follows the one sent now."""
        health.next_trial_at = self._context.now + self._trial_gap(endpoint, health) * self._context.random.uniform(
            *TRIAL_GAP_SPREAD
        )

    def _trial_gap(self, endpoint: Endpoint, health: Health) -> float:
        """Return the gap between trials. It grows with the outage's age, as more and more nodes have messages."""
        age = self._context.now - health.first_failure_at
        longest = max(TRIAL_GAP_MAX_MS, self.full_fleet_gap(endpoint.route, health))
        return min(longest, max(TRIAL_GAP_MIN_MS, self._gap_per_age * age))

    def full_fleet_gap(self, route: Route, health: Health) -> float:
        """Return the gap with which the calls of all nodes together don't overload a recovering destination.

        It follows from this node's own rate or from the advertised one.
        """
        advertised = max(route.limit, route.weight(), RATE_MIN_PER_S)
        rate = max(advertised / self._senders, health.base_rate, health.success_rate(self._context.now))
        return 1000 / (self._overload_multiple * self._initial_share * rate)

    def spread_after(self, route: Route, age: float) -> float:
        """Return the ms over which nodes spread their first calls to a destination that took none for ``age`` ms."""
        if age <= OUTAGE_AFTER_MS:
            return 0.0
        return min(self.full_fleet_gap(route, route.health), self._gap_per_age * age)

    # Transitions ---------------------------------------------------------------------------------

    def _change(self, endpoint: Endpoint, health: Health, state: HealthState) -> None:
        health.state = state
        route = endpoint.route
        subject = f"dest {route.destination.number}" if health is route.health else "its"
        self._context.actions.append(Note(f"{subject} endpoint {endpoint.number} {state.value}"))

    def succeeded(self, endpoint: Endpoint, health: Health, on_time: bool) -> None:
        """Record a successful call; ``on_time`` if it was not overdue."""
        now = self._context.now
        outage_age = now - health.first_failure_at
        returned = self._has_returned(endpoint, health, on_time, outage_age)
        health.count = 1 + health.success_rate(now) * SUCCESS_RATE_MEMORY_MS / 1000
        health.count_at = now
        if returned:
            self._begin_slow_start(endpoint, health, outage_age)
        elif health.state is FAILING:
            self._change(endpoint, health, HEALTHY)  # a late response or a short gap: slow, not an outage
        health.failures = 0
        health.last_success_at = now

    def _has_returned(self, endpoint: Endpoint, health: Health, on_time: bool, outage_age: float) -> bool:
        """Does this success end an outage after which the destination needs a slow start?"""
        # A response on time while earlier calls are unanswered ends a hang. A late one shows that the destination was
        # slow and has not restarted.
        outage = health.definite_failures > 1 or on_time
        if not outage or outage_age <= OUTAGE_AFTER_MS:
            return False
        if self._context.now - health.last_success_at <= OUTAGE_AFTER_MS:
            return False
        unhealthy = health.state is FAILING or (health.state is HEALTHY and health.failures > 1)
        # While the route is warming, its rate bounds all endpoints. Bounds per endpoint would keep the load
        # below the capacity.
        route_health = endpoint.route.health
        return unhealthy and (health is route_health or route_health.state is not WARMING)

    def _begin_slow_start(self, endpoint: Endpoint, health: Health, outage_age: float) -> None:
        now = self._context.now
        waiting = endpoint.route.destination.waiting
        # The destination recovered between the last failure and now: assume the middle.
        health.slow_start_from = (now + max(health.last_failure_at, now - 2 * TRIAL_GAP_MAX_MS)) / 2
        health.tokens_at, health.tokens = now, 0.0 if waiting else 1.0
        # The messages that arrived during the outage show this node's part of the traffic, for any number of nodes.
        health.base_rate = max(health.base_rate, waiting * 1000 / outage_age)
        self._change(endpoint, health, WARMING)

    def failed(self, endpoint: Endpoint, health: Health, rejected: bool, sent: float) -> None:
        """Record the failure of a call sent at the time ``sent``; ``rejected`` if it was rejected because of load."""
        now = self._context.now
        if rejected and health.failures and sent <= health.last_failure_at:
            return  # simultaneous calls above a limit count as one rejection
        if not health.failures and health.state is HEALTHY:
            health.base_rate = max(health.success_rate(now), health.base_rate * BASE_RATE_RETAINED_SHARE)
            health.first_failure_at, health.definite_failures = now, 0
        health.failures += 1
        health.last_failure_at = now
        health.definite_failures += 1
        if health.state is WARMING:
            health.slow_start_from = min(now, health.slow_start_from + self._slow_start_ms / 4)
        outage = now - max(health.last_success_at, health.first_failure_at) > OUTAGE_AFTER_MS
        begins = health.failures >= OUTAGE_FAILURES_MIN and (outage or not rejected)
        if begins and health.state is not FAILING:
            self.trial_sent(endpoint, health)
            self._change(endpoint, health, FAILING)

    def unanswered(self, call: Call) -> None:
        """Record an overdue call: with no success since it was sent, the destination may hang."""
        endpoint = call.endpoint
        if endpoint.route.health.last_success_at < call.sent:
            for health in endpoint.health_records:
                self.failed(endpoint, health, False, call.sent)
                health.definite_failures -= 1
