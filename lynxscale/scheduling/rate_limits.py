"""A node's share of a rate limit that all nodes of the fleet fill together, without seeing each other.

Where rejected calls use up the limit too, a fleet that keeps calling above it gets nothing through. So a node paces
itself by its even share of the known limit, times a factor that it learns: below one after a rejection, about one
where answers say that little of the allowance is left, and slowly more where there is plenty, as others send less.
Times are milliseconds, limits calls a second. No I/O, no clock, no randomness.
"""

from __future__ import annotations

import math

INF = math.inf
REJECTED_FACTOR, REJECTED_FACTOR_MIN = 0.6, 0.3  # for each rejection, as what others send is too much then; at least
REJECTION_MEMORY_MS = 6000.0  # within which a reduced factor recovers: what was too much is not for ever
ALLOWANCE_TARGET = 0.4  # share of the allowance that is left unused
ALLOWANCE_GAIN_BELOW, ALLOWANCE_GAIN_ABOVE = (
    0.6,
    0.3,
)  # of the controller that keeps it there; reports are old, more would oscillate
BOOST_ALLOWANCE_MIN = 0.75  # with so much left a node may exceed its share
BOOST_PER_S, BOOST_MAX = 0.07, 6.0  # by so much more each second, and so many times at most
ANSWER_SPAN_MAX_MS = 2000.0  # one answer counts for so much time before it at most
LIMITING_FACTOR_MAX = 1.2  # up to this factor the limit is felt
BURST_MS = 700.0  # of the pace that may go at once, one call at least


class RateShare:
    """The pace at which one node may call what has one limit. While the limit is unknown there is no bound."""

    def __init__(self, senders: int, now: float) -> None:
        self._share_per_ms = 1 / max(1, senders) / 1000
        self.limit = 0.0  # calls a second of all nodes; 0: unknown
        self.rejection_factor = 1.0
        self.level_factor = 1.0
        self.boost_factor = 1.0
        self.tokens = 1.0  # calls that may go now
        self.tokens_at = now
        self.factor_recovered_at = self.rejected_at = self.answered_at = now

    @property
    def factor(self) -> float:
        """What the even share is multiplied by."""
        return self.rejection_factor * self.level_factor * self.boost_factor

    def rate_per_ms(self) -> float:
        """Calls a millisecond that this node may send."""
        return self.limit * self._share_per_ms * self.factor

    @property
    def is_limiting(self) -> bool:
        """Has the limit been felt recently? What is sent then is missed by others."""
        return self.limit > 0 and self.factor <= LIMITING_FACTOR_MAX

    def calls_in(self, span: float) -> float:
        """Calls that may go within so many ms."""
        return self.rate_per_ms() * span if self.limit > 0 else INF

    def set_limit(self, limit: float) -> None:
        """The present limit, 0 if unknown."""
        self.limit = limit

    def available_at(self, now: float) -> float:
        """When a call may go: 0 for now."""
        if self.limit <= 0:
            return 0.0
        recovered = min(1.0, (now - self.factor_recovered_at) / REJECTION_MEMORY_MS)
        self.rejection_factor += (1 - self.rejection_factor) * recovered
        self.factor_recovered_at = now
        rate_per_ms = self.rate_per_ms()
        self.tokens = min(max(1.0, rate_per_ms * BURST_MS), self.tokens + rate_per_ms * (now - self.tokens_at))
        self.tokens_at = now
        return 0.0 if self.tokens >= 1 - 1e-6 else now + (1 - self.tokens) / rate_per_ms

    def spend(self) -> None:
        """A call is sent."""
        self.tokens -= 1.0

    def refund(self) -> None:
        """A call never reached the destination."""
        self.tokens += 1.0

    def answered(self, now: float, sent: float, allowance_left: float | None) -> None:
        """A call sent at that time was served; ``left``: the share of the allowance left that its answer reports."""
        if sent < self.rejected_at:
            return
        since, self.answered_at = min(ANSWER_SPAN_MAX_MS, now - self.answered_at), now
        allowance_left = 1.0 if allowance_left is None else allowance_left
        gain = ALLOWANCE_GAIN_BELOW if allowance_left < ALLOWANCE_TARGET else ALLOWANCE_GAIN_ABOVE
        self.level_factor = 1 + gain * (allowance_left - ALLOWANCE_TARGET)
        if allowance_left >= BOOST_ALLOWANCE_MIN:
            self.boost_factor = min(BOOST_MAX, self.boost_factor * (1 + BOOST_PER_S * since / 1000))
        elif allowance_left < ALLOWANCE_TARGET:
            self.boost_factor = 1 + (self.boost_factor - 1) / 2

    def rejected(self, now: float, sent: float, jitter: float) -> None:
        """A call sent at that time was rejected; ``jitter``, from 0 to 1, spreads the nodes' next ones."""
        if sent >= self.rejected_at:  # a volley is one rejection
            self.rejection_factor = max(REJECTED_FACTOR_MIN, self.rejection_factor * REJECTED_FACTOR)
            self.factor_recovered_at = self.rejected_at = now
            self.boost_factor = 1 + (self.boost_factor - 1) / 4
            self.level_factor = min(1.0, self.level_factor)
        self.tokens = min(self.tokens, -jitter)
        self.tokens_at = now
