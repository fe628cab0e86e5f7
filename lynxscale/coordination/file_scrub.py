"""Scrubbing of a running member's files: reads each file periodically and verifies its checksum.

A disk may corrupt stored data (bit rot). Detecting that at the next start would be too late, because another replica
may be lost by then. A running member has the content of all its files in memory, so damaged files are rewritten from
there: version files are replaced by a snapshot of the current state; the acceptor state and the watermark are written
again.

The scrub is paced: every ``STEP_INTERVAL_S`` a step reads at most ``STEP_FILES`` files and starts no further read once
it has read ``STEP_BYTES``. A single read is of at most ``STEP_BYTES``.
"""

from __future__ import annotations

import logging
import zlib
from collections.abc import Callable
from dataclasses import dataclass

from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.acceptor_state import ACCEPTOR_STATE_FILE
from lynxscale.coordination.checksummed_file import CHECKSUM_BYTES, SECOND_FILE_SUFFIX, encode_checksum
from lynxscale.coordination.lease import NEVER
from lynxscale.coordination.ports import Files
from lynxscale.coordination.store import Store
from lynxscale.coordination.version_files import WATERMARK_FILE, position_of

log = logging.getLogger(__name__)

STEP_INTERVAL_S = 0.25
STEP_BYTES = 64 * 1024  # a step reads less than twice this, so the scrub reads at most 512 KiB per second
STEP_FILES = 8
ACCEPTOR_FILES = frozenset((ACCEPTOR_STATE_FILE, ACCEPTOR_STATE_FILE + SECOND_FILE_SUFFIX))
WATERMARK_FILES = frozenset((WATERMARK_FILE, WATERMARK_FILE + SECOND_FILE_SUFFIX))


@dataclass(slots=True)
class FileCheck:
    """Progress of reading one file: offset, CRC-32 of the content read so far, and the last bytes read."""

    name: str
    offset: int = 0
    checksum: int = 0
    last_bytes: bytes = b""

    def feed(self, chunk: bytes) -> None:
        """Process the next chunk. The last ``CHECKSUM_BYTES`` of the file are the stored checksum, not content."""
        data = self.last_bytes + chunk
        self.checksum = zlib.crc32(data[:-CHECKSUM_BYTES], self.checksum)
        self.last_bytes = data[-CHECKSUM_BYTES:]
        self.offset += len(chunk)

    @property
    def intact(self) -> bool:
        """Does the stored checksum match the content? Valid only after the complete file was read."""
        return self.last_bytes == encode_checksum(self.checksum)


class FileScrub:
    """Reads all checksummed files in turn, and calls ``on_damage(name)`` for each that is damaged."""

    def __init__(self, files: Files, on_damage: Callable[[str], None]) -> None:
        self.cycles = 0  # number of complete passes over all files
        self._files = files
        self._on_damage = on_damage
        self._names: list[str] = []  # files left in this cycle, in reverse order
        self._current: FileCheck | None = None

    def step(self) -> None:
        """Read chunks until the limits of one step are reached."""
        bytes_read = files_read = 0
        while bytes_read < STEP_BYTES and files_read < STEP_FILES:
            check = self._current or self._next_file()
            if check is None:
                return
            bytes_read += self._read_chunk(check)
            files_read += 1

    def _next_file(self) -> FileCheck | None:
        """The file to read next; None at the end of a cycle."""
        if not self._names:
            self._names = sorted(filter(is_checksummed, self._files.names()), reverse=True)
            self.cycles += 1
            return None
        return FileCheck(self._names.pop())

    def _read_chunk(self, check: FileCheck) -> int:
        """Read a chunk, verify the checksum at the end of the file, and return the number of bytes read.

        Small files may be replaced under the same name at any time; they are read in one chunk, hence consistently.
        """
        try:
            chunk = self._files.read_chunk(check.name, check.offset, STEP_BYTES)
        except OSError:
            chunk = b""  # an unreadable file counts as damaged: clearing ``last_bytes`` makes its check fail
            check.last_bytes = b""
        self._current = None
        if chunk is None:
            return 0  # removed since the cycle began: a snapshot replaced it
        check.feed(chunk)
        if len(chunk) == STEP_BYTES:
            self._current = check
        elif not check.intact:
            self._on_damage(check.name)
        return len(chunk)


def is_checksummed(name: str) -> bool:
    """Is this a file that ends with a checksum?"""
    return position_of(name) is not None or name in ACCEPTOR_FILES or name in WATERMARK_FILES


class StorageScrub:
    """Scrubs the files of one member, and repairs them from its memory.

    ``memory_is_at_position()``: whether the state in memory is that at the store's position; a repair waits for this.
    """

    def __init__(
        self, files: Files, acceptor: Acceptor, store: Store, memory_is_at_position: Callable[[], bool]
    ) -> None:
        self._acceptor = acceptor
        self._store = store
        self._memory_is_at_position = memory_is_at_position
        self._scrub = FileScrub(files, self._on_damage)
        self._step_at = NEVER
        self._repair_due = False

    @property
    def cycles(self) -> int:
        """Number of complete passes over all files."""
        return self._scrub.cycles

    def tick(self, now: float) -> None:
        """Called several times a second; ``now``: monotonic time in seconds. Raises OSError if a repair fails."""
        if self._repair_due and self._memory_is_at_position():
            self._repair_due = False
            self._store.replace_files()
        if self._store.intact and now - self._step_at >= STEP_INTERVAL_S:
            self._step_at = now
            self._scrub.step()

    def _on_damage(self, name: str) -> None:
        """Rewrite a pair of files immediately; version files are replaced in ``tick``, once the memory allows it."""
        log.error("event=file_damaged name=%s", name)
        if name in ACCEPTOR_FILES:
            self._acceptor.rewrite()
        elif name in WATERMARK_FILES:
            self._store.rewrite_watermark()
        else:
            self._repair_due = True
