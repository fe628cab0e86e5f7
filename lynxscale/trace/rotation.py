"""The files of the recorder: the open file is closed by size or age, and the oldest are removed to keep a total size.

Frames are appended. A full block is sealed in place: its compressed copy is appended, then written over the open block,
then the file is truncated after it. A kill at any byte of that leaves one complete copy (docs/design/trace.md).

A full, failing or slow disk costs only records, which are counted: the file is left as it is, and a new one is opened
after a pause that doubles with each failure.
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
MIN_PAUSE_US, MAX_PAUSE_US = 1_000_000, 60_000_000  # until a new file is opened after a failure
SLOW_WRITE_US = 250_000  # a longer write is handled as a failure of the disk


@dataclass(slots=True)
class Dropped:
    """Records that could not be written, until the trace itself has a record of them."""

    records: int = 0
    bytes: int = 0
    first: int = 0
    last: int = 0
    reason: str = ""


class Files:
    """Writes frames to rotating files.

    No method raises for an error of the disk; ``report_event`` is called with the name of a log event and its fields.
    """

    def __init__(
        self,
        conf: TraceConf,
        name: str,
        report_event: Callable[..., None],
        clock: Callable[[], int] = lambda: time.monotonic_ns() // 1000,
    ) -> None:
        assert conf.folder is not None
        self._conf, self._folder, self._report_event, self._clock = conf, Path(conf.folder), report_event, clock
        self._name = "".join(c if c.isalnum() or c in "-_" else "_" for c in name)[:80]
        self._packer, self._index = v2.Packer(conf.block), v2.IndexBuilder()
        self._fd, self._path, self._count = -1, Path(), 0
        self._end = self._block_at = 0  # offsets of the end of the file and of the open block
        self._opened = 0
        self._closed_files: list[tuple[Path, int]] = []  # path and size, oldest first
        self._closed_bytes = 0
        self._try_at, self._pause = 0, MIN_PAUSE_US
        self.dropped = Dropped()

    @property
    def failing(self) -> bool:
        """Whether the pause after a failed write is not over."""
        return self._fd < 0 and self._clock() < self._try_at

    @property
    def starts_file(self) -> bool:
        """Whether the next frame is the first of a file."""
        return self._fd < 0 and self._clock() >= self._try_at

    def put(self, frames: list[Frame]) -> bool:
        """Write frames to one file; return False if any was dropped, and count its records."""
        now = self._clock()
        if self._fd < 0 and now < self._try_at:
            self._drop_frames(frames)
            return False
        written = 0  # number of frames that are in the file
        try:
            if self._fd < 0:
                self._open(now)
            data, packer = bytearray(), self._packer
            for count, frame in enumerate(frames, 1):
                first = not packer.raw
                payload = packer.add(frame)
                if first:
                    self._block_at = self._end
                    data += packer.head()
                data += h.pack_frame(payload)
                if packer.full or count == len(frames):
                    self._write(data, self._end)
                    self._end += len(data)
                    written = count
                    data.clear()
                    if packer.full:
                        self._seal()
            if self._end >= self._conf.file_size or now - self._opened >= self._conf.file_age:
                self.close()
            self._remove_oldest()
        except (OSError, ValueError) as error:
            self._handle_failure(error, now)
            self._drop_frames(frames[written:])
            return False
        if (spent := self._clock() - now) > SLOW_WRITE_US:
            self._report_event("trace_slow", spent_ms=spent // 1000)
            self._pause_writing(self._clock())
        return True

    def _drop_frames(self, frames: list[Frame]) -> None:
        for frame in frames:
            self.drop(len(frame.records), frame.time, "disk")

    def drop(self, records: int, time_: int, reason: str) -> None:
        """Count records that are not written, and the time of the latest."""
        dropped = self.dropped
        dropped.first = dropped.first if dropped.records else time_
        dropped.last, dropped.reason = time_, reason
        dropped.records += records

    # The file ------------------------------------------------------------------------------------

    def _open(self, now: int) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        self._scan_folder()
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

    def _scan_folder(self) -> None:
        """List the files in the folder, including those of earlier processes and of other relays."""
        found = []
        for path in self._folder.glob(f"*{SUFFIX}"):
            with suppress(OSError):
                state = path.stat()
                found.append((state.st_mtime_ns, path, state.st_size))
        self._closed_files = [(path, size) for _at, path, size in sorted(found)]
        self._closed_bytes = sum(size for _path, size in self._closed_files)

    def _remove_oldest(self) -> None:
        """Remove the oldest files until the total leaves room for two copies of a block, as sealing needs."""
        reserve = 2 * self._conf.block
        while self._closed_files and self._closed_bytes + self._end + reserve > self._conf.total:
            path, size = self._closed_files.pop(0)
            self._closed_bytes -= size
            path.unlink(missing_ok=True)
            self._report_event("trace_file_removed", file=path.name, bytes=size)

    def _write(self, data: bytes | bytearray, at: int) -> None:
        written = os.pwrite(self._fd, data, at)
        if written != len(data):
            raise OSError("short write: only part of the data was written")

    def _seal(self) -> None:
        data, size = self._packer.seal(), self._end - self._block_at
        if len(data) < size:
            try:
                self._write(data, self._end)
            except OSError:
                os.ftruncate(self._fd, self._end)  # no space for the copy: the block stays uncompressed
            else:
                self._end += len(data)  # if the next step fails, the copy stays in the file
                self._write(data, self._block_at)
                os.ftruncate(self._fd, self._block_at + len(data))
                self._end = self._block_at + len(data)
        self._close_block()

    def _close_block(self) -> None:
        self._index.add(v2.Place(self._block_at, self._end - self._block_at, self._packer.number, self._packer.summary))
        self._packer.next()

    def close(self) -> None:
        """Write the index and close the open file."""
        if self._fd < 0:
            return
        try:
            if self._packer.raw:
                self._seal()
            index = self._index.pack(self._end)
            try:
                self._write(index, self._end)
            except OSError:
                os.ftruncate(self._fd, self._end)  # a file without an index is read by a scan
        except OSError as error:
            self._report_event("trace_failed", file=self._path.name, error=str(error))
        self._close_fd()

    def _close_fd(self) -> None:
        fd, self._fd = self._fd, -1
        with suppress(OSError):
            os.close(fd)
        with suppress(OSError):
            if not self._end:
                self._path.unlink()  # not even the head was written
                return
            size = self._path.stat().st_size
            self._closed_files.append((self._path, size))
            self._closed_bytes += size

    def _handle_failure(self, error: Exception, now: int) -> None:
        if self._fd >= 0:
            with suppress(OSError):
                os.ftruncate(self._fd, self._end)  # remove the partly written frame
        self._report_event("trace_failed", file=self._path.name, error=str(error), pause_ms=self._pause // 1000)
        self._pause_writing(now)

    def _pause_writing(self, now: int) -> None:
        """Close the file and write nothing for a while; the next frames go to a new file."""
        if self._fd >= 0:
            self._close_fd()
        self._packer.next()
        self._try_at = now + self._pause
        self._pause = min(self._pause * 2, MAX_PAUSE_US)

    def recovered(self) -> None:
        """Reset the counts after the trace has recorded what was dropped."""
        self.dropped = Dropped()
        self._pause = MIN_PAUSE_US
