"""Rate limiting: a node's share of a rate limit that all nodes use together without communicating.

If rejected calls count against the limit too, a fleet that keeps calling above the limit gets no call accepted. So a
node limits itself to an even share of the known limit, times a factor that it learns: below one after a rejection,
about one where responses report that little of the allowance is left, and slowly rising where much is left, because
other nodes send less. Times are milliseconds, limits are calls a second. No I/O, no clock, no randomness.
"""

from __future__ import annotations

import math

INF = math.inf
REJECTED_FACTOR, REJECTED_FACTOR_MIN = 0.6, 0.3  # per rejection, as other nodes send too much as well; lower bound
REJECTION_MEMORY_MS = 6000.0  # time in which a reduced factor recovers, as overload is temporary
ALLOWANCE_TARGET = 0.4  # share of the allowance that the controller keeps unused
# Gains of that controller below and above the target. Reports are old, so higher gains would oscillate.
ALLOWANCE_GAIN_BELOW, ALLOWANCE_GAIN_ABOVE = 0.6, 0.3
BOOST_ALLOWANCE_MIN = 0.75  # remaining share of the allowance from which a node may exceed its share
BOOST_PER_S, BOOST_MAX = 0.07, 6.0  # growth per second of the boost factor; its upper bound
ANSWER_SPAN_MAX_MS = 2000.0  # maximum time before a response for which its report counts
LIMITING_FACTOR_MAX = 1.2  # up to this factor the limit counts as restrictive
BURST_MS = 700.0  # capacity of the token bucket in ms of the rate, but one call or more


class RateShare:
    """Token bucket with one node's share of a rate limit. An unknown limit allows any rate."""

    def __init__(self, senders: int, now: float) -> None:
        self._share_per_ms = 1 / max(1, senders) / 1000
        self.limit = 0.0  # calls a second, of all nodes together; 0: unknown
        self.rejection_factor = 1.0
        self.level_factor = 1.0
        self.boost_factor = 1.0
        self.tokens = 1.0  # calls allowed now
        self.tokens_at = now
        self.factor_recovered_at = self.rejected_at = self.answered_at = now

    @property
    def factor(self) -> float:
        """Factor by which this node's rate differs from an even share of the limit."""
        return self.rejection_factor * self.level_factor * self.boost_factor

    def rate_per_ms(self) -> float:
        """Return the calls a millisecond that this node may send."""
        return self.limit * self._share_per_ms * self.factor

    @property
    def is_limiting(self) -> bool:
        """Has the limit been restrictive recently? If so, additional calls reduce what other nodes can send."""
        return self.limit > 0 and self.factor <= LIMITING_FACTOR_MAX

    def calls_in(self, span: float) -> float:
        """Return the calls allowed within ``span`` ms."""
        return self.rate_per_ms() * span if self.limit > 0 else INF

    def set_limit(self, limit: float) -> None:
        """Set the limit, 0 if unknown."""
        self.limit = limit

    def available_at(self, now: float) -> float:
        """Return when a call is allowed, 0 for now. Refills the bucket."""
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
        """Take a token for a call."""
        self.tokens -= 1.0

    def refund(self) -> None:
        """Return the token of a call that never reached the destination."""
        self.tokens += 1.0

    def answered(self, now: float, sent: float, allowance_left: float | None) -> None:
        """Adapt to the served call that was sent at ``sent``.

        ``allowance_left`` is the remaining share of the allowance that the response reports, ``None`` without a report.
        """
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
        """Adapt to the rejected call that was sent at ``sent``; ``jitter`` (0 to 1) spreads the nodes' next calls."""
        if sent >= self.rejected_at:  # simultaneous rejections count once
            self.rejection_factor = max(REJECTED_FACTOR_MIN, self.rejection_factor * REJECTED_FACTOR)
            self.factor_recovered_at = self.rejected_at = now
            self.boost_factor = 1 + (self.boost_factor - 1) / 4
            self.level_factor = min(1.0, self.level_factor)
        self.tokens = min(self.tokens, -jitter)
        self.tokens_at = now
