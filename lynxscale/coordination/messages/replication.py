"""Messages of primary-backup replication: batches, snapshots and the scrub."""

from __future__ import annotations

import msgspec

from lynxscale.coordination.messages.base import Message, Position


class Put(msgspec.Struct, frozen=True, array_like=True):
    """A new value of a key, as JSON; null removes it."""

    key: str
    value: msgspec.Raw

    @property
    def removes(self) -> bool:
        """Is the key to go?"""
        return bytes(self.value) == b"null"

    @property
    def size(self) -> int:
        """Bytes of key and value."""
        return len(self.key) + len(bytes(self.value))


def put_value(key: str, value: object) -> Put:
    """A put of a value that msgspec can encode."""
    return Put(key, msgspec.Raw(msgspec.json.encode(value)))


class Batch(msgspec.Struct, frozen=True):
    """Changes that are stored together behind those at ``previous``."""

    previous: Position
    position: Position
    puts: tuple[Put, ...]

    @property
    def size(self) -> int:
        """Bytes of all keys and values."""
        return sum(put.size for put in self.puts)


class Replicate(Message, frozen=True, tag="replicate"):
    """Store the batch. ``epoch`` is the sender's, at least that of the batch."""

    epoch: int
    batch: Batch


class ReplicateAck(Message, frozen=True, tag="stored"):
    """The sender's disk holds everything up to the position."""

    epoch: int
    member: str
    position: Position


class SnapshotProbe(Message, frozen=True, tag="transfer_ask"):
    """How far has a transfer of the whole state come? ``probe`` comes back in the answer."""

    epoch: int
    probe: int


class SnapshotProgress(Message, frozen=True, tag="transfer_progress"):
    """The receiver holds all keys up to ``upto`` as they are at ``position``.

    ``probe``: of the question that this answers, 0 where a part is confirmed. ``installing``: all of it is there and
    is being made durable.
    """

    epoch: int
    member: str
    probe: int
    position: Position
    upto: str
    installing: bool = False


class SnapshotChunk(Message, frozen=True, tag="state_part"):
    """The state's keys behind ``after`` up to ``upto``, as they are at the position; a new transfer begins behind "".

    Batches that come between parts belong to the transfer too, so all parts together are the state at one position.
    """

    epoch: int
    position: Position
    after: str
    upto: str
    last: bool
    puts: tuple[Put, ...]


class DigestRequest(Message, frozen=True, tag="digest_request"):
    """The scrub asks for checksums of key ranges at a position."""

    epoch: int
    position: Position


class DigestReply(Message, frozen=True, tag="digest_reply"):
    """Checksum of the whole state as the sender holds it on its disk."""

    epoch: int
    member: str
    position: Position
    checksum: int
