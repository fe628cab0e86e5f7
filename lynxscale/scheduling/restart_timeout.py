"""Restart timing, shared by the relay and the tier (van Moorsel and Wolter, "Analysis of restart mechanisms")."""

from __future__ import annotations

from collections import deque

INF = float("inf")
SAMPLE_SIZE = 100  # tries kept: enough for a 95th percentile, few enough to sort often
SAMPLE_AGE_MS = 60_000.0  # older tries tell of another day's pace
LEAST_FINISHED = 20  # below this many finished tries the time-out is the time left (design)
RELEARN_EVERY = 8  # new tries between two computations of the time-out, to spare CPU


def best_timeout(sample: list[float], cost: float) -> float:
    """The candidate τ that minimises M1/F + (1-F)/F (τ+c); INF entries are unfinished tries."""
    finished = sorted(x for x in sample if x < INF)
    if len(finished) < LEAST_FINISHED:
        return INF
    n, total, best, tau = len(sample), 0.0, INF, INF
    least = finished[(len(finished) - 1) // 2]
    for k, x in enumerate(finished, 1):
        total += x
        share = k / n
        expected = total / n / share + (1 - share) / share * (x + cost)
        if x >= least and expected <= best:
            best, tau = expected, x
    return tau


class TrySample:
    """A destination's latest tries, bounded and aged, and the restart time ``tau`` that they give (ms)."""

    def __init__(self) -> None:
        self.tries: deque[tuple[float, float]] = deque(maxlen=SAMPLE_SIZE)  # (when, latency or INF)
        self.fresh, self.median, self.tau = 0, 0.0, INF

    def add(self, now: float, latency: float, cost: float) -> None:
        """One try; INF: unfinished. ``cost``: of a restart, in median latencies."""
        self.tries.append((now, latency))
        self.fresh += 1
        if self.fresh % RELEARN_EVERY and self.median:
            return
        while self.tries[0][0] < now - SAMPLE_AGE_MS:
            self.tries.popleft()
        tries = [x for _, x in self.tries]
        finished = sorted(x for x in tries if x < INF)
        if finished:
            self.median = finished[(len(finished) - 1) // 2]
        self.tau = best_timeout(tries, self.median * cost)
