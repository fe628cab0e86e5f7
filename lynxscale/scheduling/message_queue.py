"""Message queues: each destination's messages by present value, and the destinations that have messages queued."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import TYPE_CHECKING

from lynxscale.scheduling.model import Destination, PendingMessage, QueueEntry

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.latency_estimates import LatencyEstimates
    from lynxscale.scheduling.retry_policy import RetryPolicy

LOW_VALUE_SHARE = 0.7  # messages below this share of the least valuable class's value are sent after all others


class MessageQueue:
    """Queues messages by value; ``on_undeliverable`` is called with messages that can't be delivered any more."""

    def __init__(self, context: SchedulerContext, latencies: LatencyEstimates, retries: RetryPolicy) -> None:
        self._context, self._latencies, self._retries = context, latencies, retries
        values = (cls.worth for cls in context.settings.classes)
        self._low_value = LOW_VALUE_SHARE * min(values, default=1.0)
        # Destinations with queued messages that the next dispatch considers, by number.
        self.active: dict[int, Destination] = {}
        self.on_undeliverable: Callable[[PendingMessage], None] = lambda message: None

    def activate(self, destination: Destination) -> None:
        """Consider the destination in the next dispatch, if it has messages queued."""
        if destination.waiting:
            self.active[destination.number] = destination

    def value(self, message: PendingMessage, at: float) -> float:
        """Return the value of the message if it is delivered at the time ``at``."""
        settings = self._context.settings
        cls = settings.classes[message.cls]
        share = settings.over_share_worth if message.over_quota and settings.over_share_worth is not None else 1.0
        late_by = at - message.target_at
        if late_by > 0 and settings.late_halves:
            share *= max(cls.late_worth, 0.5 ** (late_by / max(1.0, cls.aim_ms)))
        elif late_by > 0:
            decay_ms = max(1.0, message.expires - message.target_at)
            share *= 1 - (1 - cls.late_worth) * min(1.0, late_by / decay_ms)
        return cls.worth * share

    def add(self, message: PendingMessage) -> None:
        """Queue a message by its present value; low-value ones follow all others, ordered by value per slot time."""
        if self._retries.is_undeliverable(message):
            self.on_undeliverable(message)
            return
        now = self._context.now
        typical_ms = max(1.0, self._latencies.typical_latency(message))
        value = self.value(message, now + typical_ms)
        message.late = now + typical_ms > message.target_at
        if value >= self._low_value:
            tier, rank, order = 0, (-value, message.target_at), message.sequence
        else:
            newest_first = self._context.settings.late_halves
            tier, rank = 1, (-value / typical_ms, 0.0)
            order = -message.sequence if newest_first else message.sequence
        message.version += 1
        destination = message.destination
        if not message.queued:
            message.queued = True
            destination.waiting += 1
        heappush(destination.queue, QueueEntry(tier, rank, order, message.version, message))
        self.active[destination.number] = destination

    def remove(self, message: PendingMessage) -> None:
        """Remove the message from its queue, if it is queued."""
        if message.queued:
            message.queued = False
            message.version += 1
            message.destination.waiting -= 1

    def head(self, destination: Destination) -> QueueEntry | None:
        """Return the entry that is sent next, ``None`` if there is none."""
        queue = destination.queue
        while queue:
            entry = queue[0]
            message = entry.message
            if not entry.is_current():
                heappop(queue)
            elif message.late or self._context.now < message.target_at:
                return entry
            else:
                self.add(message)  # late by now: queued behind those on time, which would otherwise become late too
        return None

    def entries(self, destination: Destination) -> list[QueueEntry]:
        """Return all current entries, in the order in which they are sent."""
        return sorted(entry for entry in destination.queue if entry.is_current())
