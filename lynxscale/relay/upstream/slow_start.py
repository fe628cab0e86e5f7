"""Slow start: a higher weight is reached in steps, so that a peer is not flooded when its weight triples.

A lower one is in force at once. Times are whole µs, given by the caller.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

STEP_COUNT = 20  # from the old weight to the new one
MIN_STEP_US = 100_000  # µs


@dataclass(slots=True)
class _WeightRamp:
    """One endpoint's weight on its way; ``started`` in µs."""

    initial: float
    target: float
    started: int
    current: float


class SlowStart:
    """The weights that are rising. ``duration``: µs from the old to the new one; 0 means at once."""

    def __init__(self, duration: int) -> None:
        self._duration = duration
        self.step_interval = max(MIN_STEP_US, duration // STEP_COUNT)
        self._ramps: dict[int, _WeightRamp] = {}  # by endpoint

    def __len__(self) -> int:
        return len(self._ramps)

    def weight(self, endpoint: int, listed: float) -> float:
        """The weight to use now, where the list says ``listed``."""
        ramp = self._ramps.get(endpoint)
        return listed if ramp is None else ramp.current

    def set_target(self, endpoint: int, now: int, before: float, target: float) -> None:
        """The list says ``target`` from now on, where it said ``before``."""
        current = self.weight(endpoint, before)
        if not self._duration or target <= current:
            self._ramps.pop(endpoint, None)
        elif endpoint not in self._ramps or self._ramps[endpoint].target != target:
            self._ramps[endpoint] = _WeightRamp(current, target, now, current)

    def forget(self, endpoint: int) -> None:
        """It has left the list."""
        self._ramps.pop(endpoint, None)

    def step(self, now: int) -> Iterator[int]:
        """The endpoints whose weight has changed; one that has reached its target rises no more."""
        for endpoint, ramp in list(self._ramps.items()):
            progress = min(1.0, (now - ramp.started) / self._duration)
            ramp.current = ramp.initial + (ramp.target - ramp.initial) * progress
            if progress == 1.0:
                del self._ramps[endpoint]
            yield endpoint
