"""The replicated state of one member: keys and values in memory, and its version files on disk.

``recovery`` loads it, ``compaction`` replaces batch files by snapshots, ``digest_history`` serves the scrub.
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

NO_POSITION = Position(-1, -1)  # of a member whose files have a gap: nothing that it holds counts
REMOVED = msgspec.Raw(b"null")


class Store:
    """State at ``position``. ``apply`` changes the memory, ``save`` makes the same batch durable, in either order.

    ``defer`` makes a call in a later iteration of the event loop: snapshots are written in steps.
    """

    def __init__(self, files: Files, defer: Defer = run_immediately) -> None:
        self._versions = VersionFiles(files)
        state = recover(files, self._versions.load_watermark())
        self.damage = state.damage
        self.position = state.position
        self.recent_batches = state.recent_batches
        self._table = state.table
        self._watermark = INITIAL_POSITION  # saved last by this process
        self._snapshot = BackgroundSnapshot(defer)
        self._compactor = Compactor(
            self._versions, self._snapshot, state.batch_files, state.batch_bytes, state.snapshot_bytes
        )
        self._digests = DigestHistory()
        self._digests.record(self.position, self.checksum())

    @property
    def intact(self) -> bool:
        """Whether the files hold all that was ever stored here; if not, only another member's snapshot repairs them."""
        return not self.damage

    @property
    def values(self) -> dict[str, msgspec.Raw]:
        """All JSON values by key; changed by ``apply`` alone."""
        return self._table.entries

    @property
    def durable_position(self) -> Position:
        """The position up to which this replica counts; ``NO_POSITION`` while something is missing."""
        return self.position if self.intact else NO_POSITION

    # Batches -----------------------------------------------------------------------------------------

    def apply(self, puts: tuple[Put, ...]) -> None:
        """Change the values in memory."""
        self._table.apply(puts)

    def undo_of(self, puts: tuple[Put, ...]) -> tuple[Put, ...]:
        """Puts that would undo these, if they were applied now."""
        return tuple(Put(put.key, self.values.get(put.key, REMOVED)) for put in puts)

    def save(self, batch: Batch) -> None:
        """Write the batch file and move on to its position. Raises OSError; the position is then unchanged."""
        self._compactor.batch_saved(self._versions.save(batch))
        self.position = batch.position
        self.recent_batches.add(batch)

    def complete_batch(self) -> None:
        """Call after each batch, as soon as the memory is the state at ``position``. Raises OSError."""
        self._digests.record(self.position, self.checksum())
        self._compactor.compact_if_due(self.position, self._table)

    def batch_after(self, position: Position) -> Batch | None:
        """The batch that follows a position, None if it is no longer in memory."""
        return self.recent_batches.after(position)

    def continues_from(self, position: Position) -> bool:
        """Whether the batches in memory lead from a position to the present one."""
        return position == self.position or self.recent_batches.continues_from(position)

    def save_watermark(self) -> None:
        """Record the position apart from the versions, if it has changed. Raises OSError."""
        if self.intact and self.position != self._watermark:
            self._versions.save_watermark(self.position)
            self._watermark = self.position

    def rewrite_watermark(self) -> None:
        """Record the position anew, as one of the watermark's files is damaged. Raises OSError."""
        self._watermark = INITIAL_POSITION
        self.save_watermark()

    def replace_files(self) -> None:
        """Write a snapshot in place of all version files, as one is damaged. Raises OSError, here or in a later step.

        The memory has to be the state at ``position``. Until the snapshot is durable the files remain as they are.
        """
        if self.intact:
            self._compactor.compact(self.position, self._table)

    # Digests -----------------------------------------------------------------------------------------

    def checksum(self) -> int:
        """Checksum of all keys and values, the same on members with equal state."""
        return self._table.checksum

    def checksum_at(self, position: Position) -> int | None:
        """Checksum of the state at a position; None if no batch ended there on this member lately."""
        return self._digests.at(position)

    # Snapshots ---------------------------------------------------------------------------------------

    def install(self, position: Position, table: KeyValueTable, on_installed: Callable[[], None]) -> None:
        """Replace the state by another member's; ``on_installed()`` once it is durable.

        An OSError, here or in a later step, leaves the state as it was.
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
