"""A backup's side of replication: it stores what its primary sends, and tells how far it has come."""

from __future__ import annotations

from collections.abc import Callable

from lynxscale.coordination import messages as m
from lynxscale.coordination.ports import Network
from lynxscale.coordination.store import Store


class Follower:
    """``follows(epoch)``: may a primary of that epoch write here? ``record()``: the record in force."""

    def __init__(
        self,
        member: str,
        store: Store,
        network: Network,
        follows: Callable[[int], bool],
        record: Callable[[], m.EpochRecord],
    ) -> None:
        self._member = member
        self._store = store
        self._network = network
        self._follows = follows
        self._record = record
        self._parts: dict[int, m.StatePart] = {}

    def on_replicate(self, message: m.Replicate) -> None:
        """Store a batch that fits behind what is here. Raises OSError."""
        if not self._follows(message.epoch):
            return
        if message.batch.previous == self._store.position:
            self._store.save(message.batch)
            self._store.apply(message.batch.puts)
            self._store.fold_if_due()
        self._tell_position(message.epoch)

    def on_state_part(self, message: m.StatePart) -> None:
        """Collect the parts of a whole state, and take it in place of the own one. Raises OSError."""
        if not self._follows(message.epoch):
            return
        if message.part == 0:
            self._parts = {}
        self._parts[message.part] = message
        parts = self._parts.values()
        if len(parts) < message.parts or any(part.position != message.position for part in parts):
            return
        puts = tuple(put for number in sorted(self._parts) for put in self._parts[number].puts)
        self._parts = {}
        self._store.install(message.position, puts)
        self._tell_position(message.epoch)

    def on_digest_request(self, message: m.DigestRequest) -> None:
        """Tell the checksum of the state, where it is at the position asked for."""
        if self._follows(message.epoch) and message.position == self._store.position:
            checksum = self._store.checksum()
            self._send(m.DigestReply(message.epoch, self._member, self._store.position, checksum))

    def _tell_position(self, epoch: int) -> None:
        self._send(m.Stored(epoch, self._member, self._store.position))

    def _send(self, message: m.Message) -> None:
        self._network.send(m.address_of(self._record().primary), message)
