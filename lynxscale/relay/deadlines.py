"""All deadlines of the process in one ordered structure, on one timer of the loop."""

from __future__ import annotations

import time
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Any

LEAST_PURGE = 256  # below this many entries the dead ones are left to come up by themselves


class Loop:
    """The clock, read once a turn, and the end of the turn, at which gathered events are handled."""

    def __init__(self, call_later: Callable, at_end: Callable[[], None] | None = None) -> None:
        self._call_later, self.at_end = call_later, at_end
        self._now: int | None = None
        self._planned = False
        self._longest = 0

    def now(self) -> int:
        """Whole microseconds on the monotonic clock; the same for the rest of this turn."""
        if self._now is None:
            self._now = time.monotonic_ns() // 1000
            self.wake()
        return self._now

    def wake(self) -> None:
        """Let a turn end soon. What is gathered while one ends is handled at the end of the next."""
        if not self._planned:
            self._planned = True
            self._call_later(0, self._end)

    def longest(self) -> int:
        """The longest turn since the last call, in µs: nobody was heard meanwhile."""
        longest, self._longest = self._longest, 0
        return longest

    def _end(self) -> None:
        self._planned = False
        try:
            if self.at_end is not None:
                self.at_end()
        finally:
            if self._now is not None:
                self._longest = max(self._longest, time.monotonic_ns() // 1000 - self._now)
            self._now = None


class Deadline:
    __slots__ = ("at", "act", "args")

    def __init__(self, at: int, act: Callable | None, args: tuple) -> None:
        self.at, self.act, self.args = at, act, args


class Deadlines:
    def __init__(self, loop: Loop, call_later: Callable) -> None:
        self._loop, self._call_later = loop, call_later
        self._heap: list[tuple[int, int, Deadline]] = []
        self._order = count()
        self._timer: Any = None
        self._timer_at = 0
        self._dead = 0

    def __len__(self) -> int:
        return len(self._heap) - self._dead

    def now(self) -> int:
        return self._loop.now()

    def at(self, when: int, act: Callable, *args: Any) -> Deadline:
        entry = Deadline(when, act, args)
        heappush(self._heap, (when, next(self._order), entry))
        self._arm()
        return entry

    def after(self, micros: int, act: Callable, *args: Any) -> Deadline:
        return self.at(self._loop.now() + micros, act, *args)

    def cancel(self, entry: Deadline | None) -> None:
        if entry is None or entry.act is None:
            return
        entry.act, entry.args = None, ()
        self._dead += 1
        # Guards against a heap of long deadlines that were met long ago: tries end well before theirs.
        if len(self._heap) > LEAST_PURGE and self._dead * 2 > len(self._heap):
            self._heap = [row for row in self._heap if row[2].act is not None]
            heapify(self._heap)
            self._dead = 0

    def _arm(self) -> None:
        if not self._heap:
            return
        first = self._heap[0][0]
        if self._timer is not None:
            if self._timer_at <= first:
                return
            self._timer.cancel()
        self._timer_at = first
        self._timer = self._call_later(max(0, first - self._loop.now()) / 1e6, self._fire)

    def _fire(self) -> None:
        self._timer = None
        now = self._loop.now()
        try:
            while self._heap and self._heap[0][0] <= now:
                entry = heappop(self._heap)[2]
                if entry.act is None:
                    self._dead -= 1
                    continue
                act, args = entry.act, entry.args
                entry.act, entry.args = None, ()
                act(*args)
        finally:
            self._arm()
