"""A sender's part of a limit that all senders of the fleet fill together, none of them seeing the others.

Where refused calls use the limit up, a fleet that goes on calling above it gets nothing through. So a sender paces
itself by its even part of the told limit, times a factor that it learns: down on a refusal, up where answers tell of
allowance left. Times are milliseconds, limits calls a second. No I/O, no clock, no randomness.
"""

from __future__ import annotations

import math

INF = math.inf
START, LEAST = 1.5, 0.3  # factor of the even part: at first, and the least
REFUSED = 0.6  # of the factor, at a refusal: what others send is then too much already
AIM, GAIN, AMPLE = 0.4, 0.6, 4.0  # of the allowance left, held here by such a gain; factor with all of it left
GROWTH = 0.35  # of the factor, a second of ample allowance, towards what the allowance left allows
MEMORY_MS = 4000.0  # in which a factor under one comes back: what was too much then is not for ever
TIGHT = 1.2  # factor up to which the limit is felt
BURST_MS = 700.0  # of the pace may go at once, one call at least


class Share:
    """The pace at which one sender may call what has one limit. Without a told limit it bounds nothing."""

    def __init__(self, senders: int, now: float) -> None:
        self.part = 1 / max(1, senders) / 1000
        self.limit, self.factor, self.tokens = 0.0, START, 1.0
        self.at = self.factor_at = self.refused_at = self.heard_at = now

    def pace(self) -> float:  # calls a millisecond
        return self.limit * self.part * self.factor

    @property
    def tight(self) -> bool:
        """Has the limit been felt of late? What is sent then is missed by others."""
        return self.limit > 0 and self.factor <= TIGHT

    def takes(self, span: float) -> float:  # so many calls in that time
        return self.pace() * span if self.limit > 0 else INF

    def told(self, limit: float) -> None:
        """The limit of now, 0 where none is told."""
        self.limit = limit

    def opens(self, now: float) -> float:
        """When a call may go: 0 for now."""
        if self.limit <= 0:
            return 0.0
        if self.factor < 1:
            self.factor += (1 - self.factor) * min(1.0, (now - self.factor_at) / MEMORY_MS)
        self.factor_at = now
        pace = self.pace()
        self.tokens = min(max(1.0, pace * BURST_MS), self.tokens + pace * (now - self.at))
        self.at = now
        return 0.0 if self.tokens >= 1 - 1e-6 else now + (1 - self.tokens) / pace

    def spend(self, calls: float = 1.0) -> None:
        """A call goes, or comes back as it never got there."""
        self.tokens -= calls

    def answered(self, now: float, sent: float, left: float | None) -> None:
        """A call sent then was taken; ``left``: the share of the allowance that its answer tells."""
        if sent < self.refused_at:
            return
        since, self.heard_at = min(3000.0, now - self.heard_at), now
        above = 1.0 if left is None else (left - AIM) / (1 - AIM)
        due = 1 + GAIN * (left - AIM) if above < 0 else 1 + (AMPLE - 1) * above * above
        self.factor = min(due, self.factor * (1 + GROWTH * since / 1000))

    def refused(self, now: float, sent: float, later: float) -> None:
        """A call sent then was refused; ``later``, from 0 to 1, spreads the senders' next ones."""
        if sent >= self.refused_at:  # a volley is one refusal
            self.factor, self.refused_at = max(LEAST, min(1.0, self.factor) * REFUSED), now
        self.tokens = min(self.tokens, -later)
        self.at = now
