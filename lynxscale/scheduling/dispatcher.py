"""Dispatch: takes destinations in turn and sends their next messages within the limits."""

from __future__ import annotations

import math
from heapq import heappop, heappush
from typing import TYPE_CHECKING

from lynxscale.scheduling.actions import Attempt
from lynxscale.scheduling.endpoint_health import FAILING, WARMING
from lynxscale.scheduling.model import AttemptInFlight, Call, Destination, Endpoint, PendingMessage
from lynxscale.scheduling.settings import Effect

if TYPE_CHECKING:
    from lynxscale.scheduling.admission import Admission
    from lynxscale.scheduling.concurrency_window import ConcurrencyLimits
    from lynxscale.scheduling.connection_pools import ConnectionPools
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.endpoint_choice import EndpointChoice
    from lynxscale.scheduling.endpoint_health import HealthTracker
    from lynxscale.scheduling.latency_estimates import LatencyEstimates
    from lynxscale.scheduling.message_queue import MessageQueue
    from lynxscale.scheduling.outcomes import OutcomeHandler
    from lynxscale.scheduling.restart_budget import RestartBudget
    from lynxscale.scheduling.retry_policy import RetryPolicy

INF = math.inf
RECHECK_ADVANCE_MIN_MS = 20.0  # a recheck timer is replaced only by one this much earlier, or timers would multiply
# A call is overdue after OVERDUE_MIN_MS or after OVERDUE_MULTIPLE typical latencies, whichever is later.
OVERDUE_MIN_MS, OVERDUE_MULTIPLE = 1000.0, 6.0
JOINED_MESSAGE_TOKENS = 0.25  # slow start tokens for each further message in a call; the first message takes one


