"""A scanner for server-sent events (WHATWG HTML, section 9.2); it forwards complete events only, and counts them."""

from __future__ import annotations

BOUNDARY = b"\n\n"


class EventScanner:
    """Splits a stream into complete events. ``keep_data``: also collect the data of each event, for a retained turn."""

    __slots__ = ("_data", "_keep_data", "_partial", "event_count", "last_event_id")

    def __init__(self, keep_data: bool) -> None:
        self.event_count = 0
        self.last_event_id = b""
        self._data: list[bytes] = []
        self._keep_data = keep_data
        self._partial = b""

    @property
    def within_event(self) -> bool:
        """Whether the stream is within an event."""
        return bool(self._partial)

    def discard_partial(self) -> None:
        """Drop an incomplete event, as another attempt continues after the last complete one."""
        self._partial = b""

    def feed(self, chunk: bytes) -> bytes:
        """Add a chunk and return the bytes of all events that it completes."""
        buffer = self._partial + chunk
        end = buffer.rfind(BOUNDARY)
        if end < 0:
            self._partial = buffer
            return b""
        complete, self._partial = buffer[: end + len(BOUNDARY)], buffer[end + len(BOUNDARY) :]
        for event in complete.split(BOUNDARY):
            if event.strip():
                self._read_event(event)
        return complete

    def content(self) -> bytes:
        """Return the collected data of all events, each followed by a line feed."""
        return b"".join(data + b"\n" for data in self._data)

    def _read_event(self, event: bytes) -> None:
        self.event_count += 1
        data = []
        for line in event.split(b"\n"):
            field, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if field == b"id":
                self.last_event_id = value
            elif field == b"data" and self._keep_data:
                data.append(value)
        if self._keep_data:
            self._data.append(b"\n".join(data))
