"""The version files of a store: one batch file per position, and occasional snapshot files.

A batch file ``batch-INDEX-EPOCH`` holds the batch that leads to the position in its name, a snapshot file
``state-INDEX-EPOCH`` the complete state at that position, and ``mark`` the watermark: a position known to be stored.

A removed batch file that reappears after a power loss is harmless: a batch is applied only at the exact position that
it was made for. Missing files are detected by three signs that do not fail together: a later batch without its
predecessor, a damaged file, and the watermark.
"""

from __future__ import annotations

import re

import msgspec

from lynxscale.coordination.checksummed_file import ChecksummedFilePair, append_checksum
from lynxscale.coordination.messages import Batch, Position, Put
from lynxscale.coordination.ports import Files
from lynxscale.coordination.snapshot_writer import SnapshotWriter

BATCH_PREFIX, SNAPSHOT_PREFIX = "batch-", "state-"
WATERMARK_FILE = "mark"
INITIAL_POSITION = Position(0, 0)
_VERSION_NAME = re.compile(r"(?:batch|state)-(\d+)-(\d+)")


def version_name(prefix: str, position: Position) -> str:
    """The name of a version file; names sort by index, then by epoch."""
    return f"{prefix}{position.index:012d}-{position.epoch:08d}"


def position_of(name: str) -> Position | None:
    """The position in a version file's name, None for other files."""
    match = _VERSION_NAME.fullmatch(name)
    return Position(int(match[2]), int(match[1])) if match else None


class VersionFiles:
    """Writes and removes the version files of one store."""

    def __init__(self, files: Files) -> None:
        self._files = files
        self._watermark = ChecksummedFilePair(files, WATERMARK_FILE)

    def save(self, batch: Batch) -> int:
        """Write a batch file and return its size in bytes. Raises OSError."""
        content = append_checksum(msgspec.json.encode(batch))
        self._files.write(version_name(BATCH_PREFIX, batch.position), content)
        return len(content)

    def save_watermark(self, position: Position) -> None:
        """Record in a separate file that this position is stored. Raises OSError."""
        self._watermark.save(msgspec.json.encode(position))

    def load_watermark(self) -> Position | None:
        """The watermark saved last, None if there is none."""
        content = self._watermark.load()
        return None if content is None else msgspec.json.decode(content, type=Position)

    def create_snapshot(self, position: Position, puts: list[Put]) -> SnapshotWriter:
        """Begin a snapshot file. Raises OSError."""
        return SnapshotWriter(self._files.create(version_name(SNAPSHOT_PREFIX, position)), position, puts)

    def remove_superseded(self, position: Position) -> None:
        """Remove the version files that the snapshot at a position supersedes."""
        snapshot = version_name(SNAPSHOT_PREFIX, position)
        for name in self._files.names():
            other = position_of(name)
            if other is not None and name != snapshot and other.index <= position.index:
                self._files.remove(name)

    def remove_others(self, position: Position) -> None:
        """Remove all version files but the snapshot at a position: they belong to the replaced state or are damaged."""
        snapshot = version_name(SNAPSHOT_PREFIX, position)
        for name in self._files.names():
            if name != snapshot and position_of(name) is not None:
                self._files.remove(name)
