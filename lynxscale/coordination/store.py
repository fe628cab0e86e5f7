"""The replicated state of one member: keys and values in memory, and version files on disk.

``recovery`` loads the state, ``compaction`` replaces batch files by snapshots, and ``digest_history`` holds the
checksums that the scrub compares.
"""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lynxscale.coordination.compaction import Compactor, puts_of
from lynxscale.coordination.digest_history import DigestHistory
from lynxscale.coordination.key_value_table import KeyValueTable
from lynxscale.coordination.messages import Batch, Position, Put
from lynxscale.coordination.ports import Files
from lynxscale.coordination.recent_batches import RecentBatches
from lynxscale.coordination.recovery import recover
from lynxscale.coordination.snapshot_writer import BackgroundSnapshot, Defer, SnapshotWriter, run_immediately
from lynxscale.coordination.version_files import INITIAL_POSITION, VersionFiles

NO_POSITION = Position(-1, -1)  # durable position of a member whose files have a gap: no data that it holds counts
REMOVED = msgspec.Raw(b"null")


class Store:
    """The state at ``position``. ``apply`` changes the memory, ``save`` makes the same batch durable, in either order.

    ``defer`` makes a call in a later iteration of the event loop; snapshots are written in such deferred steps.
    """

    def __init__(self, files: Files, defer: Defer = run_immediately) -> None:
        self._versions = VersionFiles(files)
        state = recover(files, self._versions.load_watermark())
        self.damage = state.damage
        self.position = state.position
        self.recent_batches = state.recent_batches
        self._table = state.table
        self._watermark = INITIAL_POSITION  # watermark saved last by this process
        self._snapshot = BackgroundSnapshot(defer)
        self._compactor = Compactor(
            self._versions, self._snapshot, state.batch_files, state.batch_bytes, state.snapshot_bytes
        )
        self._digests = DigestHistory()
        self._digests.record(self.position, self.checksum())

    @property
    def intact(self) -> bool:
        """Whether the files hold everything that was stored; if not, only another member's snapshot repairs them."""
        return not self.damage

    @property
    def values(self) -> dict[str, msgspec.Raw]:
        """All JSON values by key; to be changed only by ``apply``."""
        return self._table.entries

    @property
    def size_bytes(self) -> int:
        """The bytes of all keys and values."""
        return self._table.size_bytes

    @property
    def durable_position(self) -> Position:
        """The position up to which this replica is durable; ``NO_POSITION`` while data is missing."""
        return self.position if self.intact else NO_POSITION

    # Batches -----------------------------------------------------------------------------------------

    def apply(self, puts: tuple[Put, ...]) -> None:
        """Change the values in memory."""
        self._table.apply(puts)

    def undo_of(self, puts: tuple[Put, ...]) -> tuple[Put, ...]:
        """Puts that restore the current values of the keys that ``puts`` change."""
        return tuple(Put(put.key, self.values.get(put.key, REMOVED)) for put in puts)

    def save(self, batch: Batch) -> None:
        """Write the batch file and advance to its position. If OSError is raised, the position is unchanged."""
        self._compactor.batch_saved(self._versions.save(batch))
        self.position = batch.position
        self.recent_batches.add(batch)

    def complete_batch(self) -> None:
        """Must be called after each batch, once the state in memory is that at ``position``. Raises OSError."""
        self._digests.record(self.position, self.checksum())
        self._compactor.compact_if_due(self.position, self._table)

    def batch_after(self, position: Position) -> Batch | None:
        """The batch that follows a position, None if it is no longer in memory."""
        return self.recent_batches.after(position)

    def continues_from(self, position: Position) -> bool:
        """Whether the batches in memory lead from ``position`` to the current one."""
        return position == self.position or self.recent_batches.continues_from(position)

    def save_watermark(self) -> None:
        """Write the watermark if the position has changed. Raises OSError."""
        if self.intact and self.position != self._watermark:
            self._versions.save_watermark(self.position)
            self._watermark = self.position

    def rewrite_watermark(self) -> None:
        """Write the watermark again because one of its files is damaged. Raises OSError."""
        self._watermark = INITIAL_POSITION
        self.save_watermark()

    def replace_files(self) -> None:
        """Replace all version files by a snapshot, because one is damaged. Raises OSError, here or in a later step.

        The state in memory must be that at ``position``. The files are kept until the snapshot is durable.
        """
        if self.intact:
            self._compactor.compact(self.position, self._table)

    # Digests -----------------------------------------------------------------------------------------

    def checksum(self) -> int:
        """Checksum of all keys and values; equal on members with equal state."""
        return self._table.checksum

    def checksum_at(self, position: Position) -> int | None:
        """Checksum of the state at a position; None if no recent batch on this member ended there."""
        return self._digests.at(position)

    # Snapshots ---------------------------------------------------------------------------------------

    def install(self, position: Position, table: KeyValueTable, on_installed: Callable[[], None]) -> None:
        """Replace the state by a snapshot from another member; ``on_installed()`` is called once it is durable.

        Raises OSError, here or in a later step; the state is then unchanged.
        """
        self._snapshot.cancel()

        def installed(writer: SnapshotWriter) -> None:
            self._compactor.snapshot_saved(writer.bytes)
            self._versions.remove_others(position)
            self.position, self._table, self.damage = position, table, []
            self.recent_batches = RecentBatches()
            self._compactor.reset()
            self._digests.clear()
            self._digests.record(self.position, self.checksum())
            on_installed()

        self._snapshot.start(self._versions.create_snapshot(position, puts_of(table)), installed)
