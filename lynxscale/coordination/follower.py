"""The backup's side of replication: stores batches and snapshots from the primary and acknowledges its position."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lynxscale.coordination.key_value_table import KeyValueTable
from lynxscale.coordination.messages import (
    DigestReply,
    DigestRequest,
    Message,
    Position,
    Replicate,
    ReplicateAck,
    SnapshotChunk,
    SnapshotProbe,
    SnapshotProgress,
    address_of,
)
from lynxscale.coordination.ports import Network
from lynxscale.coordination.store import NO_POSITION, Store


@dataclass
class SnapshotTransfer:
    """A snapshot that is being received: all entries with keys up to ``last_key``, as of ``position``.

    ``installing``: the snapshot is complete and is being made durable.
    """

    position: Position = NO_POSITION
    last_key: str = ""
    installing: bool = False
    table: KeyValueTable = field(default_factory=KeyValueTable)


class Follower:
    """Stores the batches and snapshots that the primary sends.

    ``accepts_writes_of(epoch)``: may a primary of that epoch still write to this replica? ``primary()``: the member id
    of the primary.
    """

    def __init__(
        self,
        member: str,
        store: Store,
        network: Network,
        accepts_writes_of: Callable[[int], bool],
        primary: Callable[[], str],
    ) -> None:
        self._member = member
        self._store = store
        self._network = network
        self._accepts_writes_of = accepts_writes_of
        self._primary = primary
        self._transfer = SnapshotTransfer()

    def on_replicate(self, message: Replicate) -> None:
        """Store a batch that directly follows the stored position. Raises OSError."""
        if not self._accepts_writes_of(message.epoch):
            return
        batch, transfer = message.batch, self._transfer
        if transfer.installing:
            return  # the snapshot being installed is older: it would replace this batch
        staged = batch.previous == transfer.position
        if staged:
            transfer.table.apply(batch.puts)
            transfer.position = batch.position
        if batch.previous == self._store.durable_position:
            self._store.save(batch)
            self._store.apply(batch.puts)
            self._store.complete_batch()
        elif staged:
            return
        self._acknowledge(message.epoch)

    def on_snapshot_probe(self, message: SnapshotProbe) -> None:
        """Report how much of the snapshot has been received."""
        if self._accepts_writes_of(message.epoch):
            self._report_progress(message.epoch, message.probe_id)

    def on_snapshot_chunk(self, message: SnapshotChunk) -> None:
        """Receive a chunk of a snapshot; the final one starts replacing the local state. Raises OSError."""
        if not self._accepts_writes_of(message.epoch) or self._transfer.installing:
            return
        if not message.after_key:
            self._transfer = SnapshotTransfer(message.position)
        transfer = self._transfer
        if transfer.position != message.position or transfer.last_key != message.after_key:
            return
        transfer.table.apply(message.puts)
        transfer.last_key = message.last_key
        self._report_progress(message.epoch, 0)
        if message.final:
            self._install(message.epoch)

    def on_digest_request(self, message: DigestRequest) -> None:
        """Reply with the checksum of the state at a position, if it is known."""
        checksum = self._store.checksum_at(message.position)
        if self._accepts_writes_of(message.epoch) and self._store.intact and checksum is not None:
            self._send(DigestReply(message.epoch, self._member, message.position, checksum))

    def discard_transfer(self) -> None:
        """Drop the received snapshot, which could not be made durable; the primary has to send it again."""
        self._transfer = SnapshotTransfer()

    def _install(self, epoch: int) -> None:
        transfer = self._transfer
        transfer.installing = True

        def on_installed() -> None:
            self._transfer = SnapshotTransfer()
            self._acknowledge(epoch)

        self._store.install(transfer.position, transfer.table, on_installed)

    def _acknowledge(self, epoch: int) -> None:
        self._send(ReplicateAck(epoch, self._member, self._store.durable_position))

    def _report_progress(self, epoch: int, probe_id: int) -> None:
        transfer = self._transfer
        progress = SnapshotProgress(
            epoch, self._member, probe_id, transfer.position, transfer.last_key, transfer.installing
        )
        self._send(progress)

    def _send(self, message: Message) -> None:
        self._network.send(address_of(self._primary()), message)
