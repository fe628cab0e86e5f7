"""Waits that peers ask for (Retry-After): for so long nothing may be sent to a destination, or on a single route."""

from __future__ import annotations

from lynxscale.relay.deadlines import Deadlines
from lynxscale.relay.ports import BoardPort


class Backpressure:
    """Waits by key: a destination's number, or below 0 a route of its own.

    ``board`` shares them with another process of this relay while there is one.
    """

    def __init__(self, deadlines: Deadlines) -> None:
        self._deadlines = deadlines
        self.board: BoardPort | None = None
        self._until: dict[int, int] = {}  # µs of the loop's clock

    def wait_ms(self, key: int) -> float:
        """For how many ms more nothing may be sent there, by any process of this relay; 0 where something may."""
        until = self._until.get(key, 0)
        if self.board is not None:
            until = max(until, self.board.wait_until(key))
        return max(0.0, (until - self._deadlines.now()) / 1000)

    def received(self, key: int, wait_ms: float) -> None:
        """A peer asked to send nothing there for so long. A longer wait received earlier stays in force."""
        now = self._deadlines.now()
        until = now + int(wait_ms * 1000)
        if until > self._until.get(key, 0):
            self._until[key] = until
            self._deadlines.at(until, self._expire, key, until)
        if self.board is not None:
            self.board.publish_wait(key, until, now)

    def _expire(self, key: int, until: int) -> None:
        if self._until.get(key) == until:
            del self._until[key]
