"""Timers of the decisions: any number of callbacks behind the one timer that the caller keeps."""

from __future__ import annotations

import math
from collections.abc import Callable
from heapq import heappop, heappush
from typing import Any

from lynxscale.scheduling.actions import SetTimer

INF = math.inf
CLOCK_ROUNDING_MS = 1.0  # a timer may fire so much early, as the caller's clock may be rounded
TIMER_ID_MASK = 0xFFFFFFFF  # the simulator's wire format has 32 bits for a timer's id


class TimerQueue:
    """Callbacks by time. Equal times run in the order in which they were scheduled."""

    def __init__(self, next_number: Callable[[], int]) -> None:
        self._next_number = next_number
        self._heap: list[tuple[float, int, Callable[[Any], None], Any]] = []
        self._armed_at = INF  # the earliest timer that the caller was asked for

    def schedule(self, at: float, callback: Callable[[Any], None], argument: object) -> None:
        """Call ``callback(subject)`` in the first step at or after ``at`` (ms)."""
        heappush(self._heap, (at, self._next_number(), callback, argument))

    def fired(self, now: float) -> None:
        """Note that the caller's timer has fired."""
        if self._armed_at <= now + CLOCK_ROUNDING_MS:
            self._armed_at = INF

    def run_due(self, now: float) -> None:
        """Run all callbacks that are due, also those that these schedule."""
        heap = self._heap
        while heap and heap[0][0] <= now:
            _, _, callback, argument = heappop(heap)
            callback(argument)

    def next_timer(self) -> SetTimer | None:
        """Ask the caller for an earlier timer, if one is needed."""
        heap = self._heap
        while heap and getattr(heap[0][3], "ended", False):
            heappop(heap)  # its message or call has ended: no need to wake for it
        if not heap or heap[0][0] >= self._armed_at:
            return None
        self._armed_at = heap[0][0]
        return SetTimer(self._next_number() & TIMER_ID_MASK, self._armed_at)
