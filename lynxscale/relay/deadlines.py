"""The loop's clock and all deadlines of the process, in one heap with one event-loop timer. Times are whole µs."""

from __future__ import annotations

import time
from collections.abc import Callable
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Any

MIN_PURGE_ENTRIES = 256  # a smaller heap is not purged: its cancelled entries are skipped when they fall due


class Loop:
    """A clock that is read once per turn of the event loop, and a callback at the end of the turn.

    ``call_later`` is the event loop's function, with the delay in seconds; ``at_end`` is called at the end of each
    turn.
    """

    def __init__(self, call_later: Callable, at_end: Callable[[], None] | None = None) -> None:
        self._call_later, self.at_end = call_later, at_end
        self._now: int | None = None
        self._end_scheduled = False
        self._longest = 0

    def now(self) -> int:
        """The monotonic time in whole µs, which is constant within a turn."""
        if self._now is None:
            self._now = time.monotonic_ns() // 1000
            self.schedule_end()
        return self._now

    def schedule_end(self) -> None:
        """Schedule the end of the current turn. Events added during the end of a turn belong to the next one."""
        if not self._end_scheduled:
            self._end_scheduled = True
            self._call_later(0, self._end)

    def longest(self) -> int:
        """The longest turn since the last call, in µs. No input is read during a turn."""
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
    """A callback due at ``at``; ``callback`` is None once it has been called or cancelled."""

    __slots__ = ("at", "callback", "args")

    def __init__(self, at: int, callback: Callable | None, args: tuple) -> None:
        self.at, self.callback, self.args = at, callback, args


class Deadlines:
    """Calls callbacks when they are due, in order of their time; those of the same time in order of insertion."""

    def __init__(self, loop: Loop, call_later: Callable) -> None:
        self._loop, self._call_later = loop, call_later
        self._heap: list[tuple[int, int, Deadline]] = []
        self._order = count()
        self._timer: Any = None
        self._timer_at = 0
        self._cancelled = 0  # cancelled entries that are still in the heap

    def __len__(self) -> int:
        return len(self._heap) - self._cancelled

    def now(self) -> int:
        """The time on the loop's clock."""
        return self._loop.now()

    def at(self, when: int, callback: Callable, *args: Any) -> Deadline:
        """Call at time ``when`` on the loop's clock, or as soon as possible if it has passed."""
        entry = Deadline(when, callback, args)
        heappush(self._heap, (when, next(self._order), entry))
        self._arm()
        return entry

    def after(self, delay: int, callback: Callable, *args: Any) -> Deadline:
        """Call after ``delay`` µs."""
        return self.at(self._loop.now() + delay, callback, *args)

    def cancel(self, entry: Deadline | None) -> None:
        """Cancel a deadline. Does nothing if it is None, has been called or is already cancelled."""
        if entry is None or entry.callback is None:
            return
        entry.callback, entry.args = None, ()
        self._cancelled += 1
        # Most attempts end well before their deadline, so cancelled entries would fill the heap without this purge.
        if len(self._heap) > MIN_PURGE_ENTRIES and self._cancelled * 2 > len(self._heap):
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
