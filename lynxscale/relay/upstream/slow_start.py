"""Slow start: a weight is raised in steps, so that a peer is not flooded when its weight triples.

A lower weight takes effect at once. Times are integers in µs, passed in by the caller.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

STEP_COUNT = 20  # steps from the old weight to the new one
MIN_STEP_US = 100_000  # shortest time between two steps


@dataclass(slots=True)
class _WeightIncrease:
    """One endpoint's weight while it rises; ``started`` is in µs."""

    initial: float
    target: float
    started: int
    current: float


class SlowStart:
    """Tracks the weights that are rising. ``duration``: µs from the old to the new weight; 0 disables slow start."""

    def __init__(self, duration: int) -> None:
        self._duration = duration
        self.step_interval = max(MIN_STEP_US, duration // STEP_COUNT)
        self._increases: dict[int, _WeightIncrease] = {}  # rising weights by endpoint

    def __len__(self) -> int:
        return len(self._increases)

    def weight(self, endpoint: int, listed: float) -> float:
        """The weight to use now; ``listed`` is the one in the list."""
        increase = self._increases.get(endpoint)
        return listed if increase is None else increase.current

    def set_target(self, endpoint: int, now: int, before: float, target: float) -> None:
        """Set the listed weight to ``target``; it was ``before``."""
        current = self.weight(endpoint, before)
        if not self._duration or target <= current:
            self._increases.pop(endpoint, None)
        elif endpoint not in self._increases or self._increases[endpoint].target != target:
            self._increases[endpoint] = _WeightIncrease(current, target, now, current)

    def forget(self, endpoint: int) -> None:
        """Drop the state of an endpoint that was removed from the list."""
        self._increases.pop(endpoint, None)

    def step(self, now: int) -> Iterator[int]:
        """Advance all weights to time ``now`` and yield the endpoints that changed."""
        for endpoint, increase in list(self._increases.items()):
            progress = min(1.0, (now - increase.started) / self._duration)
            increase.current = increase.initial + (increase.target - increase.initial) * progress
            if progress == 1.0:
                del self._increases[endpoint]
            yield endpoint
