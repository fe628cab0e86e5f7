"""Restart timing, shared by the relay and the serving tier.

After A. van Moorsel and K. Wolter, "Analysis of restart mechanisms in software systems" (IEEE TSE 32(8), 2006): an
attempt that has run for the restart timeout τ is cancelled and started again, where τ minimises the expected time to
completion over a sample of recent attempts. Times are milliseconds.
"""

from __future__ import annotations

from collections import deque

INF = float("inf")
SAMPLE_SIZE = 100  # attempts: enough for a 95th percentile, and cheap to sort often
SAMPLE_AGE_MS = 60_000.0  # older attempts are poor evidence of the present latency
MIN_FINISHED = 20  # finished attempts required for a restart timeout
RECOMPUTE_EVERY = 8  # attempts between two computations of the timeout, to save CPU time


def best_timeout(sample: list[float], cost: float) -> float:
    """Return the restart timeout τ that minimises the expected completion time M1/F + (1-F)/F (τ+c).

    F is the share of attempts that finish within τ, and M1 the sum of their latencies divided by the number of all
    attempts. The candidates for τ are the latencies in the sample.

    Parameters
    ----------
    sample
        Latencies of attempts in ms, INF for unfinished ones.
    cost
        Cost c of a restart in ms.

    Returns
    -------
    float
        τ in ms, not below the median; INF if too few attempts have finished.
    """
    finished = sorted(latency for latency in sample if latency < INF)
    if len(finished) < MIN_FINISHED:
        return INF
    total, best, best_tau = 0.0, INF, INF
    n = len(sample)
    least = finished[(len(finished) - 1) // 2]
    for rank, tau in enumerate(finished, 1):
        total += tau
        share = rank / n
        expected = total / n / share + (1 - share) / share * (tau + cost)
        if tau >= least and expected <= best:
            best, best_tau = expected, tau
    return best_tau


class AttemptSample:
    """The latest attempts at a destination, bounded by number and age, and the restart timeout derived from them."""

    def __init__(self) -> None:
        self.attempts: deque[tuple[float, float]] = deque(maxlen=SAMPLE_SIZE)  # (time of the end, latency or INF)
        self.added = 0
        self.median = 0.0  # ms, 0 if unknown
        self.restart_timeout_ms = INF

    def add(self, now: float, latency: float, cost: float) -> None:
        """Add an attempt; ``latency`` is INF if unfinished, ``cost`` is the cost of a restart in median latencies."""
        self.attempts.append((now, latency))
        self.added += 1
        if self.added % RECOMPUTE_EVERY and self.median:
            return
        while self.attempts[0][0] < now - SAMPLE_AGE_MS:
            self.attempts.popleft()
        latencies = [latency for _, latency in self.attempts]
        finished = sorted(latency for latency in latencies if latency < INF)
        if finished:
            self.median = finished[(len(finished) - 1) // 2]
        self.restart_timeout_ms = best_timeout(latencies, self.median * cost)
