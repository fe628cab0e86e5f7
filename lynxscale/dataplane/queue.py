"""Requests that wait for a place at an endpoint: the most urgent first, then in the order of arrival."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count

from attrs import frozen

from lynxscale.coordination.ports import Clock, Timer

LOOK_EVERY_S = 0.05  # as an endpoint's rest ends without a word


@frozen
class Waiting:
    """One request. Lower ``priority`` goes first."""

    priority: int
    number: int
    call: Callable[[], None]


class PlaceQueue:
    """Waiters by service; ``has_place`` tells whether an endpoint of a service would take a call now."""

    def __init__(self, clock: Clock, has_place: Callable[[str], bool]) -> None:
        self._clock = clock
        self._has_place = has_place
        self._number = count().__next__
        self._waiting: dict[str, dict[object, Waiting]] = {}
        self._timer: Timer | None = None

    def wait(self, service: str, waiter: object, priority: int, call: Callable[[], None]) -> None:
        """Call once a place of the service may be free."""
        self._waiting.setdefault(service, {})[waiter] = Waiting(priority, self._number(), call)
        if self._timer is None:
            self._timer = self._clock.call_later(LOOK_EVERY_S, self._look)

    def leave(self, service: str, waiter: object) -> None:
        """Wait no more."""
        self._waiting.get(service, {}).pop(waiter, None)

    def released(self, service: str) -> None:
        """A call has ended there: those that wait may try, in the loop's next turn."""
        if self._waiting.get(service):
            self._clock.call_later(0.0, lambda: self._wake(service))

    def wake_all(self) -> None:
        """The endpoints have changed."""
        for service in self._waiting:
            self.released(service)

    def _look(self) -> None:
        self._timer = None
        for service in list(self._waiting):
            self._wake(service)
        if any(self._waiting.values()):
            self._timer = self._clock.call_later(LOOK_EVERY_S, self._look)

    def _wake(self, service: str) -> None:
        waiting = self._waiting.get(service)
        while waiting and self._has_place(service):
            waiter = min(waiting, key=lambda one: (waiting[one].priority, waiting[one].number))
            waiting.pop(waiter).call()
            if waiter in waiting:
                return  # it found no place that it may take
