"""Messages of primary-backup replication: batches, snapshots and the scrub.

``tag`` and ``msgspec.field(name=...)`` keep the names that stand on the wire and in files.
"""

from __future__ import annotations

import msgspec

from lynxscale.coordination.messages.base import Message, Position


class Put(msgspec.Struct, frozen=True, array_like=True):
    """A new value of a key, as JSON; null removes it."""

    key: str
    value: msgspec.Raw

    @property
    def removes(self) -> bool:
        """Whether this removes the key."""
        return bytes(self.value) == b"null"

    @property
    def size(self) -> int:
        """Size of key and value: characters of the key, bytes of the value."""
        return len(self.key) + len(bytes(self.value))


def put_value(key: str, value: object) -> Put:
    """A put of any value that msgspec can encode as JSON."""
    return Put(key, msgspec.Raw(msgspec.json.encode(value)))


class Batch(msgspec.Struct, frozen=True):
    """Changes that are stored together behind those at ``previous``."""

    previous: Position
    position: Position
    puts: tuple[Put, ...]

    @property
    def size(self) -> int:
        """Size of all keys and values, as ``Put.size`` counts it."""
        return sum(put.size for put in self.puts)


class Replicate(Message, frozen=True, tag="replicate"):
    """The primary sends a batch to store. ``epoch`` is the sender's, at least that of the batch."""

    epoch: int
    batch: Batch


class ReplicateAck(Message, frozen=True, tag="stored"):
    """The sender's disk holds everything up to the position."""

    epoch: int
    member: str
    position: Position


class SnapshotProbe(Message, frozen=True, tag="transfer_ask"):
    """How much of a snapshot has the receiver? ``probe_id`` comes back in the answer."""

    epoch: int
    probe_id: int = msgspec.field(name="probe")


class SnapshotProgress(Message, frozen=True, tag="transfer_progress"):
    """The sender has all keys up to ``last_key`` as they are at ``position``.

    ``probe_id``: of the probe that this answers, 0 for the acknowledgement of a chunk. ``installing``: the snapshot is
    complete and is being made durable.
    """

    epoch: int
    member: str
    probe_id: int = msgspec.field(name="probe")
    position: Position
    last_key: str = msgspec.field(name="upto")
    installing: bool = False


class SnapshotChunk(Message, frozen=True, tag="state_part"):
    """The state's keys behind ``after_key`` up to ``last_key`` at the position; a new snapshot begins behind "".

    Batches that come between chunks belong to the snapshot too, so all chunks together are the state at one position.
    """

    epoch: int
    position: Position
    after_key: str = msgspec.field(name="after")
    last_key: str = msgspec.field(name="upto")
    final: bool = msgspec.field(name="last")
    puts: tuple[Put, ...]


class DigestRequest(Message, frozen=True, tag="digest_request"):
    """The scrub asks for the checksum of the state at a position."""

    epoch: int
    position: Position


class DigestReply(Message, frozen=True, tag="digest_reply"):
    """Checksum of the complete state that the sender had at the position."""

    epoch: int
    member: str
    position: Position
    checksum: int
