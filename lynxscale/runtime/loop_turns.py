"""Divides the event loop among connections: no turn of the loop does more than a bounded amount of work for them.

Work is counted in units, as its cost depends on the machine. A connection that has more to do than its slice, or finds
the turn's work spent, waits for a later turn; heartbeats, timers and other listeners run in between. A connection that
has used up a slice waits behind those that have not, so that a single request is served amid many long ones.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable

from lynxscale.coordination.ports import Clock

EVENT_UNITS = 1  # parsing one event of a request, such as a chunk of its body
REQUEST_UNITS = 16  # handling a request
BODY_BYTES_PER_UNIT = 4096
TURN_UNITS = 512
SLICE_UNITS = 64  # of one connection in one turn


class LoopTurns:
    """The work of the connections of one listener. ``turn_units``: its limit in one turn, unlimited by default."""

    def __init__(self, turn_units: float = float("inf")) -> None:
        self._turn_units = turn_units
        self._spent = 0
        self._first: deque[Callable[[], None]] = deque()  # those that have not used up a slice
        self._rest: deque[Callable[[], None]] = deque()
        self._scheduled = False
        self._running = False

    @property
    def available(self) -> bool:
        """Whether a connection may work now, rather than ``wait``."""
        return self._spent < self._turn_units and (self._running or not self._scheduled)

    def spend(self, units: int) -> None:
        """Count work that was done in this turn."""
        self._spent += units

    def wait(self, clock: Clock, run: Callable[[], None], slice_used: bool) -> None:
        """Call ``run()`` once in a later turn. ``slice_used``: whether the connection has used up a slice already."""
        (self._rest if slice_used else self._first).append(run)
        self._schedule(clock)

    def _schedule(self, clock: Clock) -> None:
        if not self._scheduled:
            self._scheduled = True
            clock.call_later(0.0, lambda: self._run_turn(clock))

    def _run_turn(self, clock: Clock) -> None:
        self._scheduled, self._running, self._spent = False, True, 0
        try:
            self._run_waiting(self._first)
            if self._rest:
                self._rest.popleft()()  # even where the others have spent the turn
            self._run_waiting(self._rest)
        finally:
            self._running = False
        if self._first or self._rest:
            self._schedule(clock)

    def _run_waiting(self, waiting: deque[Callable[[], None]]) -> None:
        """Run those that wait now, until the turn's work is spent."""
        for _ in range(len(waiting)):
            if self._spent >= self._turn_units:
                return
            waiting.popleft()()
