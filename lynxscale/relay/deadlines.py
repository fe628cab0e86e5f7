"""All deadlines of the process in one heap, on one timer of the event loop. Times are whole µs."""

from __future__ import annotations

import time
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Any

PURGE_SIZE = 256  # below this many entries the cancelled ones are left to come up by themselves


class Loop:
    """The clock, read once a turn, and the end of the turn, at which the turn's events are handled.

    ``call_later`` is the event loop's, in seconds; ``at_end`` is called at the end of each turn.
    """

    def __init__(self, call_later: Callable, at_end: Callable[[], None] | None = None) -> None:
        self._call_later, self.at_end = call_later, at_end
        self._now: int | None = None
        self._end_scheduled = False
        self._longest = 0

    def now(self) -> int:
        """Whole µs on the monotonic clock; the same for the rest of this turn."""
        if self._now is None:
            self._now = time.monotonic_ns() // 1000
            self.wake()
        return self._now

    def wake(self) -> None:
        """Let a turn end soon. What is added while one ends is handled at the end of the next."""
        if not self._end_scheduled:
            self._end_scheduled = True
            self._call_later(0, self._end)

    def longest(self) -> int:
        """The longest turn since the last call, in µs: no input was read meanwhile."""
        longest, self._longest = self._longest, 0
        return longest

    def _end(self) -> None:
        self._end_scheduled = False
        try:
            if self.at_end is not None:
                self.at_end()
        finally:
            if self._now is not None:
                self._longest = max(self._longest, time.monotonic_ns() // 1000 - self._now)
            self._now = None


class Deadline:
    """A call that falls due at ``at``; ``callback`` is None once it was made or cancelled."""

    __slots__ = ("at", "callback", "args")

    def __init__(self, at: int, callback: Callable | None, args: tuple) -> None:
        self.at, self.callback, self.args = at, callback, args


class Deadlines:
    """Calls by the time at which they fall due; those of the same time in the order in which they were added."""

    def __init__(self, loop: Loop, call_later: Callable) -> None:
        self._loop, self._call_later = loop, call_later
        self._heap: list[tuple[int, int, Deadline]] = []
        self._order = count()
        self._timer: Any = None
        self._timer_at = 0
        self._cancelled = 0  # entries of the heap

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled

    def now(self) -> int:
        """The loop's clock."""
        return self._loop.now()

    def at(self, when: int, callback: Callable, *args: Any) -> Deadline:
        """Call at that time of the loop's clock, at once where it is past."""
        entry = Deadline(when, callback, args)
        heappush(self._heap, (when, next(self._order), entry))
        self._arm()
        return entry

    def after(self, delay: int, callback: Callable, *args: Any) -> Deadline:
        """Call after so many µs."""
        return self.at(self._loop.now() + delay, callback, *args)

    def cancel(self, entry: Deadline | None) -> None:
        """Nothing where it is None, was made or is cancelled."""
        if entry is None or entry.callback is None:
            return
        entry.callback, entry.args = None, ()
        self._cancelled += 1
        # Guards against a heap of long deadlines that were met long ago: attempts end well before theirs.
        if len(self._heap) > PURGE_SIZE and self._cancelled * 2 > len(self._heap):
            self._heap = [row for row in self._heap if row[2].callback is not None]
            heapify(self._heap)
            self._cancelled = 0

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
                if entry.callback is None:
                    self._cancelled -= 1
                    continue
                callback, args = entry.callback, entry.args
                entry.callback, entry.args = None, ()
                callback(*args)
        finally:
            self._arm()
