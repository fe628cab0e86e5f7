"""Scrub of a member's own files while it runs: each is read again and again, and its checksum is compared.

A disk may spoil what it once stored, and a start would be too late to notice: by then another replica may be lost.
The memory of a running member holds all that its files do, so a damaged file is replaced from there: a version file by
a snapshot of the present state, the acceptor's state and the watermark by being written anew.

The scrub is paced: a step, every ``STEP_INTERVAL_S``, reads ``STEP_FILES`` files at most, and nothing more once it has
read ``STEP_BYTES``; a single read is of no more than that.
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
STEP_BYTES = 64 * 1024  # at most twice as many a step, so 512 KiB a second
STEP_FILES = 8
ACCEPTOR_FILES = frozenset((ACCEPTOR_STATE_FILE, ACCEPTOR_STATE_FILE + SECOND_FILE_SUFFIX))
WATERMARK_FILES = frozenset((WATERMARK_FILE, WATERMARK_FILE + SECOND_FILE_SUFFIX))


@dataclass(slots=True)
class FileCheck:
    """The file that is being read: how far, the CRC-32 of its content so far, and its last bytes."""

    name: str
    offset: int = 0
    checksum: int = 0
    last_bytes: bytes = b""

    def feed(self, chunk: bytes) -> None:
        """Take the next chunk; the last ``CHECKSUM_BYTES`` of the file are the stored checksum, not content."""
        data = self.last_bytes + chunk
        self.checksum = zlib.crc32(data[:-CHECKSUM_BYTES], self.checksum)
        self.last_bytes = data[-CHECKSUM_BYTES:]
        self.offset += len(chunk)

    @property
    def intact(self) -> bool:
        """Is the stored checksum that of the content? Of use once the complete file was read."""
        return self.last_bytes == encode_checksum(self.checksum)


class FileScrub:
    """Reads the files of one folder in turn. ``on_damage(name)`` is called for each that is damaged."""

    def __init__(self, files: Files, on_damage: Callable[[str], None]) -> None:
        self.cycles = 0  # how often all files were read
        self._files = files
        self._on_damage = on_damage
        self._names: list[str] = []  # still to be read in this cycle, the next one last
        self._current: FileCheck | None = None

    def step(self) -> None:
        """Read the next chunks."""
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
        """Read a chunk of a file, and judge the file at its end; the number of bytes read.

        A small file is read in one chunk: some are replaced by others of their name at any time.
        """
        try:
            chunk = self._files.read_chunk(check.name, check.offset, STEP_BYTES)
        except OSError:
            chunk = b""  # unreadable: what was read so far does not match a checksum
            check.last_bytes = b""
        self._current = None
        if chunk is None:
            return 0  # removed meanwhile: a snapshot has taken its place
        check.feed(chunk)
        if len(chunk) == STEP_BYTES:
            self._current = check
        elif not check.intact:
            self._on_damage(check.name)
        return len(chunk)


def is_checksummed(name: str) -> bool:
    """Is it a file of this program that ends with a checksum?"""
    return position_of(name) is not None or name in ACCEPTOR_FILES or name in WATERMARK_FILES


class StorageScrub:
    """Scrubs the files of one member, and repairs them from its memory.

    ``memory_is_at_position()``: is the store's memory the state at the store's position? Only then may it be written.
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
        """How often all files were read."""
        return self._scrub.cycles

    def tick(self, now: float) -> None:
        """Called several times a second; ``now`` in seconds of the steady clock. Raises OSError of a repair."""
        if self._repair_due and self._memory_is_at_position():
            self._repair_due = False
            self._store.replace_files()
        if self._store.intact and now - self._step_at >= STEP_INTERVAL_S:
            self._step_at = now
            self._scrub.step()

    def _on_damage(self, name: str) -> None:
        """A version file is replaced once the memory allows it; of the others there are two, and both are written."""
        log.error("event=file_damaged name=%s", name)
        if name in ACCEPTOR_FILES:
            self._acceptor.rewrite()
        elif name in WATERMARK_FILES:
            self._store.rewrite_watermark()
        else:
            self._repair_due = True
