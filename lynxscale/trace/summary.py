"""Summarises a trace: counts and latencies by class, tenant, destination and time window. No I/O.

Memory grows with the rows and the open messages. When there are too many open messages, the oldest is counted as
unfinished.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from typing import Any

import orjson
from hdrh.histogram import HdrHistogram

from lynxscale.trace import records as r
from lynxscale.trace.exceptions import TraceError
from lynxscale.trace.frames import Frame
from lynxscale.trace.select import RecordFilter

MAX_OPEN_MESSAGES = 200_000  # messages without a final status
MAX_ROWS = 5_000  # bounds the summary of a long trace by a short window
MAX_LATENCY_MS = 3_600_000
LATENCY_DIGITS = 2  # significant digits of the latency histogram
GROUP_COLUMNS = ("class", "tenant", "destination")


class TooManyRowsError(TraceError):
    """The summary would have more than ``MAX_ROWS`` rows."""


@dataclass(slots=True)
class WorthCurve:
    """The worth of a message of a class as a function of its age; times in ms."""

    aim: float
    deadline: float
    worth: float
    late_worth: float
    halves: bool

    def worth_at(self, spent_ms: float) -> float:
        """The worth of a delivery ``spent_ms`` after the client sent the message (docs/design.md)."""
        if spent_ms <= self.aim:
            return self.worth
        if spent_ms >= self.deadline:
            return 0.0
        if self.halves:
            return self.worth * 0.5 ** (spent_ms / self.aim - 1)
        share = (spent_ms - self.aim) / max(1e-9, self.deadline - self.aim)
        return self.worth * (1 - share * (1 - self.late_worth))


@dataclass(slots=True)
class Row:
    """One row of the summary. Latencies run from the admission of a message to its delivery."""

    key: tuple
    messages: int = 0
    replayed: int = 0  # messages taken over from an earlier process
    verdicts: Counter = field(default_factory=Counter)
    ends: Counter = field(default_factory=Counter)
    tries: int = 0
    results: Counter = field(default_factory=Counter)
    unfinished: int = 0
    worth_asked: float = 0.0
    worth_in_aim: float = 0.0
    worth_late: float = 0.0
    latencies: HdrHistogram = field(default_factory=lambda: HdrHistogram(1, MAX_LATENCY_MS, LATENCY_DIGITS))

    def table(self, by: tuple[str, ...]) -> dict[str, Any]:
        """Return the row as a JSON object: percentiles in ms, worth in the unit of the settings."""
        percentiles = (
            {
                f"p{str(share).replace('.0', '')}_ms": self.latencies.get_value_at_percentile(share)
                for share in (50.0, 90.0, 99.0)
            }
            if self.latencies.get_total_count()
            else {}
        )
        return dict(zip(by, self.key, strict=True)) | {
            "messages": self.messages,
            "replayed": self.replayed,
            "verdicts": dict(sorted(self.verdicts.items())),
            "ends": dict(sorted(self.ends.items())),
            "unfinished": self.unfinished,
            "tries": self.tries,
            "tries_each": round(self.tries / self.messages, 3) if self.messages else 0.0,
            "results": dict(sorted(self.results.items())),
            **percentiles,
            "worth_asked": round(self.worth_asked, 3),
            "worth_in_aim": round(self.worth_in_aim, 3),
            "worth_late": round(self.worth_late, 3),
        }


@dataclass(slots=True)
class _OpenMessage:
    row: Row
    unix: int
    left: int
    tries: int = 0


class Summariser:
    """Aggregates frames that are added in order of time; ``rows`` returns the summary.

    ``by`` holds some of ``class``, ``tenant`` and ``destination``; ``window`` is in µs, 0 for a single window.
    """

    def __init__(self, by: Iterable[str] = ("class",), window: int = 0, wanted: RecordFilter | None = None) -> None:
        self._by, self._window, self._wanted = tuple(by), window, wanted or RecordFilter()
        self._rows: dict[tuple, Row] = {}
        self._open: OrderedDict[tuple[str, int], _OpenMessage] = OrderedDict()
        self._curves: dict[str, WorthCurve] = {}
        self.first: int | None = None
        self.last: int | None = None
        self.sources: set[str] = set()
        self.types: Counter = Counter()
        self.dropped = 0  # records that a recorder could not write

    @property
    def columns(self) -> tuple[str, ...]:
        """The names of the parts of a row key."""
        return (("window",) if self._window else ()) + self._by

    def add(self, frame: Frame) -> None:
        """Add the records of a frame."""
        unix = frame.unix
        if not self._wanted.in_span(unix):
            return
        self.first = unix if self.first is None else min(self.first, unix)
        self.last = unix if self.last is None else max(self.last, unix)
        self.sources.add(frame.source)
        for number, values in frame.records:
            self.types[r.BY_NUMBER[number].name if number in r.BY_NUMBER else f"type_{number}"] += 1
            if number == r.START:
                self._settings(values)
            elif number == r.DROPPED:
                self.dropped += values[0]
            elif number in HANDLERS and self._wanted.matches_message(values[0]):
                HANDLERS[number](self, frame.source, unix, values)

    def rows(self) -> Iterator[Row]:
        """Yield the rows in order of their keys; messages that are still open count as unfinished."""
        for open_message in self._open.values():
            open_message.row.unfinished += 1
        self._open.clear()
        yield from (
            self._rows[key]
            for key in sorted(
                self._rows, key=lambda key: tuple(map(str, key)) if not self._window else (key[0], *map(str, key[1:]))
            )
        )

    # Records -------------------------------------------------------------------------------------

    def _settings(self, values: list) -> None:
        try:
            table = orjson.loads(values[7])
            for row in table["classes"]:
                self._curves[row["name"]] = WorthCurve(
                    row["aim_ms"], row["deadline_ms"], row["worth"], row["late_worth"], table["late_halves"]
                )
        except (ValueError, KeyError, TypeError, IndexError):
            pass  # without settings the summary lacks the worth

    def _row(self, unix: int, msg: r.Msg) -> Row:
        parts = {"class": msg.cls[1], "tenant": msg.tenant[1], "destination": msg.dest}
        key = tuple(parts[name] for name in self._by)
        if self._window:
            key = (unix - unix % self._window, *key)
        row = self._rows.get(key)
        if row is None:
            if len(self._rows) >= MAX_ROWS:
                raise TooManyRowsError(f"more than {MAX_ROWS} rows: ask for a longer window or fewer columns")
            row = self._rows[key] = Row(key)
        return row

    def _message(self, source: str, unix: int, values: list) -> None:
        msg, left, _size, tries = values[:4]
        row = self._row(unix, msg)
        row.messages += 1
        row.replayed += tries > 0
        curve = self._curves.get(msg.cls[1])
        row.worth_asked += curve.worth if curve else 0.0
        self._open[source, msg.number] = _OpenMessage(row, unix, left)
        if len(self._open) > MAX_OPEN_MESSAGES:
            self._open.popitem(last=False)[1].row.unfinished += 1

    def _admit(self, source: str, _unix: int, values: list) -> None:
        open_message = self._open.get((source, values[0].number))
        if open_message is not None:
            open_message.row.verdicts[values[1][1]] += 1
            if values[1][1] != "taken":
                del self._open[source, values[0].number]

    def _try_start(self, source: str, _unix: int, values: list) -> None:
        open_message = self._open.get((source, values[0].number))
        if open_message is not None:
            open_message.row.tries += 1

    def _try_end(self, source: str, _unix: int, values: list) -> None:
        open_message = self._open.get((source, values[0].number))
        if open_message is not None:
            open_message.row.results[values[3][1]] += 1

    def _end(self, source: str, unix: int, values: list) -> None:
        open_message = self._open.pop((source, values[0].number), None)
        if open_message is None:
            return  # the message was admitted before the trace begins
        open_message.row.ends[values[1][1]] += 1
        if values[1][1] != "delivered":
            return
        spent = max(0, unix - open_message.unix) / 1000
        open_message.row.latencies.record_value(max(1, min(MAX_LATENCY_MS, round(spent))))
        curve = self._curves.get(values[0].cls[1])
        if curve is not None:
            # The deadline minus the time left at admission is the age of the message at admission.
            since = spent + max(0.0, curve.deadline - open_message.left / 1000)
            worth = curve.worth_at(since)
            if since <= curve.aim:
                open_message.row.worth_in_aim += worth
            else:
                open_message.row.worth_late += worth


HANDLERS = {
    r.MESSAGE: Summariser._message,
    r.ADMIT: Summariser._admit,
    r.TRY_START: Summariser._try_start,
    r.TRY_END: Summariser._try_end,
    r.END: Summariser._end,
}
