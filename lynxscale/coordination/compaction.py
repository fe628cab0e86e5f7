"""Compaction: once the batch files have become many, a snapshot takes their place."""

from __future__ import annotations

from lynxscale.coordination.key_value_table import KeyValueTable
from lynxscale.coordination.messages import Position, Put
from lynxscale.coordination.snapshot_writer import BackgroundSnapshot, SnapshotWriter
from lynxscale.coordination.version_files import VersionFiles

MAX_BATCH_FILES = 1000
MIN_BATCH_BYTES = 1_000_000  # beyond the size of the last snapshot, before the next one is written
RETRY_AFTER_FILES = 200  # further batch files after an attempt that failed


def puts_of(table: KeyValueTable) -> list[Put]:
    """All entries of a table, as a snapshot holds them."""
    return [Put(key, value) for key, value in table.entries.items()]


class Compactor:
    """Counts the batch files of a store and replaces them by a snapshot."""

    def __init__(
        self,
        versions: VersionFiles,
        snapshot: BackgroundSnapshot,
        batch_files: int,
        batch_bytes: int,
        snapshot_bytes: int,
    ) -> None:
        self._versions = versions
        self._snapshot = snapshot
        self._batch_files = batch_files
        self._batch_bytes = batch_bytes
        self._snapshot_bytes = snapshot_bytes  # of the last snapshot written or loaded
        self._not_before_files = 0

    def batch_saved(self, size: int) -> None:
        """Count one more batch file of so many bytes."""
        self._batch_files += 1
        self._batch_bytes += size

    def snapshot_saved(self, size: int) -> None:
        """Note the size in bytes of a snapshot that was written."""
        self._snapshot_bytes = size

    def reset(self) -> None:
        """All batch files were removed."""
        self._batch_files = self._batch_bytes = 0

    def compact_if_due(self, position: Position, table: KeyValueTable) -> None:
        """Begin a snapshot of the state at a position where a limit is exceeded. Raises OSError."""
        if self._due:
            self.compact(position, table)

    def compact(self, position: Position, table: KeyValueTable) -> None:
        """Begin a snapshot of the state at a position, unless one is being written. Raises OSError."""
        if self._snapshot.active:
            return
        covered_files, covered_bytes = self._batch_files, self._batch_bytes

        def compacted(writer: SnapshotWriter) -> None:
            self._snapshot_bytes = writer.bytes
            self._versions.remove_superseded(position)
            self._batch_files -= covered_files
            self._batch_bytes -= covered_bytes
            self._not_before_files = 0

        # A failed snapshot loses nothing, as the batches remain; each attempt writes the complete state.
        self._not_before_files = self._batch_files + RETRY_AFTER_FILES
        self._snapshot.start(self._versions.create_snapshot(position, puts_of(table)), compacted)

    @property
    def _due(self) -> bool:
        too_large = self._batch_bytes > MIN_BATCH_BYTES + self._snapshot_bytes
        too_many = self._batch_files > MAX_BATCH_FILES
        return (too_large or too_many) and self._batch_files >= self._not_before_files
