"""Writes a snapshot, the complete state at one position, in short steps so that the event loop is not blocked for long.

A snapshot file is a sequence of netstrings that contain JSON, first the position, then arrays of puts. The CRC-32 of
all of them is at the end of the file.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable

import msgspec

from lynxscale.coordination import netstring
from lynxscale.coordination.checksummed_file import encode_checksum
from lynxscale.coordination.messages import Position, Put
from lynxscale.coordination.ports import FileWriter

CHUNK_BYTES = 256 * 1024  # keys and values that are encoded and written in one step

Defer = Callable[[Callable[[], None]], None]
"""A function that makes a call in a later iteration of the event loop."""


def run_immediately(step: Callable[[], None]) -> None:
    """A ``Defer`` that runs each step immediately."""
    step()


class SnapshotWriter:
    """Writes one snapshot file step by step. The file takes its name only when it is finished."""

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
        """Remove the unfinished file."""
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
    """Runs at most one ``SnapshotWriter`` at a time, in deferred steps."""

    def __init__(self, defer: Defer) -> None:
        self._defer = defer
        self._writer: SnapshotWriter | None = None

    @property
    def active(self) -> bool:
        """Whether a snapshot is being written."""
        return self._writer is not None

    def start(self, writer: SnapshotWriter, on_complete: Callable[[SnapshotWriter], None]) -> None:
        """Begin to write; ``on_complete(writer)`` is called once the file is durable.

        An OSError in a step discards the file and is raised by that step.
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
