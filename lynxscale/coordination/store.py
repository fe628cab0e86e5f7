"""The replicated state of one member: keys and values in memory, and its versions on disk."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from lynxscale.coordination.key_value_table import Table
from lynxscale.coordination.messages import Batch, Position, Put
from lynxscale.coordination.ports import Files
from lynxscale.coordination.version_files import START, VersionFiles, WholeWriter

MOST_BATCH_FILES = 1000
LEAST_BATCH_BYTES = 1_000_000  # before the batches are folded into a whole version
FOLD_AGAIN_FILES = 200  # batches more, after an attempt that failed
KEPT_CHECKSUMS = 1024  # of the latest positions, so that copies can be compared while writes go on
NOWHERE = Position(-1, -1)  # of a member whose files have a gap: it holds nothing that counts
REMOVED = msgspec.Raw(b"null")

Defer = Callable[[Callable[[], None]], None]


def at_once(step: Callable[[], None]) -> None:
    """Defers nothing."""
    step()


class Store:
    """State at ``position``. ``apply`` changes the memory, ``save`` makes the same batch durable, in either order.

    ``defer`` makes a call once other work has had its turn: whole versions are written in steps.
    """

    def __init__(self, files: Files, defer: Defer = at_once) -> None:
        self._versions = VersionFiles(files)
        self._defer = defer
        loaded = self._versions.load()
        self.damage = loaded.damage
        self.position = loaded.position
        self._table, self.recent = loaded.table, loaded.recent
        self._batch_files, self._batch_bytes = loaded.batch_files, loaded.batch_bytes
        self._whole_bytes = loaded.whole_bytes
        self._writer: WholeWriter | None = None
        self._marked = START
        self._no_fold_before = 0
        self._checksums: dict[Position, int] = {}
        self._keep_checksum()

    @property
    def intact(self) -> bool:
        """Do the files hold all that was ever stored here? Else only another member's whole state mends it."""
        return not self.damage

    @property
    def values(self) -> dict[str, msgspec.Raw]:
        """Everything, by key; changed by ``apply`` alone."""
        return self._table.entries

    @property
    def held(self) -> Position:
        """The position up to which this copy counts; NOWHERE while something is missing."""
        return self.position if self.intact else NOWHERE

    @property
    def busy(self) -> bool:
        """Is a version being written whole?"""
        return self._writer is not None

    def apply(self, puts: tuple[Put, ...]) -> None:
        """Change the values in memory."""
        self._table.apply(puts)

    def before(self, puts: tuple[Put, ...]) -> tuple[Put, ...]:
        """Puts that would undo these, if they were applied now."""
        return tuple(Put(put.key, self.values.get(put.key, REMOVED)) for put in puts)

    def save(self, batch: Batch) -> None:
        """Write the batch's version and move on to it. Raises OSError; then the position stays."""
        self._batch_bytes += self._versions.save(batch)
        self._batch_files += 1
        self.position = batch.position
        self.recent.add(batch)

    def after(self, position: Position) -> Batch | None:
        """The batch that leads on from a position, None where it is no longer at hand."""
        return self.recent.after(position)

    def reaches(self, position: Position) -> bool:
        """Do the batches at hand lead on from a position?"""
        return position == self.position or self.recent.leads_from(position)

    def checksum(self) -> int:
        """Checksum of all keys and values, the same on members with equal state."""
        return self._table.checksum

    def checksum_at(self, position: Position) -> int | None:
        """Checksum of the state at a position; None where it was not stored here lately as one batch's end."""
        return self._checksums.get(position)

    def settle(self) -> None:
        """To be called where the memory is what the position says, after each batch."""
        self._keep_checksum()
        self._fold_if_due()

    def _keep_checksum(self) -> None:
        self._checksums[self.position] = self.checksum()
        if len(self._checksums) > KEPT_CHECKSUMS:
            del self._checksums[next(iter(self._checksums))]

    def mark(self) -> None:
        """Note the position apart from the versions, where it has moved. Raises OSError."""
        if self.intact and self.position != self._marked:
            self._versions.mark(self.position)
            self._marked = self.position

    # Whole versions ----------------------------------------------------------------------------------

    def install(self, position: Position, table: Table, done: Callable[[], None]) -> None:
        """Replace everything by another member's state; ``done()`` once it is durable.

        An OSError, here or in a later step, leaves everything as it was.
        """
        self._abandon_writer()

        def installed() -> None:
            self._versions.remove_others(position)
            self.position, self._table, self.damage = position, table, []
            self.recent = type(self.recent)()
            self._batch_files = self._batch_bytes = 0
            self._checksums.clear()
            self._keep_checksum()
            done()

        self._write_whole(position, table, installed)

    def _fold_if_due(self) -> None:
        """Write the version whole where its batches have become many."""
        due = self._batch_bytes > LEAST_BATCH_BYTES + self._whole_bytes or self._batch_files > MOST_BATCH_FILES
        if self._writer is not None or not due or self._batch_files < self._no_fold_before:
            return
        position, files, size = self.position, self._batch_files, self._batch_bytes

        def folded() -> None:
            self._versions.remove_before(position)
            self._batch_files -= files
            self._batch_bytes -= size
            self._no_fold_before = 0

        # Where it fails the batches are as good; each attempt costs as much as the state is large.
        self._no_fold_before = self._batch_files + FOLD_AGAIN_FILES
        self._write_whole(position, self._table, folded)

    def _write_whole(self, position: Position, table: Table, done: Callable[[], None]) -> None:
        puts = [Put(key, value) for key, value in table.entries.items()]
        writer = self._writer = self._versions.write_whole(position, puts)

        def step() -> None:
            if self._writer is not writer:
                return
            try:
                complete = writer.step()
            except OSError:
                self._abandon_writer()
                raise
            if complete:
                self._writer = None
                self._whole_bytes = writer.bytes
                done()
            else:
                self._defer(step)

        self._defer(step)

    def _abandon_writer(self) -> None:
        writer, self._writer = self._writer, None
        if writer is not None:
            writer.discard()
