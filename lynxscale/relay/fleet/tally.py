"""The traffic that a relay reports from time to time, so that it can be summed over a fleet. No I/O, no clock.

One line for each destination that had traffic, ``traffic``, and one of the relay itself, ``load``. Bounded: the
busiest destinations have a line of their own, all others share one. Names of counts are those of the log.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

MAX_DESTINATIONS = 32  # with a line of their own in one interval
OTHERS = "others"
DELTAS = {  # of the counters, reported as what was added since the last line
    ("connections", "peer_opened"): "dials",
    ("connections", "client_opened"): "clients",
    ("group", "asked"): "lists_asked",
    ("group", "answers"): "lists_told",
    ("group", "failed"): "lists_failed",
}


@dataclass(slots=True)
class _Row:
    """One destination since the last report."""

    counts: Counter[str] = field(default_factory=Counter)
    limit: float = 0.0  # as the last response reported it, calls a second; 0: none
    left: float = 1.0  # the least share of the allowance that a response reported


class Tally:
    """Counts by destination since the last ``lines``."""

    def __init__(self, now: int) -> None:
        self._rows: dict[int, _Row] = {}
        self._since = now  # µs
        self._reported: dict[tuple[str, str], int] = {}

    def add(self, destination: int, what: str) -> None:
        """Count one more."""
        row = self._rows.get(destination)
        if row is None:
            row = self._rows[destination] = _Row()
        row.counts[what] += 1

    def report(self, destination: int, left: float, limit: float) -> None:
        """What a response reported of the allowance: the share that is left, and the limit in calls a second."""
        row = self._rows.get(destination)
        if row is None:
            row = self._rows[destination] = _Row()
        row.limit, row.left = limit, min(row.left, left)

    def lines(self, now: int, counters: Mapping[str, Mapping[str, int]], load: Mapping[str, int]) -> list[tuple]:
        """Events and their fields, for the log; times in µs. An interval without traffic has no line."""
        span, self._since = (now - self._since) // 1000, now
        rows, self._rows = self._rows, {}
        busiest = sorted(rows, key=lambda number: -rows[number].counts.total())
        found: list[tuple[str, dict[str, Any]]] = []
        for number in busiest[:MAX_DESTINATIONS]:
            row = rows[number]
            allowance = {"limit": round(row.limit, 3), "left": round(row.left, 3)} if row.limit > 0 else {}
            found.append(("traffic", {"dest": number, "span_ms": span} | allowance | dict(row.counts)))
        others: Counter[str] = sum((rows[number].counts for number in busiest[MAX_DESTINATIONS:]), Counter())
        if others:
            found.append(("traffic", {"dest": OTHERS, "span_ms": span} | dict(others)))
        delta = self._deltas(counters)
        if found or delta:
            found.append(("load", {"span_ms": span} | dict(load) | delta))
        return found

    def _deltas(self, counters: Mapping[str, Mapping[str, int]]) -> dict[str, int]:
        found = {}
        for (group, reason), name in DELTAS.items():
            value = counters.get(group, {}).get(reason, 0)
            if added := value - self._reported.get((group, reason), 0):
                found[name] = added
            self._reported[group, reason] = value
        return found
