"""A scanner for server-sent events (WHATWG HTML, section 9.2); it forwards complete events only, and counts them."""

from __future__ import annotations

import re

import msgspec

LINE_END = re.compile(rb"\r\n|\n|\r")
EVENT_END = re.compile(rb"(?:\n|\r\n?+)(?:\n|\r\n?+)")  # a blank line; possessive, so that CR LF is one line end
LINE_FEED, CARRIAGE_RETURN = b"\n", b"\r"
BLANK_LINE = LINE_FEED + LINE_FEED  # the end of an event where all lines end with line feeds
MAX_EVENT_END_BYTES = 4


class Event(msgspec.Struct, frozen=True):
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

    @property
    def partial_bytes(self) -> int:
        """The bytes of the incomplete event."""
        return len(self._partial)

    def discard_partial(self) -> None:
        """Drop an incomplete event, as another attempt continues after the last complete one."""
        self._partial, self._searched = b"", 0

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the bytes of all events that it completes."""
        buffer = self._partial + chunk
        search_from = max(0, self._searched - MAX_EVENT_END_BYTES)
        if CARRIAGE_RETURN in buffer:
            end = self._read_events(buffer, search_from)
        else:
            end = self._read_line_feed_events(buffer, search_from)
        self._partial = buffer[end:]
        self._searched = len(self._partial)
        return buffer[:end]

    def _read_events(self, buffer: bytes, search_from: int) -> int:
        """Read all complete events and return where they end, behind the blank lines that follow them."""
        begin = 0
        for end in EVENT_END.finditer(buffer, search_from):
            self._read_event(LINE_END.split(buffer[begin : end.start()]))
            begin = end.end()
        rest = buffer[begin:].strip(LINE_FEED + CARRIAGE_RETURN)
        return begin if rest else len(buffer)

    def _read_line_feed_events(self, buffer: bytes, search_from: int) -> int:
        """Do the same faster, where no line ends with a carriage return."""
        end = buffer.rfind(BLANK_LINE, search_from)
        if end < 0:
            return len(buffer) if buffer == LINE_FEED else 0
        for block in buffer[:end].split(BLANK_LINE):
            self._read_event(block.split(LINE_FEED))
        return end + len(BLANK_LINE)

    def content(self) -> bytes:
        """Return the data of all collected events, each followed by a line feed."""
        return b"".join(event.data + b"\n" for event in self._events)

    def _read_event(self, lines: list[bytes]) -> None:
        """Count the event in a block of lines; a block of comments is no event."""
        is_event = False
        event_id, data = b"", []
        for line in lines:
            field, _, value = line.partition(b":")
            if not field:
                continue  # a blank line, or a comment
            is_event = True
            value = value.removeprefix(b" ")
            if field == b"id":
                event_id = value
            elif field == b"data" and self._keep_events:
                data.append(value)
        if not is_event:
            return
        self.event_count += 1
        self.last_event_id = event_id or self.last_event_id
        if self._keep_events:
            self._events.append(Event(event_id, b"\n".join(data)))
