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
        self._rising: dict[int, list] = {}  # endpoint: from, to, begun at, now

    def __len__(self) -> int:
        return len(self._rising)

    def weight(self, endpoint: int, listed: float) -> float:
        """The weight to use now, where the list says ``listed``."""
        rising = self._rising.get(endpoint)
        return listed if rising is None else rising[3]

    def aim(self, endpoint: int, now: int, before: float, target: float) -> None:
        """The list says ``target`` from now on, where it said ``before``."""
        current = self.weight(endpoint, before)
        if not self._over or target <= current:
            self._rising.pop(endpoint, None)
        elif endpoint not in self._rising or self._rising[endpoint][1] != target:
            self._rising[endpoint] = [current, target, now, current]

    def forget(self, endpoint: int) -> None:
        """It has gone."""
        self._rising.pop(endpoint, None)

    def step(self, now: int) -> Iterator[int]:
        """The endpoints whose weight is another one now; those that have arrived rise no more."""
        for endpoint, rising in list(self._rising.items()):
            low, high, begun, _current = rising
            share = min(1.0, (now - begun) / self._over)
            rising[3] = low + (high - low) * share
            if share == 1.0:
                del self._rising[endpoint]
            yield endpoint
