"""Weights on their way: a higher one is reached in steps, so that a partner is not flooded when its share triples.

A lower one holds at once. Times are whole µs, given by the caller.
"""

from __future__ import annotations

from collections.abc import Iterator

STEPS = 20  # of a whole way
LEAST_STEP = 100_000  # µs


class Ramps:
    """The weights that are rising. ``over``: µs from the old to the new one; 0 means at once."""

    def __init__(self, over: int) -> None:
        self._over = over
        self.every = max(LEAST_STEP, over // STEPS)
        self._rising: dict[int, tuple[float, float, int]] = {}  # endpoint: from, to, begun at

    def __len__(self) -> int:
        return len(self._rising)

    def aim(self, endpoint: int, now: int, current: float | None, target: float) -> float:
        """The weight to use now for an endpoint that has ``current`` (None: it is new) and should have ``target``."""
        if current is None or not self._over or target <= current:
            self._rising.pop(endpoint, None)
            return target
        rising = self._rising.get(endpoint)
        if rising is None or rising[1] != target:
            self._rising[endpoint] = (current, target, now)
        return current

    def forget(self, endpoint: int) -> None:
        """It has gone."""
        self._rising.pop(endpoint, None)

    def step(self, now: int) -> Iterator[tuple[int, float]]:
        """The weights that are due now, each endpoint's; those that have arrived rise no more."""
        for endpoint, (low, high, begun) in list(self._rising.items()):
            share = min(1.0, (now - begun) / self._over)
            if share == 1.0:
                del self._rising[endpoint]
            yield endpoint, low + (high - low) * share
