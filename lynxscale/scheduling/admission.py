"""Admission: accepts messages, applies tenants' quotas, sheds load and gives messages their final answer."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lynxscale.scheduling.actions import Fail, Refuse
from lynxscale.scheduling.events import Message
from lynxscale.scheduling.model import Destination, PendingMessage

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.key_sequencing import KeySequencer
    from lynxscale.scheduling.message_queue import MessageQueue
    from lynxscale.scheduling.model import QueueEntry
    from lynxscale.scheduling.retry_policy import RetryPolicy
    from lynxscale.scheduling.routing_table import RoutingTable

INF = math.inf
TENANT_BURST_S = 2.0  # burst allowed to a tenant, in seconds of its quota
QUEUE_MAX_MS = 10_000.0  # messages beyond what the rate limit passes in this time would be delivered too late
# Load shedding starts at the first share of the maximum of pending messages, and ends at the second.
SHED_START_SHARE, SHED_TARGET_SHARE = 0.95, 0.85
SHED_BATCH_DIVISOR = 4  # the longest queue is shed in batches of 1 / SHED_BATCH_DIVISOR of its entries
QUEUE_WEIGHT_BASE_MS = 1000  # a queue's weight is its length times (this + the ms until a route accepts calls)
RETRY_AFTER_MIN_MS = 750.0  # an immediate retry would be too early
STALE_VALUE_SHARE = 0.5  # a message with a failed attempt and a lower share of its on-time value is given up


class Admission:
    """Handles pending messages from their arrival to their final answer."""

    def __init__(
        self,
        context: SchedulerContext,
        retries: RetryPolicy,
        queue: MessageQueue,
        keys: KeySequencer,
        table: RoutingTable,
        pending: dict[int, PendingMessage],
    ) -> None:
        self._context, self._retries, self._queue, self._keys, self._table = context, retries, queue, keys, table
        self.pending = pending  # message id: message
        self._quota_tokens = [INF for _ in context.settings.tenants]
        self._quota_counted_at = [0.0 for _ in context.settings.tenants]
        queue.on_undeliverable = self.give_up

    # Arrival -------------------------------------------------------------------------------------

    def accept(self, event: Message) -> None:
        """Accept a new message, and queue it unless it has to wait for earlier messages with its key."""
        cls = self._context.settings.classes[event.cls]
        destination = self._table.destination(event.destination)
        message = PendingMessage(event, destination, self._context.next_number())
        target_ms = cls.aim_ms + (cls.aim_stretch or 0.0) * (event.work_hint or 0.0)
        message.target_at = event.expires - cls.deadline_ms + min(target_ms, cls.deadline_ms)
        message.over_quota = not self._is_within_quota(event.tenant)
        self.pending[message.id] = message
        self._schedule_give_up(message)
        message.key = message.key if cls.ordered else 0
        if not message.key or self._keys.add(message):
            self._queue.add(message)

    def _is_within_quota(self, tenant: int) -> bool:
        """Count a message against its tenant's quota. Messages above the quota have a low value and are sent last."""
        tenants = self._context.settings.tenants
        quota = tenants[tenant].quota_per_s if tenant < len(tenants) else None
        if not quota:
            return True
        now, rate = self._context.now, quota / self._context.settings.senders
        earned = rate * (now - self._quota_counted_at[tenant]) / 1000
        tokens = min(max(1.0, rate * TENANT_BURST_S), self._quota_tokens[tenant] + earned)
        within = tokens >= 1
        self._quota_tokens[tenant] = tokens - within
        self._quota_counted_at[tenant] = now
        return within

    def _schedule_give_up(self, message: PendingMessage) -> None:
        """Set a timer that gives the message up once it is undeliverable; done anew each time it is queued."""
        self._context.timers.schedule(self._retries.undeliverable_at(message), self.give_up, message)

    def requeue(self, message: PendingMessage) -> None:
        """Queue a message again after an attempt that did not deliver it, or give it up."""
        now = self._context.now
        earliest = now + message.destination.unavailable_for(now)
        in_time = self._queue.value(message, message.target_at)
        stale = self._queue.value(message, earliest) < STALE_VALUE_SHARE * in_time
        attempts_cap = self._context.settings.attempts_cap or INF
        if now >= message.expires or stale or message.attempts >= attempts_cap:
            self.give_up(message)
        else:
            self._schedule_give_up(message)
            self._queue.add(message)

    # End -----------------------------------------------------------------------------------------

    def give_up(self, message: PendingMessage) -> None:
        """End the message without delivery: reject it if the client may safely retry, otherwise fail it."""
        if message.ended or message.attempt is not None:
            return  # the outcome of the attempt in flight decides
        if self._retries.may_be_rejected(message):
            self._context.actions.append(Refuse(message.id, self._retry_after(message)))
        else:
            self._context.actions.append(Fail(message.id))
        self.end(message)

    def _retry_after(self, message: PendingMessage) -> float:
        settings = self._context.settings
        longest = (settings.max_retry_after_ms or 0.0) if settings.may_advise_retry else 0.0
        return min(max(RETRY_AFTER_MIN_MS, message.destination.unavailable_for(self._context.now)), longest)

    def end(self, message: PendingMessage) -> None:
        """Remove a message that has its final answer, and release the next message with its key."""
        self.pending.pop(message.id, None)
        message.ended = True
        self._queue.remove(message)
        if message.key and message.attempt is None:
            self._keys.remove(message)

    def withdrawn(self, message_id: int) -> None:
        """Remove a message that the client has cancelled."""
        message = self.pending.get(message_id)
        if message is not None:
            self.end(message)

    def attempt_ended(self, message: PendingMessage, finished: bool) -> None:
        """Continue after the outcome of an attempt; ``finished``: no further attempt is needed."""
        if message.ended:
            if message.key:
                self._keys.remove(message)
        elif finished:
            self.end(message)
        else:
            self.requeue(message)

    # Load shedding -------------------------------------------------------------------------------

    def shed_load(self) -> None:
        """Give up messages beyond the rate limits and, near the maximum, the least valuable of the longest queues."""
        allowed = self._context.settings.most_held or INF
        target = SHED_TARGET_SHARE * allowed if len(self.pending) >= SHED_START_SHARE * allowed else INF
        for destination in list(self._queue.active.values()):
            if destination.waiting >= 2 and destination.routes:
                self._shed_beyond_rate(destination)
        while len(self.pending) > target:
            entries = self._sheddable(self._longest_queue())
            if not entries:
                return
            for entry in entries[-max(1, len(entries) // SHED_BATCH_DIVISOR) :]:
                self.give_up(entry.message)

    def _shed_beyond_rate(self, destination: Destination) -> None:
        """Give up the messages that the destination's rate limit would delay for too long."""
        capacity = sum(
            max(1.0, route.rate_share.calls_in(QUEUE_MAX_MS)) * route.per_call for route in destination.routes
        )
        if destination.waiting > capacity:
            for entry in self._sheddable(destination, int(capacity)):
                self.give_up(entry.message)

    def _longest_queue(self) -> Destination:
        now = self._context.now
        return max(
            self._table.destinations.values(),
            key=lambda destination: destination.waiting * (QUEUE_WEIGHT_BASE_MS + destination.unavailable_for(now)),
        )

    def _sheddable(self, destination: Destination, skip: int = 0) -> list[QueueEntry]:
        """Return the entries after the first ``skip``, except messages recovered after a restart and not sent yet."""
        return [e for e in self._queue.entries(destination)[skip:] if not e.message.first_attempt_pending]
