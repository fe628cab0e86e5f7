"""Compaction: replaces the batch files by a snapshot once they are too many or too large."""

from __future__ import annotations

from lynxscale.coordination.key_value_table import KeyValueTable
from lynxscale.coordination.messages import Position, Put
from lynxscale.coordination.snapshot_writer import BackgroundSnapshot, SnapshotWriter
from lynxscale.coordination.version_files import VersionFiles

MAX_BATCH_FILES = 1000
# A snapshot is due once the batch files exceed the size of the last snapshot by this amount.
MIN_COMPACTION_BYTES = 1_000_000
RETRY_AFTER_FILES = 200  # additional batch files before a failed compaction is attempted again


def puts_of(table: KeyValueTable) -> list[Put]:
    """All entries of a table as puts, the form in which a snapshot stores them."""
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
        self._snapshot_bytes = snapshot_bytes  # size of the last snapshot written or loaded
        self._retry_at_files = 0

    def batch_saved(self, size: int) -> None:
        """Count one more batch file of ``size`` bytes."""
        self._batch_files += 1
        self._batch_bytes += size

    def snapshot_saved(self, size: int) -> None:
        """Record the size in bytes of a snapshot that was written."""
        self._snapshot_bytes = size

    def reset(self) -> None:
        """Reset the counts: all batch files were removed."""
        self._batch_files = self._batch_bytes = 0

    def compact_if_due(self, position: Position, table: KeyValueTable) -> None:
        """Begin a snapshot of the state at a position if a limit is exceeded. Raises OSError."""
        if self._due:
            self.compact(position, table)

    def compact(self, position: Position, table: KeyValueTable) -> None:
        """Begin a snapshot of the state at a position unless one is already being written. Raises OSError."""
        if self._snapshot.active:
            return
        covered_files, covered_bytes = self._batch_files, self._batch_bytes

        def compacted(writer: SnapshotWriter) -> None:
            self._snapshot_bytes = writer.bytes
            self._versions.remove_superseded(position)
            self._batch_files -= covered_files
            self._batch_bytes -= covered_bytes
            self._retry_at_files = 0

        # A failed snapshot loses nothing because the batches remain, but each attempt writes the complete state:
        # wait for more batch files before the next one.
        self._retry_at_files = self._batch_files + RETRY_AFTER_FILES
        self._snapshot.start(self._versions.create_snapshot(position, puts_of(table)), compacted)

    @property
    def _due(self) -> bool:
        too_large = self._batch_bytes > MIN_COMPACTION_BYTES + self._snapshot_bytes
        too_many = self._batch_files > MAX_BATCH_FILES
        return (too_large or too_many) and self._batch_files >= self._retry_at_files
