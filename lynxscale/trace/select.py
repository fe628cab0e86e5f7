"""Which records a tool wants: by time, class, tenant, destination, endpoint, id and outcome. No I/O.

A message matches as a whole: ``endpoint`` and ``outcome`` ask for those that had a try there, or an end, verdict or
result so named, and take a first pass over the files (``Gather``). Records that concern no message are kept where only
times were asked for; of the others a file keeps what tells whose it is.
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

GATHER_MOST = 1_000_000  # messages found in a first pass: guards the memory of a tool


class TooManyMatchesError(TraceError):
    """The first pass found more messages than memory is meant for."""


def unix_from(text: str) -> int:
    """Unix µs from seconds, or from a date and time in ISO 8601 (UTC where it names no zone).

    Raises ValueError.
    """
    try:
        return round(float(text) * 1_000_000)
    except ValueError:
        moment = datetime.fromisoformat(text)
        return round((moment if moment.tzinfo else moment.replace(tzinfo=UTC)).timestamp() * 1_000_000)


@dataclass(frozen=True, slots=True)
class Wanted:
    """What is asked for; an empty set asks for anything. Times are Unix µs, ``until`` not included."""

    since: int | None = None
    until: int | None = None
    classes: frozenset[str] = frozenset()
    tenants: frozenset[str] = frozenset()
    dests: frozenset[int] = frozenset()
    endpoints: frozenset[str] = frozenset()
    outcomes: frozenset[str] = frozenset()
    ids: frozenset[str] = frozenset()
    gathered: frozenset[str] | None = field(default=None, repr=False)  # ids, of a first pass

    @property
    def by_message(self) -> bool:
        """Is more asked for than a span of time?"""
        return bool(self.classes or self.tenants or self.dests or self.ids or self.endpoints or self.outcomes)

    @property
    def two_passes(self) -> bool:
        """Must the messages be gathered in a first pass?"""
        return bool(self.endpoints or self.outcomes)

    def block(self, summary: Summary) -> bool:
        """May this block hold any of it?"""
        if self.since is not None and summary.last < self.since:
            return False
        if self.until is not None and summary.first >= self.until:
            return False
        for wanted, held in ((self.classes, summary.classes), (self.tenants, summary.tenants)):
            if wanted and held and not wanted & held:
                return summary.context
        if self.dests and not summary.any_dest and not self.dests & summary.dests:
            return summary.context
        if self.ids and not summary.any_id and not any(summary.may_hold_id(one) for one in self.ids):
            return summary.context
        return True

    def timely(self, unix: int) -> bool:
        """Is that time, in Unix µs, within the span?"""
        return (self.since is None or unix >= self.since) and (self.until is None or unix < self.until)

    def message(self, msg: r.Msg) -> bool:
        """Is this message asked for?"""
        if self.classes and msg.cls[1] not in self.classes:
            return False
        if self.tenants and msg.tenant[1] not in self.tenants:
            return False
        if self.dests and msg.dest not in self.dests:
            return False
        if self.ids and msg.id not in self.ids:
            return False
        return self.gathered is None or msg.id in self.gathered

    def record(self, number: int, values: Any) -> bool:
        """Is this record kept?"""
        if not self.by_message:
            return True
        msg = message_of(number, values)
        return number in r.CONTEXT if msg is None else self.message(msg)


def message_of(number: int, values: Any) -> r.Msg | None:
    """The message that a record concerns; None where it is none, or its type is unknown."""
    return values[0] if type(values) is list and values and isinstance(values[0], r.Msg) else None


def gather(wanted: Wanted, frames: Iterable[Frame]) -> frozenset[str]:
    """The ids of messages that had a wanted outcome and a try at a wanted endpoint.

    Raises TooManyMatchesError.
    """
    at_endpoint: set[str] = set()
    came_out: set[str] = set()
    for frame in frames:
        if not wanted.timely(frame.unix):
            continue
        for number, values in frame.records:
            msg = message_of(number, values)
            if msg is None or not wanted.message(msg):
                continue
            row = r.BY_NUMBER[number].row(values)
            if wanted.endpoints and (row.get("endpoint") or r.UNKNOWN)[1] in wanted.endpoints:
                at_endpoint.add(msg.id)
            if wanted.outcomes and _outcome(row) in wanted.outcomes:
                came_out.add(msg.id)
        if len(at_endpoint) + len(came_out) > GATHER_MOST:
            raise TooManyMatchesError(
                f"more than {GATHER_MOST} messages match; ask for a shorter time or fewer classes"
            )
    if wanted.endpoints and wanted.outcomes:
        return frozenset(at_endpoint & came_out)
    return frozenset(at_endpoint or came_out)


def _outcome(row: dict[str, Any]) -> str:
    for name in ("status", "result", "verdict"):
        value = row.get(name)
        if isinstance(value, tuple):
            return value[1]
    return ""


def kept(frame: Frame, wanted: Wanted) -> Iterator[Frame]:
    """The frame's wanted records; each run of them without a gap is a frame, as their numbers must tell."""
    if not wanted.timely(frame.unix):
        return
    if not wanted.by_message:
        yield frame
        return
    run: list = []
    start = frame.seq
    for place, (number, values) in enumerate(frame.records):
        if wanted.record(number, values):
            if not run:
                start = frame.seq + place
            run.append((number, values))
        elif run:
            yield frame._replace(seq=start, records=run)
            run = []
    if run:
        yield frame._replace(seq=start, records=run)
