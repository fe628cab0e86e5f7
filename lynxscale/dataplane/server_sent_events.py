"""A scanner for server-sent events (WHATWG HTML, section 9.2); it forwards complete events only, and counts them."""

from __future__ import annotations

import re

from attrs import frozen

LINE_END = re.compile(rb"\r\n|\n|\r")
EVENT_END = re.compile(rb"(?>\r\n|\n|\r){2}")  # a blank line; atomic, so that CR LF is one line end
LINE_END_BYTES = b"\r\n"
MAX_EVENT_END_BYTES = 4


@frozen
class Event:
    """One event: its id, empty if it has none, and its data, whose lines are separated by line feeds."""

    id: bytes
    data: bytes


class EventScanner:
    """Splits a stream into complete events. ``keep_events``: also collect the events, for a retained turn."""

    __slots__ = ("_events", "_keep_events", "_partial", "_searched", "event_count", "last_event_id")

    def __init__(self, keep_events: bool) -> None:
        self.event_count = 0
        self.last_event_id = b""
        self._events: list[Event] = []
        self._keep_events = keep_events
        self._partial = b""
        self._searched = 0  # bytes of ``_partial`` in which no event ends

    @property
    def events(self) -> list[Event]:
        """The collected events."""
        return self._events

    @property
    def within_event(self) -> bool:
        """Whether the stream is within an event."""
        return bool(self._partial)

    def discard_partial(self) -> None:
        """Drop an incomplete event, as another attempt continues after the last complete one."""
        self._partial, self._searched = b"", 0

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the bytes of all events that it completes."""
        buffer = self._partial + chunk
        begin = 0
        for end in EVENT_END.finditer(buffer, max(0, self._searched - MAX_EVENT_END_BYTES)):
            self._read_event(buffer[begin : end.start()])
            begin = end.end()
        if not buffer[begin:].strip(LINE_END_BYTES):
            begin = len(buffer)  # only blank lines are left, which end no further event
        self._partial = buffer[begin:]
        self._searched = len(self._partial)
        return buffer[:begin]

    def content(self) -> bytes:
        """Return the data of all collected events, each followed by a line feed."""
        return b"".join(event.data + b"\n" for event in self._events)

    def _read_event(self, block: bytes) -> None:
        """Count the event in a block of lines; a block of comments is no event."""
        lines = [line for line in LINE_END.split(block) if line and not line.startswith(b":")]
        if not lines:
            return
        self.event_count += 1
        event_id, data = b"", []
        for line in lines:
            field, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if field == b"id":
                event_id = value
            elif field == b"data" and self._keep_events:
                data.append(value)
        self.last_event_id = event_id or self.last_event_id
        if self._keep_events:
            self._events.append(Event(event_id, b"\n".join(data)))
