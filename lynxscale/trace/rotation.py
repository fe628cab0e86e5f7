"""The recorder's files: one that grows, closed by size and age, and the oldest taken away within a total.

A frame is one append. A full block is sealed in place: its compressed copy is appended, then written over the open
block, then the file is cut behind it. A kill at any byte of that leaves one whole copy (docs/design/trace.md).

A disk that is full, fails or is slow costs records, which are counted, and nothing else: the file is left as it is,
and a new one is tried after a pause that doubles.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

from lynxscale.relay.conf.settings import TraceConf
from lynxscale.trace import head as h
from lynxscale.trace import v2
from lynxscale.trace.frames import Frame
from lynxscale.trace.writer import FILE_MODE

SUFFIX = ".lxt"
FIRST_PAUSE, LONGEST_PAUSE = 1_000_000, 60_000_000  # µs until a new file is tried after a failure
SLOW = 250_000  # µs of one write from which on the disk is held for failing


@dataclass(slots=True)
class Dropped:
    """What could not be written, until that is told in the trace itself."""

    records: int = 0
    bytes: int = 0
    first: int = 0
    last: int = 0
    reason: str = ""


class Files:
    """Where frames go. Nothing here raises for what the disk does; ``told`` is called with an event and its fields."""

    def __init__(
        self,
        conf: TraceConf,
        name: str,
        told: Callable[..., None],
        clock: Callable[[], int] = lambda: time.monotonic_ns() // 1000,
    ) -> None:
        assert conf.folder is not None
        self._conf, self._folder, self._told, self._clock = conf, Path(conf.folder), told, clock
        self._name = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:80]
        self._packer, self._index = v2.Packer(conf.block), v2.IndexBuilder()
        self._fd, self._path, self._count = -1, Path(), 0
        self._end = self._block_at = 0  # offsets of the file's end and of the block that is open
        self._opened = 0
        self._older: list[tuple[Path, int]] = []  # the oldest first
        self._older_bytes = 0
        self._try_at, self._pause = 0, FIRST_PAUSE
        self.dropped = Dropped()

    @property
    def failing(self) -> bool:
        """The last write failed, and the pause after it is not over."""
        return self._fd < 0 and self._clock() < self._try_at

    @property
    def begins(self) -> bool:
        """The next frame is the first of a file."""
        return self._fd < 0 and self._clock() >= self._try_at

    def put(self, frames: list[Frame]) -> bool:
        """Write frames to one file; false where any was dropped, and counted."""
        now = self._clock()
        if self._fd < 0 and now < self._try_at:
            self._drop(frames)
            return False
        written = 0  # so many frames are in the file
        try:
            if self._fd < 0:
                self._open(now)
            data, packer = bytearray(), self._packer
            for place, frame in enumerate(frames, 1):
                first = not packer.raw
                payload = packer.add(frame)
                if first:
                    self._block_at = self._end
                    data += packer.head()
                data += h.pack_frame(payload)
                if packer.full or place == len(frames):
                    self._write(data, self._end)
                    self._end += len(data)
                    written = place
                    data.clear()
                    if packer.full:
                        self._seal()
            if self._end >= self._conf.file_size or now - self._opened >= self._conf.file_age:
                self.close()
            self._make_room()
        except (OSError, ValueError) as error:
            self._failed(error, now)
            self._drop(frames[written:])
            return False
        if (spent := self._clock() - now) > SLOW:
            self._told("trace_slow", spent_ms=spent // 1000)
            self._leave(self._clock())
        return True

    def _drop(self, frames: list[Frame]) -> None:
        for frame in frames:
            self.drop(len(frame.records), frame.time, "disk")

    def drop(self, records: int, time_: int, reason: str) -> None:
        """Count records of that time which are not written."""
        one = self.dropped
        one.first = one.first if one.records else time_
        one.last, one.reason = time_, reason
        one.records += records

    # The file ------------------------------------------------------------------------------------

    def _open(self, now: int) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._look()
        stamp = time.strftime("%Y%m%dT%H%M%S", time.gmtime())
        self._count += 1
        self._path = self._folder / f"{self._name}-{stamp}-{os.getpid()}-{self._count:04d}{SUFFIX}"
        flags = os.O_RDWR | os.O_CREAT | os.O_EXCL | os.O_CLOEXEC
        self._fd = os.open(self._path, flags, FILE_MODE)
        self._end, self._opened = 0, now
        self._packer, self._index = v2.Packer(self._conf.block), v2.IndexBuilder()
        head = h.pack_head(h.Head(2, 0, time.time_ns() // 1000, "lynxscale"))
        self._write(head, 0)
        self._end = len(head)

    def _look(self) -> None:
        """The files that are there; those of an earlier process or of another relay count too."""
        found = []
        for path in self._folder.glob(f"*{SUFFIX}"):
            with suppress(OSError):
                state = path.stat()
                found.append((state.st_mtime_ns, path, state.st_size))
        self._older = [(path, size) for _at, path, size in sorted(found)]
        self._older_bytes = sum(size for _path, size in self._older)

    def _make_room(self) -> None:
        """Guards the total: the oldest file goes while there is too little room for one more block, twice."""
        reserve = 2 * self._conf.block
        while self._older and self._older_bytes + self._end + reserve > self._conf.total:
            path, size = self._older.pop(0)
            self._older_bytes -= size
            path.unlink(missing_ok=True)
            self._told("trace_file_removed", file=path.name, bytes=size)

    def _write(self, data: bytes | bytearray, at: int) -> None:
        written = os.pwrite(self._fd, data, at)
        if written != len(data):
            raise OSError("the disk took only part of it")

    def _seal(self) -> None:
        data, size = self._packer.seal(), self._end - self._block_at
        if len(data) < size:
            try:
                self._write(data, self._end)
            except OSError:
                os.ftruncate(self._fd, self._end)  # no room for the copy: the block stays as it is
            else:
                self._end += len(data)  # should the next step fail, the copy stays
                self._write(data, self._block_at)
                os.ftruncate(self._fd, self._block_at + len(data))
                self._end = self._block_at + len(data)
        self._close_block()

    def _close_block(self) -> None:
        self._index.add(v2.Place(self._block_at, self._end - self._block_at, self._packer.number, self._packer.summary))
        self._packer.next()

    def close(self) -> None:
        """End the file that is open with its index."""
        if self._fd < 0:
            return
        try:
            if self._packer.raw:
                self._seal()
            index = self._index.pack(self._end)
            try:
                self._write(index, self._end)
            except OSError:
                os.ftruncate(self._fd, self._end)  # it is read by a scan
        except OSError as error:
            self._told("trace_failed", file=self._path.name, error=str(error))
        self._shut()

    def _shut(self) -> None:
        fd, self._fd = self._fd, -1
        with suppress(OSError):
            os.close(fd)
        with suppress(OSError):
            if not self._end:
                self._path.unlink()  # not even its head could be written
                return
            size = self._path.stat().st_size
            self._older.append((self._path, size))
            self._older_bytes += size

    def _failed(self, error: Exception, now: int) -> None:
        if self._fd >= 0:
            with suppress(OSError):
                os.ftruncate(self._fd, self._end)  # what was written of the last frame
        self._told("trace_failed", file=self._path.name, error=str(error), pause_ms=self._pause // 1000)
        self._leave(now)

    def _leave(self, now: int) -> None:
        """Write nothing for a while, and then to a new file."""
        if self._fd >= 0:
            self._shut()
        self._packer.next()
        self._try_at = now + self._pause
        self._pause = min(self._pause * 2, LONGEST_PAUSE)

    def recovered(self) -> None:
        """What was dropped has been told in the trace."""
        self.dropped = Dropped()
        self._pause = FIRST_PAUSE
