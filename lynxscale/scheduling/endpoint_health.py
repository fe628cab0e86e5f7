"""Outages and slow start: the health of a route or an endpoint, and the rate at which it may be loaded.

A route that fails repeatedly without success is *failing*: only sparse trial calls go there. The first success after
an outage makes it *warming*: its load rises from a small share to all of its rate (slow start), as a destination that
has just come back bears little and fails again if all nodes send at once. Times are milliseconds; rates are calls a
second, paces calls a millisecond.
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
OUTAGE_FAILURES_MIN = 2  # failures in a row that make a route failing: a lone error is chance
OUTAGE_AFTER_MS = 2500.0  # no success and the first failure so long ago: an outage, not a limit or a short gap
SUCCESS_RATE_MEMORY_MS = 10_000.0
BASE_RATE_RETAINED_SHARE = 0.5  # share of the base rate of earlier outages that a new one keeps
TRIAL_GAP_MIN_MS = 600.0  # between trial calls in an outage
TRIAL_GAP_MAX_MS = 1000.0  # of a node that would otherwise wait longer, alone
TRIAL_GAP_SPREAD = (0.7, 1.3)  # random factor, so that nodes do not call together
TRIAL_GAP_PER_AGE = 2.0  # gap in ages of the outage, over start share and overload multiple: more nodes hold messages
RATE_MIN_PER_S = 1.0  # calls a second where no rate is known
SLOW_START_LOAD_SHARE = 0.8  # of the load that a returning destination bears
SLOW_START_BURST_SHARE = 0.25  # of the load of an overload span, that may go at once
RATE_SHARE_USED = 0.75  # of this node's part of an advertised rate, as other nodes may use more than theirs
# Where the settings say nothing:
SLOW_START_INITIAL_SHARE = 0.15  # of its capacity that a destination has when it returns
SLOW_START_MS = 15_000.0  # until it has all of it
OVERLOAD_MULTIPLE = 1.5  # of its rate, above which a destination fails ...
OVERLOAD_AFTER_MS = 3000.0  # ... when it lasts for so long


class HealthState(StrEnum):
    """State of a route or an endpoint. The values are in the learned state that nodes hand over, and in log notes."""

    OK = "ok"
    FAILING = "failing"  # an outage: trial calls only
    WARMING = "warming"  # slow start


# Reading a member from its enum takes 0.2 µs in Python 3.11, and these are read many times for each message.
HEALTHY, FAILING, WARMING = HealthState.OK, HealthState.FAILING, HealthState.WARMING


class Health:
    """Outage state of a route or an endpoint, and the tokens that pace its slow start."""

    def __init__(self, now: float) -> None:
        self.state: HealthState = HEALTHY
        self.failures = 0  # in a row
        self.definite_failures = 0  # of these, those that were more than a missing answer
        self.last_failure_at = self.last_success_at = self.count_at = self.tokens_at = now
        self.first_failure_at = 0.0  # of those in a row
        self.slow_start_from = 0.0
        self.next_trial_at = 0.0
        self.base_rate = 0.0  # calls a second that this node sent before the outage
        self.count = 0.0  # successes, decaying
        self.tokens = 0.0  # calls that slow start lets through

    def success_rate(self, now: float) -> float:
        """Successes a second of late."""
        return self.count * math.exp((self.count_at - now) / SUCCESS_RATE_MEMORY_MS) * 1000 / SUCCESS_RATE_MEMORY_MS


class HealthTracker:
    """Moves healths from state to state, and says when they let a call through."""

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
        """Calls a second that this node may count on there: its own evidence, or its part of an advertised rate."""
        route = endpoint.route
        sharers = self._senders * (1 if health is route.health else max(1, len(route.endpoints)))
        part = max(route.limit, route.weight()) / sharers
        return max(health.base_rate, RATE_SHARE_USED * part, 1000 / self._overload_after_ms / self._senders)

    def _slow_start_rate_per_ms(self, endpoint: Endpoint, health: Health) -> float:
        """Calls a millisecond that a warming destination bears, from this node alone."""
        elapsed = self._context.now - health.slow_start_from
        capacity = self._initial_share + (1 - self._initial_share) * elapsed / self._slow_start_ms
        rate = self._dependable_rate(endpoint, health)
        return SLOW_START_LOAD_SHARE * self._overload_multiple * min(1.0, capacity) * rate / 1000

    def available_at(self, endpoint: Endpoint, health: Health) -> float:
        """When this health lets a call through; 0 for now."""
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
        """A trial call goes to a failing destination: schedule the next one."""
        health.next_trial_at = self._context.now + self._trial_gap(endpoint, health) * self._context.random.uniform(
            *TRIAL_GAP_SPREAD
        )

    def _trial_gap(self, endpoint: Endpoint, health: Health) -> float:
        """Between trials in an outage: all nodes may try alike, and more have messages for it the older it is."""
        age = self._context.now - health.first_failure_at
        longest = max(TRIAL_GAP_MAX_MS, self.full_fleet_gap(endpoint.route, health))
        return min(longest, max(TRIAL_GAP_MIN_MS, self._gap_per_age * age))

    def full_fleet_gap(self, route: Route, health: Health) -> float:
        """Gap at which all nodes together load a returning destination as it bears, by own or advertised rate."""
        advertised = max(route.limit, route.weight(), RATE_MIN_PER_S)
        rate = max(advertised / self._senders, health.base_rate, health.success_rate(self._context.now))
        return 1000 / (self._overload_multiple * self._initial_share * rate)

    def spread_after(self, route: Route, age: float) -> float:
        """Span over which nodes spread the first calls to a destination that was closed for ``age`` ms."""
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
        """A call succeeded there; ``on_time``: it was never long overdue."""
        now = self._context.now
        outage_age = now - health.first_failure_at
        returned = self._has_returned(endpoint, health, on_time, outage_age)
        health.count = 1 + health.success_rate(now) * SUCCESS_RATE_MEMORY_MS / 1000
        health.count_at = now
        if returned:
            self._begin_slow_start(endpoint, health, outage_age)
        elif health.state is FAILING:
            self._change(endpoint, health, HEALTHY)  # a late answer or a short gap: it was slow, not out
        health.failures = 0
        health.last_success_at = now

    def _has_returned(self, endpoint: Endpoint, health: Health, on_time: bool, outage_age: float) -> bool:
        """Does this success end an outage, so that the destination needs a slow start?"""
        # On time while earlier calls stay unanswered: it hung. A late answer: it was slow, and has not restarted.
        outage = health.definite_failures > 1 or on_time
        if not outage or outage_age <= OUTAGE_AFTER_MS:
            return False
        if self._context.now - health.last_success_at <= OUTAGE_AFTER_MS:
            return False
        unhealthy = health.state is FAILING or (health.state is HEALTHY and health.failures > 1)
        # Where the route warms up, its pace bounds all endpoints: their own would keep it under what it bears.
        route_health = endpoint.route.health
        return unhealthy and (health is route_health or route_health.state is not WARMING)

    def _begin_slow_start(self, endpoint: Endpoint, health: Health, outage_age: float) -> None:
        now = self._context.now
        waiting = endpoint.route.destination.waiting
        # It came back between the last failure and now.
        health.slow_start_from = (now + max(health.last_failure_at, now - 2 * TRIAL_GAP_MAX_MS)) / 2
        health.tokens_at, health.tokens = now, 0.0 if waiting else 1.0
        # What arrived meanwhile is this node's part of the traffic, however many nodes there are.
        health.base_rate = max(health.base_rate, waiting * 1000 / outage_age)
        self._change(endpoint, health, WARMING)

    def failed(self, endpoint: Endpoint, health: Health, rejected: bool, sent: float) -> None:
        """A call sent at that time failed there, in whatever way; ``rejected``: it was refused for load."""
        now = self._context.now
        if rejected and health.failures and sent <= health.last_failure_at:
            return  # one volley above a limit is one rejection
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
        """A call is long overdue: with no success since it was sent the destination may hang."""
        endpoint = call.endpoint
        if endpoint.route.health.last_success_at < call.sent:
            for health in endpoint.health_records:
                self.failed(endpoint, health, False, call.sent)
                health.definite_failures -= 1
