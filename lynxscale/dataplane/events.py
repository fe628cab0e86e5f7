"""Server-sent events (WHATWG HTML, section 9.2) as they pass through: whole events only, counted."""

from __future__ import annotations

BOUNDARY = b"\n\n"


class EventScanner:
    """Cuts a stream into whole events. ``keep_data``: collect the data of each, for a retained turn."""

    def __init__(self, keep_data: bool) -> None:
        self.count = 0
        self.last_id = b""
        self.data: list[bytes] = []
        self._keep_data = keep_data
        self._partial = b""

    @property
    def within_event(self) -> bool:
        """Has an event begun that is not complete?"""
        return bool(self._partial)

    def restart(self) -> None:
        """Another run goes on behind the last whole event."""
        self._partial = b""

    def feed(self, piece: bytes) -> bytes:
        """The bytes of all events that the piece completes."""
        buffer = self._partial + piece
        end = buffer.rfind(BOUNDARY)
        if end < 0:
            self._partial = buffer
            return b""
        whole, self._partial = buffer[: end + len(BOUNDARY)], buffer[end + len(BOUNDARY) :]
        for event in whole.split(BOUNDARY):
            if event.strip():
                self._count(event)
        return whole

    def content(self) -> bytes:
        """The data of each event with a line feed behind."""
        return b"".join(data + b"\n" for data in self.data)

    def _count(self, event: bytes) -> None:
        self.count += 1
        data = []
        for line in event.split(b"\n"):
            name, _, value = line.partition(b":")
            value = value.removeprefix(b" ")
            if name == b"id":
                self.last_id = value
            elif name == b"data" and self._keep_data:
                data.append(value)
        if self._keep_data:
            self.data.append(b"\n".join(data))
