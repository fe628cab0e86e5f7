"""Messages of primary-backup replication: batches, snapshots and the scrub.

``tag`` and ``msgspec.field(name=...)`` hold the names that are sent and stored.
"""

from __future__ import annotations

import msgspec

from lynxscale.coordination.messages.base import Message, Position


class Put(msgspec.Struct, frozen=True, array_like=True):
    """Sets a key to a JSON value; null removes the key."""

    key: str
    value: msgspec.Raw

    @property
    def removes(self) -> bool:
        """Whether this put removes the key."""
        return memoryview(self.value) == b"null"

    @property
    def size(self) -> int:
        """Approximate size in bytes: characters of the key plus bytes of the value."""
        return len(self.key) + len(memoryview(self.value))


def put_value(key: str, value: object) -> Put:
    """Create a put from any value that msgspec can encode as JSON."""
    return Put(key, msgspec.Raw(msgspec.json.encode(value)))


class Batch(msgspec.Struct, frozen=True):
    """Puts that are stored together. They change the state at ``previous`` into that at ``position``."""

    previous: Position
    position: Position
    puts: tuple[Put, ...]

    @property
    def size(self) -> int:
        """The sum of ``Put.size`` of all puts."""
        return sum(put.size for put in self.puts)


class Replicate(Message, frozen=True, tag="replicate"):
    """The primary sends a batch to store. ``epoch``: the sender's epoch, which may be later than the batch's."""

    epoch: int
    batch: Batch


class ReplicateAck(Message, frozen=True, tag="stored"):
    """The sender has durably stored everything up to the position."""

    epoch: int
    member: str
    position: Position


class SnapshotProbe(Message, frozen=True, tag="transfer_ask"):
    """Asks how much of a snapshot the receiver has. The reply repeats ``probe_id``."""

    epoch: int
    probe_id: int = msgspec.field(name="probe")


class SnapshotProgress(Message, frozen=True, tag="transfer_progress"):
    """The sender has all entries with keys up to ``last_key``, as of ``position``.

    ``probe_id``: the probe that this replies to, 0 if it acknowledges a chunk. ``installing``: the snapshot is complete
    and is being made durable.
    """

    epoch: int
    member: str
    probe_id: int = msgspec.field(name="probe")
    position: Position
    last_key: str = msgspec.field(name="upto")
    installing: bool = False


class SnapshotChunk(Message, frozen=True, tag="state_part"):
    """The entries with keys after ``after_key`` up to ``last_key``, as of ``position``.

    An empty ``after_key`` starts a new snapshot. Batches sent between the chunks are part of the snapshot, so that
    together they form the state at a single position.
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
    """The checksum of the sender's complete state at the position."""

    epoch: int
    member: str
    position: Position
    checksum: int
