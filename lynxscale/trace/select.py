"""Selects records by time, class, tenant, destination, endpoint, id and outcome. No I/O.

All records of a message match, or none. The criteria ``endpoints`` and ``outcomes`` select messages with an attempt at
one of the endpoints, or with one of the final statuses, verdicts or results; they need a first pass over the files
(``gather``). Records about no single message match if only a time range is selected; otherwise only those of the types
in ``records.CONTEXT`` do.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import UTC, datetime
from typing import Any

from lynxscale.trace import records as r
from lynxscale.trace.exceptions import TraceError
from lynxscale.trace.frames import Frame
from lynxscale.trace.v2 import Summary

MAX_GATHERED_MESSAGES = 1_000_000  # messages found in a first pass; bounds the memory of a tool


class TooManyMatchesError(TraceError):
    """The first pass found more than ``MAX_GATHERED_MESSAGES`` messages."""


def unix_from(text: str) -> int:
    """Parse Unix seconds, or an ISO 8601 date and time (UTC if it has no zone), into Unix µs.

    Raises ValueError if the text is neither.
    """
    try:
        return round(float(text) * 1_000_000)
    except ValueError:
        moment = datetime.fromisoformat(text)
        return round((moment if moment.tzinfo else moment.replace(tzinfo=UTC)).timestamp() * 1_000_000)


@dataclass(frozen=True, slots=True)
class RecordFilter:
    """The selection criteria. An empty set matches anything; times are Unix µs, and ``until`` is excluded."""

    since: int | None = None
    until: int | None = None
    classes: frozenset[str] = frozenset()
    tenants: frozenset[str] = frozenset()
    dests: frozenset[int] = frozenset()
    endpoints: frozenset[str] = frozenset()
    outcomes: frozenset[str] = frozenset()
    ids: frozenset[str] = frozenset()
    gathered: frozenset[str] | None = field(default=None, repr=False)  # ids found by the first pass

    @property
    def by_message(self) -> bool:
        """Whether the filter has other criteria than the time range."""
        return bool(self.classes or self.tenants or self.dests or self.ids or self.endpoints or self.outcomes)

    @property
    def needs_first_pass(self) -> bool:
        """Whether the messages must be gathered in a first pass."""
        return bool(self.endpoints or self.outcomes)

    def may_match_block(self, summary: Summary) -> bool:
        """Whether a block with this summary may hold a matching record."""
        if self.since is not None and summary.last < self.since:
            return False
        if self.until is not None and summary.first >= self.until:
            return False
        for wanted, present in ((self.classes, summary.classes), (self.tenants, summary.tenants)):
            if wanted and present and not wanted & present:
                return summary.context
        if self.dests and not summary.any_dest and not self.dests & summary.dests:
            return summary.context
        if self.ids and not summary.any_id and not any(summary.may_hold_id(one) for one in self.ids):
            return summary.context
        return True

    def in_span(self, unix: int) -> bool:
        """Whether a time in Unix µs is in the time range."""
        return (self.since is None or unix >= self.since) and (self.until is None or unix < self.until)

    def matches_message(self, msg: r.Msg) -> bool:
        """Whether this message matches."""
        if self.classes and msg.cls[1] not in self.classes:
            return False
        if self.tenants and msg.tenant[1] not in self.tenants:
            return False
        if self.dests and msg.dest not in self.dests:
            return False
        if self.ids and msg.id not in self.ids:
            return False
        return self.gathered is None or msg.id in self.gathered

    def matches_record(self, number: int, values: Any) -> bool:
        """Whether this record matches; its time is not checked."""
        if not self.by_message:
            return True
        msg = message_of(number, values)
        return number in r.CONTEXT if msg is None else self.matches_message(msg)


def message_of(number: int, values: Any) -> r.Msg | None:
    """The message that a record is about; None if there is none or the record type is unknown."""
    return values[0] if type(values) is list and values and isinstance(values[0], r.Msg) else None


def gather(wanted: RecordFilter, frames: Iterable[Frame]) -> frozenset[str]:
    """Return the ids of the messages with a selected outcome and an attempt at a selected endpoint.

    Raises TooManyMatchesError if there are too many.
    """
    at_endpoint: set[str] = set()
    with_outcome: set[str] = set()
    for frame in frames:
        if not wanted.in_span(frame.unix):
            continue
        for number, values in frame.records:
            msg = message_of(number, values)
            if msg is None or not wanted.matches_message(msg):
                continue
            row = r.BY_NUMBER[number].row(values)
            if wanted.endpoints and (row.get("endpoint") or r.UNKNOWN)[1] in wanted.endpoints:
                at_endpoint.add(msg.id)
            if wanted.outcomes and _outcome(row) in wanted.outcomes:
                with_outcome.add(msg.id)
        if len(at_endpoint) + len(with_outcome) > MAX_GATHERED_MESSAGES:
            raise TooManyMatchesError(
                f"more than {MAX_GATHERED_MESSAGES} messages match; ask for a shorter time or fewer classes"
            )
    if wanted.endpoints and wanted.outcomes:
        return frozenset(at_endpoint & with_outcome)
    return frozenset(at_endpoint or with_outcome)


def _outcome(row: dict[str, Any]) -> str:
    for name in ("status", "result", "verdict"):
        value = row.get(name)
        if isinstance(value, tuple):
            return value[1]
    return ""


def matching_parts(frame: Frame, wanted: RecordFilter) -> Iterator[Frame]:
    """Yield the matching records of a frame, each run without a gap as a frame with the right sequence number."""
    if not wanted.in_span(frame.unix):
        return
    if not wanted.by_message:
        yield frame
        return
    run: list = []
    start = frame.seq
    for index, (number, values) in enumerate(frame.records):
        if wanted.matches_record(number, values):
            if not run:
                start = frame.seq + index
            run.append((number, values))
        elif run:
            yield frame._replace(seq=start, records=run)
            run = []
    if run:
        yield frame._replace(seq=start, records=run)
