"""A backup's side of replication: it stores what its primary sends, and tells how far it has come."""

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
class Transfer:
    """A whole state on its way here: all keys up to ``upto`` as they are at ``position``."""

    position: Position = NO_POSITION
    upto: str = ""
    installing: bool = False
    table: KeyValueTable = field(default_factory=KeyValueTable)


class Follower:
    """``follows(epoch)``: may a primary of that epoch write here? ``primary()``: its member id."""

    def __init__(
        self,
        member: str,
        store: Store,
        network: Network,
        follows: Callable[[int], bool],
        primary: Callable[[], str],
    ) -> None:
        self._member = member
        self._store = store
        self._network = network
        self._follows = follows
        self._primary = primary
        self._transfer = Transfer()

    def on_replicate(self, message: Replicate) -> None:
        """Store a batch that fits behind what is here. Raises OSError."""
        if not self._follows(message.epoch):
            return
        batch, transfer = message.batch, self._transfer
        if transfer.installing:
            return  # what is stored now would be replaced by an older state
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
        self._tell_position(message.epoch)

    def on_transfer_ask(self, message: SnapshotProbe) -> None:
        """Tell how far the transfer has come."""
        if self._follows(message.epoch):
            self._tell_progress(message.epoch, message.probe_id)

    def on_state_part(self, message: SnapshotChunk) -> None:
        """Take a part of a whole state; behind the last one it takes the place of the own state. Raises OSError."""
        if not self._follows(message.epoch) or self._transfer.installing:
            return
        if not message.after_key:
            self._transfer = Transfer(message.position)
        transfer = self._transfer
        if transfer.position != message.position or transfer.upto != message.after_key:
            return
        transfer.table.apply(message.puts)
        transfer.upto = message.last_key
        self._tell_progress(message.epoch, 0)
        if message.final:
            self._install(message.epoch)

    def on_digest_request(self, message: DigestRequest) -> None:
        """Tell the checksum that the state had at the position asked for, where that is known."""
        checksum = self._store.checksum_at(message.position)
        if self._follows(message.epoch) and self._store.intact and checksum is not None:
            self._send(DigestReply(message.epoch, self._member, message.position, checksum))

    def abandon_transfer(self) -> None:
        """What has come of a whole state cannot be made durable: it has to come again."""
        self._transfer = Transfer()

    def _install(self, epoch: int) -> None:
        transfer = self._transfer
        transfer.installing = True

        def installed() -> None:
            self._transfer = Transfer()
            self._tell_position(epoch)

        self._store.install(transfer.position, transfer.table, installed)

    def _tell_position(self, epoch: int) -> None:
        self._send(ReplicateAck(epoch, self._member, self._store.durable_position))

    def _tell_progress(self, epoch: int, probe: int) -> None:
        transfer = self._transfer
        progress = SnapshotProgress(epoch, self._member, probe, transfer.position, transfer.upto, transfer.installing)
        self._send(progress)

    def _send(self, message: Message) -> None:
        self._network.send(address_of(self._primary()), message)
