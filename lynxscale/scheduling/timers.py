"""Timer queue: multiplexes any number of scheduled callbacks onto one timer of the caller."""

from __future__ import annotations

import math
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from lynxscale.scheduling.actions import SetTimer

INF = math.inf
CLOCK_ROUNDING_MS = 1.0  # a timer may fire this much early, as the caller may round its clock
TIMER_ID_MASK = 0xFFFFFFFF  # timer ids have 32 bits in the simulator's wire format


class TimerQueue:
    """Callbacks ordered by time; those with equal times run in the order in which they were scheduled."""

    def __init__(self, next_number: Callable[[], int]) -> None:
        self._next_number = next_number
        self._heap: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self._armed_at = INF  # time of the earliest timer requested from the caller and not fired yet

    def schedule(self, at: float, callback: Callable[[Any], None], argument: object) -> None:
        """Call ``callback(subject)`` in the first step at or after ``at`` (ms)."""
        heappush(self._heap, (at, self._next_number(), callback, argument))

    def fired(self, now: float) -> None:
        """Note that the caller's timer has fired."""
        if self._armed_at <= now + CLOCK_ROUNDING_MS:
            self._armed_at = INF

    def run_due(self, now: float) -> None:
        """Run all callbacks that are due, including due ones that they schedule."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            _, _, callback, argument = heappop(heap)
            callback(argument)

    def next_timer(self) -> SetTimer | None:
        """Return the action that sets an earlier timer, or ``None`` if the current one is early enough."""
        heap = self._heap
        while heap and getattr(heap[0][3], "ended", False):
            heappop(heap)  # the message or call of this callback has ended
        if not heap or heap[0][0] >= self._armed_at:
            return None
        self._armed_at = heap[0][0]
        return SetTimer(self._next_number() & TIMER_ID_MASK, self._armed_at)
