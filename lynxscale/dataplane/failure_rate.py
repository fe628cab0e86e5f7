"""The share of an endpoint's recent attempts that failed, for outlier ejection."""

from __future__ import annotations

from lynxscale.coordination.ports import Clock

NEWEST_WEIGHT = 0.2  # weight of the newest attempt in the moving average
HALF_LIFE_S = 3.0


class FailureRate:
    """An exponentially weighted moving average that also decays over time, so that ejected endpoints return."""

    __slots__ = ("_clock", "_rate", "_updated_at")

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._rate = 0.0
        self._updated_at = clock.now()

    @property
    def current(self) -> float:
        """The rate now, from 0 to 1."""
        age = self._clock.now() - self._updated_at
        return self._rate * 0.5 ** (age / HALF_LIFE_S)

    def observe(self, severity: float) -> None:
        """Add an attempt with a severity from 0 (success) to 1 (failure)."""
        current = self.current
        self._rate = current + (severity - current) * NEWEST_WEIGHT
        self._updated_at = self._clock.now()
