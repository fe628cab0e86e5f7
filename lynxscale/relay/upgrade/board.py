"""Shared memory of two processes of one relay while both run: a small mapped file, of which each writes its own half.

Little endian. A half: magic, version, stage, generation, inode of the listening socket, attempts in flight, how often
waits were published, number of waits; then the waits, a key and until when each, in µs of the monotonic clock, which
all processes of a machine share. Only its owner writes a half; a reader that meets one in the middle of a change sees
a wait that is over or not yet published, and the complete one a moment later.
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
WAIT_ENTRY = struct.Struct("<qQ")  # key and time
HALF_SIZE = 4096
MAX_WAITS = (HALF_SIZE - HALF_HEADER.size) // WAIT_ENTRY.size
BOARD_SIZE = 2 * HALF_SIZE
FILE_NAME = "board"
IN_FLIGHT_OFFSET, PUBLISH_COUNT_OFFSET = HALF_HEADER.size - 12, HALF_HEADER.size - 8
COUNT = struct.Struct("<I")


class Stage(IntEnum):
    """Where a process stands. The values stand in the file."""

    NONE = 0
    STARTING = 1
    READY = 2  # it could accept clients
    SERVING = 3
    HANDED_OVER = 4  # it accepts no more from the listening socket


class BoardHalf:
    """One process's half of the file."""

    def __init__(self, data: mmap.mmap, index: int) -> None:
        self._data, self._offset, self.index = data, index * HALF_SIZE, index
        self._waits: dict[int, int] = {}
        self._last_publish_count = -1  # how often waits had been published when they were read last

    # The owner's side ----------------------------------------------------------------------------

    def begin(self, generation: int, inode: int) -> None:
        """This process owns it from now on."""
        self._data[self._offset : self._offset + HALF_SIZE] = bytes(HALF_SIZE)
        HALF_HEADER.pack_into(self._data, self._offset, MAGIC, VERSION, Stage.STARTING, generation, inode, 0, 0, 0)

    def set_stage(self, stage: Stage) -> None:
        """Publish its stage."""
        struct.pack_into("<H", self._data, self._offset + 6, stage)

    def set_in_flight(self, count: int) -> None:
        """Publish how many attempts are in flight."""
        COUNT.pack_into(self._data, self._offset + IN_FLIGHT_OFFSET, count)

    def publish_wait(self, key: int, until: int, now: int) -> None:
        """A peer asked this process to wait."""
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

    # The other's side ----------------------------------------------------------------------------

    def read(self) -> tuple[Stage, int, int, int] | None:
        """Stage, generation, inode and attempts in flight; None where no process of this version wrote it."""
        magic, version, stage, generation, inode, in_flight, _published, _count = HALF_HEADER.unpack_from(
            self._data, self._offset
        )
        if (magic, version) != (MAGIC, VERSION) or stage not in Stage.__members__.values():
            return None
        return Stage(stage), generation, inode, in_flight

    def wait_until(self, key: int) -> int:
        """Until when its process was asked to wait; 0 where it was not."""
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
    """The file, created where it is missing. Raises OSError."""

    def __init__(self, folder: Path) -> None:
        handle = os.open(folder / FILE_NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            if os.fstat(handle).st_size != BOARD_SIZE:
                # Written and not only extended: a hole that cannot be filled would kill the process at its first use.
                if os.pwrite(handle, bytes(BOARD_SIZE), 0) != BOARD_SIZE:
                    raise OSError(errno.ENOSPC, "no space for the board")
                os.ftruncate(handle, BOARD_SIZE)
            self._data = mmap.mmap(handle, BOARD_SIZE)
        finally:
            os.close(handle)

    def halves(self) -> tuple[BoardHalf, BoardHalf]:
        """Both halves, of which the caller owns one at most."""
        return BoardHalf(self._data, 0), BoardHalf(self._data, 1)
