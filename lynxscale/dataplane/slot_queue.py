"""Queues of requests that wait for a slot at an endpoint, by priority and then first in, first out."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from itertools import count

from attrs import frozen

from lynxscale.coordination.ports import Clock, Timer

POLL_INTERVAL_S = 0.05  # polling is needed as the end of a cooldown sends no notification


@frozen
class QueuedRequest:
    """An entry of a queue. A lower ``priority`` is served first."""

    priority: int
    sequence_number: int
    on_slot_free: Callable[[], None]


class SlotQueue:
    """One queue per service. ``has_free_slot(service)``: whether an endpoint of the service accepts a request now."""

    def __init__(self, clock: Clock, has_free_slot: Callable[[str], bool]) -> None:
        self._clock = clock
        self._has_free_slot = has_free_slot
        self._next_sequence_number = count().__next__
        self._queues: dict[str, dict[Hashable, QueuedRequest]] = {}
        self._poll_timer: Timer | None = None

    def enqueue(self, service: str, waiter: Hashable, priority: int, on_slot_free: Callable[[], None]) -> None:
        """Add a waiter; ``on_slot_free`` is called once, when a slot of the service may be free."""
        entry = QueuedRequest(priority, self._next_sequence_number(), on_slot_free)
        self._queues.setdefault(service, {})[waiter] = entry
        if self._poll_timer is None:
            self._poll_timer = self._clock.call_later(POLL_INTERVAL_S, self._poll)

    def remove(self, service: str, waiter: Hashable) -> None:
        """Remove a waiter if it is queued."""
        self._queues.get(service, {}).pop(waiter, None)

    def notify(self, service: str) -> None:
        """Serve the queue in the event loop's next iteration, as a slot of the service was released."""
        if self._queues.get(service):
            self._clock.call_later(0.0, lambda: self._serve(service))

    def notify_all(self) -> None:
        """Notify the queues of all services, as the endpoints have changed."""
        for service in self._queues:
            self.notify(service)

    def _poll(self) -> None:
        self._poll_timer = None
        for service in list(self._queues):
            self._serve(service)
        if any(self._queues.values()):
            self._poll_timer = self._clock.call_later(POLL_INTERVAL_S, self._poll)

    def _serve(self, service: str) -> None:
        queue = self._queues.get(service)
        while queue and self._has_free_slot(service):
            waiter = min(queue, key=lambda one: (queue[one].priority, queue[one].sequence_number))
            queue.pop(waiter).on_slot_free()
            if waiter in queue:
                return  # the waiter queued itself again, as no free slot suits it
