"""Outcomes: updates messages, calls, endpoints and routes with the results of ended attempts."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lynxscale.scheduling.endpoint_health import OUTAGE_AFTER_MS, TRIAL_GAP_MIN_MS
from lynxscale.scheduling.events import Outcome, Result
from lynxscale.scheduling.latency_estimates import RECENT_WEIGHT
from lynxscale.scheduling.rejection_backoff import is_over_limit
from lynxscale.scheduling.retry_policy import IN_DOUBT, MAYBE_EXECUTED, NOT_SENT

if TYPE_CHECKING:
    from lynxscale.scheduling.admission import Admission
    from lynxscale.scheduling.class_ejection import ClassEjection
    from lynxscale.scheduling.concurrency_window import ConcurrencyLimits
    from lynxscale.scheduling.connection_pools import ConnectionPools
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.endpoint_health import HealthTracker
    from lynxscale.scheduling.latency_estimates import LatencyEstimates
    from lynxscale.scheduling.message_queue import MessageQueue
    from lynxscale.scheduling.model import AttemptInFlight, Call, Endpoint, Route
    from lynxscale.scheduling.rejection_backoff import RejectionBackoff
    from lynxscale.scheduling.restart_budget import RestartBudget
    from lynxscale.scheduling.routing_table import RoutingTable

INF = math.inf
COOLDOWN_MS = 500.0  # pause of an endpoint that failed, while its route still serves
FIRST_RETRY_SPREAD = (1.0, 3.0)  # range of the cooldown in minimum trial gaps, where successes are rare
REUSABLE_CONNECTION_RESULTS = (Result.OK, Result.ERROR, Result.FULL)
UNINFORMATIVE_RESULTS = (Result.CANCELLED, Result.MOOT)  # no evidence about the endpoint


class OutcomeHandler:
    """Passes each outcome to the modules that learn from it."""

    def __init__(
        self,
        context: SchedulerContext,
        *,
        queue: MessageQueue,
        admission: Admission,
        limits: ConcurrencyLimits,
        health: HealthTracker,
        ejection: ClassEjection,
        backoff: RejectionBackoff,
        pools: ConnectionPools,
        latencies: LatencyEstimates,
        restarts: RestartBudget,
        table: RoutingTable,
    ) -> None:
        self._context, self._queue, self._admission, self._limits = context, queue, admission, limits
        self._health, self._ejection, self._backoff, self._pools = health, ejection, backoff, pools
        self._latencies, self._restarts, self._table = latencies, restarts, table

    def handle(self, event: Outcome) -> None:
        """Handle the outcome of an attempt; outcomes of unknown attempts are ignored."""
        attempt = self._limits.attempts.pop((event.id, event.attempt), None)
        if attempt is None:
            return
        attempt.ended = True
        message, call, result = attempt.message, attempt.call, event.result
        endpoint = call.endpoint
        message.attempt = None
        allowance_left = self._read_report(endpoint.route, event.report)
        self._close_attempt(call, result)
        self._learn_rejection(call, event, allowance_left)
        self._learn_once_per_call(call, result, is_over_limit(allowance_left))
        self._learn_for_class(endpoint, message.cls, event)
        self._record_possible_execution(attempt, result)
        self._table.remove_if_unused(endpoint)
        self._admission.attempt_ended(message, event.finished)

    def call_overdue(self, call: Call) -> None:
        """Handle a call that is overdue: with no success since it was sent, the destination may hang."""
        if not call.open_attempts:
            return
        endpoint = call.endpoint
        self._limits.mark_unresponsive(call)
        for cls in call.classes:
            self._ejection.failed(endpoint, cls)
        self._queue.activate(endpoint.route.destination)
        self._health.unanswered(call)

    def _read_report(self, route: Route, report: tuple[float, ...]) -> float | None:
        """Read a load report into the route. Returns the remaining share of the allowance, ``None`` without a limit."""
        settings = self._context.settings
        left, limit = settings.report_left, settings.report_limit
        if limit is None or len(report) <= limit:
            return None
        route.limit = report[limit]
        route.rate_share.set_limit(route.limit or route.weight())
        return report[left] if left is not None and len(report) > left and route.limit > 0 else None

    def _close_attempt(self, call: Call, result: Result) -> None:
        call.open_attempts -= 1
        if call.open_attempts:
            return
        call.ended = True
        self._queue.activate(call.endpoint.route.destination)
        self._limits.call_closed(call)
        if result in REUSABLE_CONNECTION_RESULTS:
            self._pools.release(call.endpoint)

    def _learn_rejection(self, call: Call, event: Outcome, allowance_left: float | None) -> None:
        rate_share = call.endpoint.route.rate_share
        if event.result == Result.FULL:
            self._backoff.block(call, event.wait, is_over_limit(allowance_left))
        elif event.result == Result.OK:
            rate_share.answered(self._context.now, call.sent, allowance_left)
        elif event.result in NOT_SENT and not call.open_attempts:
            rate_share.refund()

    def _learn_once_per_call(self, call: Call, result: Result, over_limit: bool) -> None:
        """Update connections, window and health with the first informative outcome of a call."""
        if call.outcome_recorded or result in UNINFORMATIVE_RESULTS:
            return
        call.outcome_recorded = True
        endpoint = call.endpoint
        self._pools.ended(call, result)
        if result == Result.OK:
            self._call_succeeded(call)
            return
        route_health = endpoint.route.health
        since_success = self._context.now - route_health.last_success_at
        if result == Result.RESET and call.idle_ms and since_success < OUTAGE_AFTER_MS:
            return  # a reused connection was reset, which says little of the endpoint; the next attempt shows its state
        rejected = result == Result.FULL
        over_limit = over_limit and rejected
        if rejected and not over_limit:
            self._backoff.rejected()
        if result in (Result.FULL, Result.TIMEOUT):
            self._limits.shrink(endpoint.route)
        if result in (Result.CONNECT_FAILED, Result.RESET, Result.ERROR):
            self._cool_down(endpoint, result)
        # Overdue calls have been counted already, and timeouts may be due to a short deadline.
        if not call.unresponsive and result != Result.TIMEOUT and not over_limit:
            for health in endpoint.health_records:
                self._health.failed(endpoint, health, rejected, call.sent)

    def _call_succeeded(self, call: Call) -> None:
        now, endpoint, route = self._context.now, call.endpoint, call.endpoint.route
        self._limits.grow(route)
        self._backoff.succeeded()
        self._restarts.earn(route)
        endpoint.answered_sent_at = max(endpoint.answered_sent_at, call.sent)
        latency_ratio = (now - call.sent) / max(1.0, route.median)
        endpoint.latency_ratio += (latency_ratio - endpoint.latency_ratio) * RECENT_WEIGHT
        for health in endpoint.health_records:
            self._health.succeeded(endpoint, health, not call.unresponsive)

    def _cool_down(self, endpoint: Endpoint, result: Result) -> None:
        """Pause the endpoint after a failure.

        Nodes that call rarely cannot distinguish a chance error from an outage, so their first retries are spread. This
        delays retries by about a second after a single error. It covers crashes, errors and full connection tables.
        """
        now = self._context.now
        rare = now - endpoint.route.health.last_success_at > OUTAGE_AFTER_MS
        cooldown = TRIAL_GAP_MIN_MS * self._context.random.uniform(*FIRST_RETRY_SPREAD) if rare else COOLDOWN_MS
        endpoint.cooldown_until = now + cooldown
        if result == Result.RESET:
            endpoint.idle_since.clear()

    def _learn_for_class(self, endpoint: Endpoint, cls: int, event: Outcome) -> None:
        result = event.result
        if result not in UNINFORMATIVE_RESULTS:
            latency = event.spent if result == Result.OK else INF
            self._latencies.record(endpoint.route, cls, latency)
        if result == Result.OK:
            self._ejection.succeeded(endpoint, cls)
        elif result in (Result.ERROR, Result.TIMEOUT):
            self._ejection.failed(endpoint, cls)

    def _record_possible_execution(self, attempt: AttemptInFlight, result: Result) -> None:
        """Record whether the message may have been executed and in which zone, which restricts further attempts."""
        message, call = attempt.message, attempt.call
        if result in MAYBE_EXECUTED:
            message.maybe_executed_at = message.maybe_executed_at or call.sent
            if self._context.settings.classes[message.cls].group == "zone":
                message.zone = call.endpoint.zone
        if result in IN_DOUBT:
            message.in_doubt_at = self._context.now
        message.first_attempt_pending &= result in NOT_SENT
