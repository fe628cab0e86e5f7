"""Shared memory of the two processes of a relay during an upgrade: a small mapped file with one half per process.

The format is little endian. A half consists of magic, version, stage, generation, inode of the listening socket, number
of attempts in flight, number of times that waits were published, and number of waits. The waits follow, each a key and
the time until which to wait, in µs of the monotonic clock, which all processes of a machine share.

Only the owner writes to a half. A reader that reads during a change may see an expired wait or miss a new one; the next
read sees the complete change.
"""

from __future__ import annotations

import errno
import mmap
import os
import struct
from enum import IntEnum
from pathlib import Path

MAGIC, VERSION = b"LXUP", 1
HALF_HEADER = struct.Struct("<4sHHQQIII")
WAIT_ENTRY = struct.Struct("<qQ")  # key and end time in µs
HALF_SIZE = 4096  # bytes
MAX_WAITS = (HALF_SIZE - HALF_HEADER.size) // WAIT_ENTRY.size
BOARD_SIZE = 2 * HALF_SIZE
FILE_NAME = "board"
IN_FLIGHT_OFFSET, PUBLISH_COUNT_OFFSET = HALF_HEADER.size - 12, HALF_HEADER.size - 8
COUNT = struct.Struct("<I")


class Stage(IntEnum):
    """A process's stage in a handover. The values are stored in the file."""

    NONE = 0
    STARTING = 1
    READY = 2  # able to accept clients
    SERVING = 3
    HANDED_OVER = 4  # no longer accepts connections from the listening socket


class BoardHalf:
    """One process's half of the file."""

    def __init__(self, data: mmap.mmap, index: int) -> None:
        self._data, self._offset, self.index = data, index * HALF_SIZE, index
        self._waits: dict[int, int] = {}
        self._last_publish_count = -1  # the publish count when the waits were last read

    # Methods for the owner -----------------------------------------------------------------------

    def begin(self, generation: int, inode: int) -> None:
        """Reset the half and take ownership of it."""
        self._data[self._offset : self._offset + HALF_SIZE] = bytes(HALF_SIZE)
        HALF_HEADER.pack_into(self._data, self._offset, MAGIC, VERSION, Stage.STARTING, generation, inode, 0, 0, 0)

    def set_stage(self, stage: Stage) -> None:
        """Publish this process's stage."""
        struct.pack_into("<H", self._data, self._offset + 6, stage)

    def set_in_flight(self, count: int) -> None:
        """Publish the number of attempts in flight."""
        COUNT.pack_into(self._data, self._offset + IN_FLIGHT_OFFSET, count)

    def publish_wait(self, key: int, until: int, now: int) -> None:
        """Publish that a peer asked this process to wait until ``until``; expired waits make room for new ones."""
        waits = self._waits
        if waits.get(key, 0) >= until:
            return
        waits[key] = until
        if len(waits) > MAX_WAITS:
            for expired in [one for one, end in waits.items() if end <= now] or [min(waits, key=waits.__getitem__)]:
                del waits[expired]
        rows = b"".join(WAIT_ENTRY.pack(*row) for row in waits.items())
        self._data[self._offset + HALF_HEADER.size : self._offset + HALF_HEADER.size + len(rows)] = rows
        published = COUNT.unpack_from(self._data, self._offset + PUBLISH_COUNT_OFFSET)[0]
        struct.pack_into(
            "<II", self._data, self._offset + PUBLISH_COUNT_OFFSET, (published + 1) & 0xFFFFFFFF, len(waits)
        )

    # Methods for the other process ---------------------------------------------------------------

    def read(self) -> tuple[Stage, int, int, int] | None:
        """Return stage, generation, inode and attempts in flight; None if no process of this version wrote the half."""
        magic, version, stage, generation, inode, in_flight, _published, _count = HALF_HEADER.unpack_from(
            self._data, self._offset
        )
        if (magic, version) != (MAGIC, VERSION) or stage not in Stage.__members__.values():
            return None
        return Stage(stage), generation, inode, in_flight

    def wait_until(self, key: int) -> int:
        """Return the time until which the owner was asked to wait for ``key``, or 0."""
        published, count = struct.unpack_from("<II", self._data, self._offset + PUBLISH_COUNT_OFFSET)
        if published != self._last_publish_count:
            rows = self._data[
                self._offset + HALF_HEADER.size : self._offset
                + HALF_HEADER.size
                + min(count, MAX_WAITS) * WAIT_ENTRY.size
            ]
            self._waits, self._last_publish_count = dict(WAIT_ENTRY.iter_unpack(rows)), published
        return self._waits.get(key, 0)


class Board:
    """The mapped file, which is created if it is missing. Raises OSError."""

    def __init__(self, folder: Path) -> None:
        handle = os.open(folder / FILE_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            if os.fstat(handle).st_size != BOARD_SIZE:
                # Zeros are written because a sparse file on a full disk would raise SIGBUS at the first access.
                if os.pwrite(handle, bytes(BOARD_SIZE), 0) != BOARD_SIZE:
                    raise OSError(errno.ENOSPC, "no space for the board")
                os.ftruncate(handle, BOARD_SIZE)
            self._data = mmap.mmap(handle, BOARD_SIZE)
        finally:
            os.close(handle)

    def halves(self) -> tuple[BoardHalf, BoardHalf]:
        """Return both halves; the caller may own at most one of them."""
        return BoardHalf(self._data, 0), BoardHalf(self._data, 1)