class Dispatcher:
    """Sends queued messages.

    Destinations come first whose next message has its full value, or which use less than half of an even share of the
    slots. Among equals the destination with the fewest calls in flight comes first.
    """

    def __init__(
        self,
        context: SchedulerContext,
        *,
        queue: MessageQueue,
        admission: Admission,
        choice: EndpointChoice,
        limits: ConcurrencyLimits,
        health: HealthTracker,
        pools: ConnectionPools,
        latencies: LatencyEstimates,
        retries: RetryPolicy,
        restarts: RestartBudget,
        outcomes: OutcomeHandler,
        destinations: dict[int, Destination],
    ) -> None:
        self._context, self._queue, self._admission, self._choice = context, queue, admission, choice
        self._limits, self._health, self._pools, self._latencies = limits, health, pools, latencies
        self._retries, self._restarts, self._outcomes = retries, restarts, outcomes
        self._destinations = destinations

    def dispatch(self) -> None:
        """Send all messages that the limits allow now."""
        queue, limits = self._queue, self._limits
        heap: list[tuple] = []
        if not limits.slots_exhausted():
            for destination in list(queue.active.values()):
                self._offer(heap, destination)
        while heap:
            destination = heappop(heap)[-1]
            if self._send_next(destination):
                self._offer(heap, destination)
            elif not limits.slots_exhausted():
                del queue.active[destination.number]  # an outcome or a timer will activate it again
        if queue.active and limits.slots_exhausted():
            limits.cancel_unresponsive(self._restarts)

    def _offer(self, heap: list[tuple], destination: Destination) -> None:
        entry = self._queue.head(destination)
        if entry is None:
            del self._queue.active[destination.number]
            return
        # Prevents a busy and slow destination, whose messages are still on time, from taking every slot. The limit is
        # half of an even share, because demand differs between destinations.
        below_share = 2 * destination.in_flight * len(self._destinations) < self._context.settings.slots
        tier = 0 if below_share else entry.tier
        heappush(heap, (tier, destination.in_flight, entry.rank, destination.number, destination))

    def _send_next(self, destination: Destination) -> bool:
        """Send or end the destination's next message. Returns False if none may be sent now."""
        entry = self._queue.head(destination)
        assert entry is not None  # ``_offer`` adds only destinations that have an entry
        message = entry.message
        if self._retries.is_undeliverable(message):
            self._admission.give_up(message)
            return True
        endpoint, available_at = self._choice.choose(destination, message)
        if endpoint is None:
            self._schedule_recheck(destination, available_at)
            return False
        if endpoint.route.health.state is FAILING:
            message = self._message_for_trial(destination, endpoint, message)
        self._send(message, endpoint)
        return True

    def _schedule_recheck(self, destination: Destination, available_at: float) -> None:
        now = self._context.now
        if available_at < INF and not now < destination.recheck_at <= available_at + RECHECK_ADVANCE_MIN_MS:
            destination.recheck_at = max(available_at, now) + 1
            self._context.timers.schedule(destination.recheck_at, self._queue.activate, destination)

    def _message_for_trial(
        self, destination: Destination, endpoint: Endpoint, message: PendingMessage
    ) -> PendingMessage:
        """Prefer a message that may be repeated for a trial call, because a failed trial may have been executed."""
        now, retries = self._context.now, self._retries
        if retries.may_repeat(message, now):
            return message
        repeatable = [
            entry
            for entry in destination.queue
            if entry.is_current()
            and entry.message.zone in (None, endpoint.zone)
            and retries.may_repeat(entry.message, now)
            and not retries.is_undeliverable(entry.message)
        ]
        return min(repeatable).message if repeatable else message

    def _send(self, message: PendingMessage, endpoint: Endpoint) -> None:
        now, route = self._context.now, endpoint.route
        call = endpoint.latest_call
        if call is None or not self._choice.can_join(endpoint):
            call = self._open_call(message, endpoint)
        for health in endpoint.health_records:
            if health.state is WARMING:
                health.tokens -= JOINED_MESSAGE_TOKENS if call.size else 1.0
            elif health.state is FAILING and not call.size:
                self._health.trial_sent(endpoint, health)
        call.size += 1
        call.open_attempts += 1
        call.classes[message.cls] = True
        self._queue.remove(message)
        attempt = message.attempt = AttemptInFlight(message, call, message.attempts)
        self._limits.attempts[message.id, message.attempts] = attempt
        message.attempts += 1
        message.last_endpoint = endpoint
        time_left = message.expires - now
        restart_timeout = route.restart_timeout_ms * self._latencies.class_ratio(message.cls)
        if self._context.settings.may_cancel and restart_timeout < time_left:
            self._context.timers.schedule(now + restart_timeout, self._restarts.timeout_expired, attempt)
        self._context.actions.append(Attempt(message.id, endpoint.number, time_left, call.fresh))

    def _open_call(self, message: PendingMessage, endpoint: Endpoint) -> Call:
        context, route = self._context, endpoint.route
        unsafe = context.settings.classes[message.cls].effect == Effect.UNSAFE
        fresh = unsafe and self._pools.is_too_old(endpoint, True)
        idle_ms = 0.0 if fresh else self._pools.take(endpoint)
        call = endpoint.latest_call = Call(endpoint, context.now, context.step_number, idle_ms, fresh)
        call.in_outage = route.health.state is FAILING
        self._limits.call_opened(call)
        route.rate_share.spend()
        context.timers.schedule(context.now + self._overdue_after(message, endpoint), self._outcomes.call_overdue, call)
        return call

    def _overdue_after(self, message: PendingMessage, endpoint: Endpoint) -> float:
        route, latencies = endpoint.route, self._latencies
        ratio = max(1.0, latencies.class_ratio(message.cls))
        overdue_ms = OVERDUE_MULTIPLE * max(route.median, route.recent_latency) * ratio
        overdue_ms = max(overdue_ms, OVERDUE_MULTIPLE * latencies.class_means[message.cls][0])
        return max(OVERDUE_MIN_MS, overdue_ms)
