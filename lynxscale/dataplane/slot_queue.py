"""Requests that wait for a slot at an endpoint: by priority, then first in, first out."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from itertools import count

from attrs import frozen

from lynxscale.coordination.ports import Clock, Timer

POLL_INTERVAL_S = 0.05  # as an endpoint's cooldown ends without a notification


@frozen
class QueuedRequest:
    """One entry. A lower ``priority`` is served first."""

    priority: int
    sequence_number: int
    on_slot_free: Callable[[], None]


class SlotQueue:
    """Queues by service; ``has_free_slot(service)``: would an endpoint of the service take a request now?"""

    def __init__(self, clock: Clock, has_free_slot: Callable[[str], bool]) -> None:
        self._clock = clock
        self._has_free_slot = has_free_slot
        self._next_sequence_number = count().__next__
        self._queues: dict[str, dict[Hashable, QueuedRequest]] = {}
        self._poll_timer: Timer | None = None

    def enqueue(self, service: str, waiter: Hashable, priority: int, on_slot_free: Callable[[], None]) -> None:
        """Call ``on_slot_free`` once, when a slot of the service may be free."""
        entry = QueuedRequest(priority, self._next_sequence_number(), on_slot_free)
        self._queues.setdefault(service, {})[waiter] = entry
        if self._poll_timer is None:
            self._poll_timer = self._clock.call_later(POLL_INTERVAL_S, self._poll)

    def remove(self, service: str, waiter: Hashable) -> None:
        """Take a waiter out; nothing happens where it is not queued."""
        self._queues.get(service, {}).pop(waiter, None)

    def notify(self, service: str) -> None:
        """A slot of the service was released: the queue is served in the event loop's next iteration."""
        if self._queues.get(service):
            self._clock.call_later(0.0, lambda: self._serve(service))

    def notify_all(self) -> None:
        """The endpoints have changed."""
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
                return  # it queued itself again: no free slot suits it
