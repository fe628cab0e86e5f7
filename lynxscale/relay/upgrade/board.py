"""What two processes of one relay tell each other while both live: a small shared file, each its own half.

Little endian. A half: magic, version, stage, generation, inode of the listening socket, tries that are out, how often
waits were told, number of waits; then the waits, a destination and until when each, in µs of the monotonic clock, which
all processes of a machine read alike. Only its owner writes a half; a reader that meets one in the middle of a change
takes a wait that is over or not yet told, and sees it whole a moment later.
"""

from __future__ import annotations

import mmap
import os
import struct
from enum import IntEnum
from pathlib import Path

MAGIC, VERSION = b"LXUP", 1
HEAD = struct.Struct("<4sHHQQIII")
WAIT = struct.Struct("<qQ")
HALF = 4096
MOST_WAITS = (HALF - HEAD.size) // WAIT.size
SIZE = 2 * HALF
NAME = "board"
OUT_AT, TOLD_AT = HEAD.size - 12, HEAD.size - 8
COUNT = struct.Struct("<I")


class Stage(IntEnum):
    """Where a process stands."""

    NONE = 0
    STARTING = 1
    READY = 2  # it could take clients
    SERVING = 3
    HANDING = 4  # it has let go of the listening socket


class Half:
    """One process's half of the file."""

    def __init__(self, data: mmap.mmap, place: int) -> None:
        self._data, self._at, self.place = data, place * HALF, place
        self._waits: dict[int, int] = {}
        self._seen = -1

    # The owner's side ----------------------------------------------------------------------------

    def begin(self, generation: int, inode: int) -> None:
        self._data[self._at : self._at + HALF] = bytes(HALF)
        HEAD.pack_into(self._data, self._at, MAGIC, VERSION, Stage.STARTING, generation, inode, 0, 0, 0)

    def enter(self, stage: Stage) -> None:
        struct.pack_into("<H", self._data, self._at + 6, stage)

    def out(self, count: int) -> None:
        COUNT.pack_into(self._data, self._at + OUT_AT, count)

    def tell(self, dest: int, until: int, now: int) -> None:
        """A partner told this process to wait."""
        waits = self._waits
        if waits.get(dest, 0) >= until:
            return
        waits[dest] = until
        if len(waits) > MOST_WAITS:
            for over in [one for one, end in waits.items() if end <= now] or [min(waits, key=waits.__getitem__)]:
                del waits[over]
        rows = b"".join(WAIT.pack(*row) for row in waits.items())
        self._data[self._at + HEAD.size : self._at + HEAD.size + len(rows)] = rows
        told = COUNT.unpack_from(self._data, self._at + TOLD_AT)[0]
        struct.pack_into("<II", self._data, self._at + TOLD_AT, (told + 1) & 0xFFFFFFFF, len(waits))

    # The other's side ----------------------------------------------------------------------------

    def read(self) -> tuple[Stage, int, int, int] | None:
        """Stage, generation, inode and tries out; None where nobody of this version wrote it."""
        magic, version, stage, generation, inode, out, _told, _count = HEAD.unpack_from(self._data, self._at)
        if (magic, version) != (MAGIC, VERSION) or stage not in Stage.__members__.values():
            return None
        return Stage(stage), generation, inode, out

    def wait_until(self, dest: int) -> int:
        """Until when its process was told to wait; 0 for never."""
        told, count = struct.unpack_from("<II", self._data, self._at + TOLD_AT)
        if told != self._seen:
            rows = self._data[self._at + HEAD.size : self._at + HEAD.size + min(count, MOST_WAITS) * WAIT.size]
            self._waits, self._seen = dict(WAIT.iter_unpack(rows)), told
        return self._waits.get(dest, 0)


class Board:
    """The file, made where it is missing. Raises OSError."""

    def __init__(self, folder: Path) -> None:
        handle = os.open(folder / NAME, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            if os.fstat(handle).st_size != SIZE:
                # Written and not only made long: a hole that cannot be filled would end the process at its first use.
                if os.pwrite(handle, bytes(SIZE), 0) != SIZE:
                    raise OSError(28, "no space for the board")
                os.ftruncate(handle, SIZE)
            self._data = mmap.mmap(handle, SIZE)
        finally:
            os.close(handle)

    def halves(self) -> tuple[Half, Half]:
        return Half(self._data, 0), Half(self._data, 1)
