"""Traffic that a relay periodically reports in its log, so that it can be summed over a fleet. No I/O, no clock.

There is one ``traffic`` line for each destination with traffic, and one ``load`` line for the relay itself. Their
number is bounded: the busiest destinations have their own line, all others share one. Counts have the names of the log.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

MAX_DESTINATIONS = 32  # with their own line in one interval
OTHERS = "others"
DELTAS = {  # counters reported as their increase since the last line, with the field name
    ("connections", "peer_opened"): "dials",
    ("connections", "client_opened"): "clients",
    ("group", "asked"): "lists_asked",
    ("group", "answers"): "lists_told",
    ("group", "failed"): "lists_failed",
}


@dataclass(slots=True)
class _Row:
    """Counts of one destination since the last report."""

    counts: Counter[str] = field(default_factory=Counter)
    limit: float = 0.0  # calls a second, as last reported by a response; 0 if none was
    left: float = 1.0  # the smallest remaining share of the limit that a response reported


class Tally:
    """Counts by destination since the last call of ``lines``."""

    def __init__(self, now: int) -> None:
        self._rows: dict[int, _Row] = {}
        self._since = now  # µs
        self._reported: dict[tuple[str, str], int] = {}

    def add(self, destination: int, what: str) -> None:
        """Add one to the count ``what`` of a destination."""
        row = self._rows.get(destination)
        if row is None:
            row = self._rows[destination] = _Row()
        row.counts[what] += 1

    def report(self, destination: int, left: float, limit: float) -> None:
        """Record the rate limit that a response reported: the share that is left, and the limit in calls a second."""
        row = self._rows.get(destination)
        if row is None:
            row = self._rows[destination] = _Row()
        row.limit, row.left = limit, min(row.left, left)

    def lines(self, now: int, counters: Mapping[str, Mapping[str, int]], load: Mapping[str, int]) -> list[tuple]:
        """Events and fields of the log lines since the last call; ``now`` in µs. There are none without traffic."""
        span, self._since = (now - self._since) // 1000, now
        rows, self._rows = self._rows, {}
        busiest = sorted(rows, key=lambda number: -rows[number].counts.total())
        lines: list[tuple[str, dict[str, Any]]] = []
        for number in busiest[:MAX_DESTINATIONS]:
            row = rows[number]
            allowance = {"limit": round(row.limit, 3), "left": round(row.left, 3)} if row.limit > 0 else {}
            lines.append(("traffic", {"dest": number, "span_ms": span} | allowance | dict(row.counts)))
        others: Counter[str] = sum((rows[number].counts for number in busiest[MAX_DESTINATIONS:]), Counter())
        if others:
            lines.append(("traffic", {"dest": OTHERS, "span_ms": span} | dict(others)))
        delta = self._deltas(counters)
        if lines or delta:
            lines.append(("load", {"span_ms": span} | dict(load) | delta))
        return lines

    def _deltas(self, counters: Mapping[str, Mapping[str, int]]) -> dict[str, int]:
        deltas = {}
        for (group, reason), name in DELTAS.items():
            value = counters.get(group, {}).get(reason, 0)
            if added := value - self._reported.get((group, reason), 0):
                deltas[name] = added
            self._reported[group, reason] = value
        return deltas
