"""Order of messages: each destination's queue by present value, and the destinations that have messages queued."""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from typing import TYPE_CHECKING

from lynxscale.scheduling.model import Destination, PendingMessage, QueueEntry

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.latency_estimates import LatencyEstimates
    from lynxscale.scheduling.retry_policy import RetryPolicy

LOW_VALUE_SHARE = 0.7  # of the least class's value: with less a message waits behind all others


class MessageQueue:
    """Queues by value; ``on_hopeless`` is called with messages that need not be queued any more."""

    def __init__(self, context: SchedulerContext, latencies: LatencyEstimates, retries: RetryPolicy) -> None:
        self._context, self._latencies, self._retries = context, latencies, retries
        values = (cls.worth for cls in context.settings.classes)
        self._low_value = LOW_VALUE_SHARE * min(values, default=1.0)
        self.active: dict[int, Destination] = {}  # by number: those to look at, with messages queued
        self.on_undeliverable: Callable[[PendingMessage], None] = lambda message: None

    def activate(self, destination: Destination) -> None:
        """Something has changed there: look at it again."""
        if destination.waiting:
            self.active[destination.number] = destination

    def value(self, message: PendingMessage, at: float) -> float:
        """Value of the message if it were delivered at that time."""
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
        """Queue by present value; what has lost much of it by value for the time of a slot, behind all others."""
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
        """Take the message from its queue, if it is there."""
        if message.queued:
            message.queued = False
            message.version += 1
            message.destination.waiting -= 1

    def head(self, destination: Destination) -> QueueEntry | None:
        """The entry that goes next."""
        queue = destination.queue
        while queue:
            entry = queue[0]
            message = entry.message
            if not entry.is_current():
                heappop(queue)
            elif message.late or self._context.now < message.target_at:
                return entry
            else:
                self.add(message)  # late by now: behind those on time, as these would be late next
        return None

    def entries(self, destination: Destination) -> list[QueueEntry]:
        """All current entries, first the one that goes next."""
        return sorted(entry for entry in destination.queue if entry.is_current())
