"""Writing a snapshot, the complete state at one position, in steps, so that no step blocks the event loop for long.

A snapshot file is a sequence of netstrings of JSON, first the position, then arrays of puts, with their CRC-32 behind.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable

import msgspec

from lynxscale.coordination import netstring
from lynxscale.coordination.checksummed_file import encode_checksum
from lynxscale.coordination.messages import Position, Put
from lynxscale.coordination.ports import FileWriter

CHUNK_BYTES = 256 * 1024  # of keys and values, encoded and written in one step

Defer = Callable[[Callable[[], None]], None]
"""Makes a call in a later iteration of the event loop."""


def run_immediately(step: Callable[[], None]) -> None:
    """A ``Defer`` that defers nothing."""
    step()


class SnapshotWriter:
    """Writes one snapshot file step by step. The file counts once it is finished."""

    def __init__(self, file: FileWriter, position: Position, puts: list[Put]) -> None:
        """Write the header. Raises OSError."""
        self.position = position
        self.bytes = 0
        self._file = file
        self._puts = puts
        self._next = 0
        self._checksum = 0
        self._write(netstring.encode(msgspec.json.encode(position)))

    def step(self) -> bool:
        """Write one chunk; True once the file is complete and durable. Raises OSError."""
        if self._next < len(self._puts):
            self._write(netstring.encode(msgspec.json.encode(self._take_chunk())))
            return False
        self._file.append(encode_checksum(self._checksum))
        self._file.finish()
        return True

    def discard(self) -> None:
        """Remove what was written so far."""
        self._file.discard()

    def _take_chunk(self) -> list[Put]:
        begin, size = self._next, 0
        while self._next < len(self._puts) and size < CHUNK_BYTES:
            size += self._puts[self._next].size
            self._next += 1
        return self._puts[begin : self._next]

    def _write(self, frame: bytes) -> None:
        self._file.append(frame)
        self._checksum = zlib.crc32(frame, self._checksum)
        self.bytes += len(frame)


class BackgroundSnapshot:
    """Runs one ``SnapshotWriter`` at a time by deferred steps."""

    def __init__(self, defer: Defer) -> None:
        self._defer = defer
        self._writer: SnapshotWriter | None = None

    @property
    def active(self) -> bool:
        """Whether a snapshot is being written."""
        return self._writer is not None

    def start(self, writer: SnapshotWriter, on_complete: Callable[[SnapshotWriter], None]) -> None:
        """Begin to write; ``on_complete(writer)`` once the file is durable.

        An OSError of a step discards the file and is raised from that step.
        """
        self._writer = writer

        def step() -> None:
            if self._writer is not writer:
                return  # cancelled
            try:
                complete = writer.step()
            except OSError:
                self.cancel()
                raise
            if complete:
                self._writer = None
                on_complete(writer)
            else:
                self._defer(step)

        self._defer(step)

    def cancel(self) -> None:
        """Discard the snapshot that is being written, if any."""
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.discard()
