"""Pauses that peers request by Retry-After, during which nothing is sent to a destination or on a route."""

from __future__ import annotations

from lynxscale.relay.deadlines import Deadlines
from lynxscale.relay.ports import BoardPort


class Backpressure:
    """The pauses in force, by key: a destination's number, or a negative number for a route with its own limit.

    ``board`` shares them with another process of this relay while such a process exists.
    """

    def __init__(self, deadlines: Deadlines) -> None:
        self._deadlines = deadlines
        self.board: BoardPort | None = None
        self._until: dict[int, int] = {}  # end of the pause by key, in µs on the loop's clock

    def wait_ms(self, key: int) -> float:
        """The remaining pause in ms, which holds for every process of this relay; 0 if sending is allowed."""
        until = self._until.get(key, 0)
        if self.board is not None:
            until = max(until, self.board.wait_until(key))
        return max(0.0, (until - self._deadlines.now()) / 1000)

    def received(self, key: int, wait_ms: float) -> None:
        """Record a pause that a peer requested. A longer one that was received earlier stays in force."""
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
