"""Sums over the logs of many relays: by interval and destination, and how late each relay learned of events. No I/O.

A relay writes its ``traffic`` line at the end of its own interval; the line counts in the interval of this report that
contains the middle of the relay's. Times are in seconds. Only current names of events and fields are recognised; events
that had another name in older versions are not counted.
"""

from __future__ import annotations

import re
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass, field
from statistics import median
from typing import Any

from lynxscale.relay.fleet.lines import Line

ENDPOINT_STATE = re.compile(r"dest (\d+) endpoint \d+ (\w+)")
NOT_SUMMED = {"span_ms", "dest", "limit", "left", "level"}
MIN_EVENT_GAP_S = 10.0  # reports of the same thing that are further apart belong to two events
GAUGES = ("held", "out", "peers", "oldest_ms")  # reported as the sum over all relays and the maximum of one
RESULTS = ("ok", "full", "error", "timeout", "reset", "connect_failed", "cancelled", "moot")


@dataclass(slots=True)
class Cell:
    """One destination in one interval, over all relays."""

    counts: Counter[str] = field(default_factory=Counter)
    limits: list[float] = field(default_factory=list)  # as the relays last received them, one value for each line
    states: Counter[str] = field(default_factory=Counter)  # number of relays by state at the interval's end, except ok


@dataclass(slots=True)
class LearnedEvent:
    """An event that each relay learns of at its own time."""

    what: str
    first: float
    relays: dict[str, float] = field(default_factory=dict)  # by relay: seconds after the first

    def row(self, start: float) -> dict[str, Any]:
        """The event's row in the report; times are relative to ``start``."""
        lags = sorted(self.relays.values())
        return {
            "at_s": round(self.first - start, 1),
            "what": self.what,
            "relays": len(lags),
            "median_s": round(median(lags), 2),
            "last_s": round(lags[-1], 2),
        }


class FleetReport:
    """Sums up log lines, which have to come in order of time. ``interval``: length of an interval in seconds."""

    def __init__(self, interval: float) -> None:
        self.interval = interval
        self.start: float | None = None
        self.cells: dict[tuple[int, str], Cell] = {}
        self.loads: dict[int, Counter[str]] = {}
        self.reasons: Counter[str] = Counter()  # number of ended connections by kind and reason
        self.events: list[LearnedEvent] = []
        self.relays: set[str] = set()
        self._open: dict[str, LearnedEvent] = {}  # the latest event by name
        self._states: dict[tuple[str, str], str] = {}  # by relay and destination
        self._span = 0

    def take(self, lines: Iterable[Line]) -> None:
        """Add log lines, in order of time."""
        for line in lines:
            if self.start is None:
                self.start = line.at
            self._advance(int((line.at - self.start) // self.interval))
            self.relays.add(line.relay)
            handler = getattr(self, f"_on_{line.event}", None)
            if handler is not None:
                handler(line)
        self._advance(self._span + 1)

    def _advance(self, span: int) -> None:
        """Go to interval ``span``; for the one before, count the relays for which a destination is not ok."""
        if span <= self._span:
            return
        for (_relay, dest), state in self._states.items():
            if state != "ok":
                self._cell(self._span, dest).states[state] += 1
        self._span = span

    def _cell(self, span: int, dest: str) -> Cell:
        return self.cells.setdefault((span, dest), Cell())

    def _middle(self, line: Line) -> int:
        at = line.at - _number(line, "span_ms") / 2000
        return max(0, int((at - (self.start or 0.0)) // self.interval))

    def _on_traffic(self, line: Line) -> None:
        cell = self._cell(self._middle(line), str(line.fields.get("dest")))
        if limit := _number(line, "limit"):
            cell.limits.append(limit)
        for name in line.fields.keys() - NOT_SUMMED:
            cell.counts[name] += int(_number(line, name))

    def _on_load(self, line: Line) -> None:
        load = self.loads.setdefault(self._middle(line), Counter())
        for name in line.fields.keys() - NOT_SUMMED:
            value = int(_number(line, name))
            load[name] += value
            if name in GAUGES:
                load[f"most_{name}"] = max(load[f"most_{name}"], value)

    def _on_connection(self, line: Line) -> None:
        self.reasons[f"{line.fields.get('kind')} {line.fields.get('reason')}"] += 1

    def _on_ready(self, line: Line) -> None:
        self._learned("ready", line)
        for key in [key for key in self._states if key[0] == line.relay]:
            del self._states[key]

    def _on_module(self, line: Line) -> None:
        found = ENDPOINT_STATE.match(str(line.fields.get("text")))
        if found is None:
            return
        self._states[line.relay, found[1]] = found[2]
        self._learned(f"destination {found[1]} {found[2]}", line)

    def _on_list_verdict(self, line: Line) -> None:
        if line.fields.get("outcome") == "applied":
            self._learned(f"list {line.fields.get('version')} of {line.fields.get('source')}", line)

    def _learned(self, what: str, line: Line) -> None:
        event = self._open.get(what)
        if event is None or line.at - event.first - max(event.relays.values()) > MIN_EVENT_GAP_S:
            event = self._open[what] = LearnedEvent(what, line.at)
            self.events.append(event)
        event.relays.setdefault(line.relay, line.at - event.first)

    # Results ------------------------------------------------------------------------------

    def traffic(self) -> list[dict[str, Any]]:
        """Rows by interval and destination, sorted in that order."""
        rows = []
        for (span, dest), cell in sorted(self.cells.items(), key=lambda item: (item[0][0], _order(item[0][1]))):
            calls = sum(cell.counts[name] for name in RESULTS)
            row = {"from_s": round(span * self.interval, 1), "dest": dest, "calls": calls}
            row |= dict(sorted(cell.counts.items()))
            if cell.limits:  # the median, as single reports are noisy and out of date
                limit = median(cell.limits)
                row |= {
                    "limit": round(limit, 1),
                    "takes": round(limit * self.interval),
                    "used": round(cell.counts["ok"] / (limit * self.interval), 2),
                }
            rows.append(row | dict(cell.states))
        return rows

    def load(self) -> list[dict[str, Any]]:
        """Rows of the relays' load, one for each interval."""
        return [
            {"from_s": round(span * self.interval, 1)} | dict(sorted(row.items()))
            for span, row in sorted(self.loads.items())
        ]

    def learned(self) -> list[dict[str, Any]]:
        """Events that more than one relay learned of, in order of time."""
        start = self.start or 0.0
        return [
            event.row(start) for event in sorted(self.events, key=lambda event: event.first) if len(event.relays) > 1
        ]


def _number(line: Line, name: str) -> float:
    """A field as a number; 0 if it is missing or not a number."""
    try:
        return float(line.fields.get(name, 0.0))
    except (TypeError, ValueError):
        return 0.0


def _order(dest: str) -> tuple[int, str]:
    return (int(dest), "") if dest.isdigit() else (1 << 30, dest)
