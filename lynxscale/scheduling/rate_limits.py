"""A sender's part of a limit that all senders of the fleet fill together, none of them seeing the others.

Where refused calls use the limit up, a fleet that goes on calling above it gets nothing through. So a sender paces
itself by its even part of the told limit, times a factor that it learns: under one after a refusal, about one where
answers tell that little of the allowance is left, and slowly more where there is plenty, as others then send less.
Times are milliseconds, limits calls a second. No I/O, no clock, no randomness.
"""

from __future__ import annotations

import math

INF = math.inf
REFUSED, LEAST = 0.6, 0.3  # of the factor, at a refusal: what others send is then too much already; the least
MEMORY_MS = 6000.0  # in which a cut factor comes back: what was too much then is not for ever
AIM, GAIN, GAIN_ABOVE = 0.4, 0.6, 0.3  # the allowance left is held here, so gently: reports are old, more would swing
PLENTY, BOOST, BOOST_MOST = 0.75, 0.07, 6.0  # with so much left a sender may go beyond its part, more each second
HEARD_MOST_MS = 2000.0  # one answer tells of so much time before it at most
TIGHT = 1.2  # factor up to which the limit is felt
BURST_MS = 700.0  # of the pace may go at once, one call at least


class Share:
    """The pace at which one sender may call what has one limit. Without a told limit it bounds nothing."""

    def __init__(self, senders: int, now: float) -> None:
        self.part = 1 / max(1, senders) / 1000
        self.limit, self.cut, self.level, self.boost, self.tokens = 0.0, 1.0, 1.0, 1.0, 1.0
        self.at = self.cut_at = self.refused_at = self.heard_at = now

    @property
    def factor(self) -> float:
        return self.cut * self.level * self.boost

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
        self.cut += (1 - self.cut) * min(1.0, (now - self.cut_at) / MEMORY_MS)
        self.cut_at = now
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
        since, self.heard_at = min(HEARD_MOST_MS, now - self.heard_at), now
        left = 1.0 if left is None else left
        self.level = 1 + (GAIN if left < AIM else GAIN_ABOVE) * (left - AIM)
        if left >= PLENTY:
            self.boost = min(BOOST_MOST, self.boost * (1 + BOOST * since / 1000))
        elif left < AIM:
            self.boost = 1 + (self.boost - 1) / 2

    def refused(self, now: float, sent: float, later: float) -> None:
        """A call sent then was refused; ``later``, from 0 to 1, spreads the senders' next ones."""
        if sent >= self.refused_at:  # a volley is one refusal
            self.cut, self.cut_at, self.refused_at = max(LEAST, self.cut * REFUSED), now, now
            self.boost, self.level = 1 + (self.boost - 1) / 4, min(1.0, self.level)
        self.tokens = min(self.tokens, -later)
        self.at = now
