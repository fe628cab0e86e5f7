"""All messages of the internal protocol, as JSON objects with a ``type`` field.

A member is ``ADDRESS#INCARNATION``: a node that lost its disk comes back as another member at the same address.
"""

from __future__ import annotations

import msgspec


def address_of(member: str) -> str:
    """The internal ``host:port`` of a member."""
    return member.partition("#")[0]


def member_id(address: str, incarnation: str) -> str:
    """The id of a member."""
    return f"{address}#{incarnation}"


class Message(msgspec.Struct, frozen=True, tag_field="type"):
    """Base of all messages."""


class Position(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A place in the sequence of batches: the epoch that made the batch, and its index."""

    epoch: int
    index: int


class EpochRecord(msgspec.Struct, frozen=True):
    """What the witnesses store: who is primary in an epoch, who holds every acknowledged write, who may vote."""

    epoch: int
    primary: str
    in_sync: tuple[str, ...]
    witnesses: tuple[str, ...]


# Epochs and leases -----------------------------------------------------------------------------


class PreVote(Message, frozen=True, tag="pre_vote"):
    """A member asks a voter whether it would promise an epoch now. ``round`` numbers the member's questions."""

    round: int
    candidate: str


class PreVoteReply(Message, frozen=True, tag="pre_vote_reply"):
    """The voter's answer, with the seconds to wait where it would not, and how far its own copy reaches."""

    round: int
    witness: str
    granted: bool
    wait_s: float
    position: Position


class Standing(Message, frozen=True, tag="standing"):
    """A member tells the voters that a majority would promise, and that it is about to ask for an epoch."""

    candidate: str


class Prepare(Message, frozen=True, tag="prepare"):
    """A candidate asks a witness to take part in no lower epoch."""

    epoch: int
    candidate: str


class Promise(Message, frozen=True, tag="promise"):
    """The witness will not; it tells the highest record that it accepted, and how far its own copy reaches."""

    epoch: int
    witness: str
    accepted: EpochRecord
    position: Position


class Deny(Message, frozen=True, tag="deny"):
    """The witness cannot: it promised a higher epoch, or another's lease runs for ``lease_left`` seconds."""

    epoch: int
    witness: str
    promised: int
    lease_left: float
    accepted: EpochRecord


class Accept(Message, frozen=True, tag="accept"):
    """The candidate asks a witness to store the record."""

    record: EpochRecord


class Accepted(Message, frozen=True, tag="accepted"):
    """The witness has stored the record of that epoch on its disk."""

    epoch: int
    witness: str


class LeaseRequest(Message, frozen=True, tag="lease_request"):
    """The primary's heartbeat. It carries the record that a majority has accepted, so anyone may learn it."""

    record: EpochRecord
    round: int


class LeaseGrant(Message, frozen=True, tag="lease_grant"):
    """Answer to a heartbeat; ``granted`` where the sender is a witness of that epoch and bound by no higher one."""

    epoch: int
    round: int
    member: str
    node: str
    granted: bool
    promised: int
    position: Position
    leaving: bool = False


class LeaseRelease(Message, frozen=True, tag="lease_release"):
    """The primary of that epoch acts no more, so witnesses need not wait. ``successor``: whom it asked to take over."""

    epoch: int
    successor: str = ""


class TakeOver(Message, frozen=True, tag="take_over"):
    """The primary that leaves asks an in-sync member to become primary now."""

    epoch: int


class Join(Message, frozen=True, tag="join"):
    """A member tells that it is there; ``leaving`` where it is about to stop."""

    member: str
    node: str
    leaving: bool = False


class Released(Message, frozen=True, tag="released"):
    """The primary of that epoch tells a leaving member that nothing depends on it any more."""

    epoch: int


class Redirect(Message, frozen=True, tag="redirect"):
    """Who is primary as far as the sender knows; an empty address where it knows of none."""

    primary: str
    epoch: int


# Replication -----------------------------------------------------------------------------------


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


class Stored(Message, frozen=True, tag="stored"):
    """The sender's disk holds everything up to the position."""

    epoch: int
    member: str
    position: Position


class TransferAsk(Message, frozen=True, tag="transfer_ask"):
    """How far has a transfer of the whole state come? ``probe`` comes back in the answer."""

    epoch: int
    probe: int


class TransferProgress(Message, frozen=True, tag="transfer_progress"):
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


class StatePart(Message, frozen=True, tag="state_part"):
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


# Requests to the primary -----------------------------------------------------------------------


class AdmitTurn(Message, frozen=True, tag="admit_turn"):
    """Reserve a turn's tokens, and compose its prompt where it goes on from an earlier turn.

    ``cached``: a turn, perhaps of that chain, up to which the sender has the history already; empty for none.
    """

    program: str
    request: str
    budget: int
    most: int
    retention_s: float
    retained: bool
    previous: str = ""
    cached: str = ""


class TurnAdmitted(Message, frozen=True, tag="turn_admitted"):
    """The reservation is durable; ``history`` goes before the new input, behind the history up to turn ``after``."""

    history: bytes = b""
    after: str = ""


class TurnRefused(Message, frozen=True, tag="turn_refused"):
    """``status`` 402: the budget holds no such turn; 404: there is no such earlier turn."""

    status: int


class FinishTurn(Message, frozen=True, tag="finish_turn"):
    """Settle a reservation; ``content`` is the input and output of a retained turn that ended whole."""

    program: str
    request: str
    tokens: int
    retention_s: float
    content: bytes | None = None
    previous: str = ""


class TurnFinished(Message, frozen=True, tag="turn_finished"):
    """The turn's end is durable."""


class Call(Message, frozen=True, tag="call"):
    """A request to the primary. Repeats of the same request have the same effect as one.

    ``life`` is drawn by each process of the caller: answers to an earlier one's calls are none to its own.
    """

    number: int
    caller: str
    life: int
    body: AdmitTurn | FinishTurn


class Reply(Message, frozen=True, tag="reply"):
    """Answer to a call."""

    number: int
    life: int
    body: TurnAdmitted | TurnRefused | TurnFinished


# Distribution and membership of relays ----------------------------------------------------------


class Version(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Versions of one topic rise by epoch, then by number."""

    epoch: int = 0
    number: int = 0


class Topic(msgspec.Struct, frozen=True):
    """One versioned value that goes down the tree."""

    version: Version
    value: msgspec.Raw


class Attach(Message, frozen=True, tag="attach"):
    """A relay asks a parent for topics newer than its own; repeated, it keeps the place in the tree."""

    sender: str
    zone: str
    have: dict[str, Version]


class Update(Message, frozen=True, tag="update"):
    """Topics that the receiver lacks. ``age`` is seconds since the primary vouched for these versions."""

    sender: str
    primary: str
    epoch: int
    age: float
    have: dict[str, Version]
    topics: dict[str, Topic] = {}


class Heartbeat(Message, frozen=True, tag="heartbeat"):
    """A relay tells a monitor on the ring that it runs."""

    sender: str


class Suspicion(Message, frozen=True, tag="suspicion"):
    """A monitor has not heard of the relay for too long."""

    sender: str
    suspect: str


Wire = (
    PreVote
    | PreVoteReply
    | Standing
    | Prepare
    | Promise
    | Deny
    | Accept
    | Accepted
    | LeaseRequest
    | LeaseGrant
    | LeaseRelease
    | TakeOver
    | Join
    | Released
    | Redirect
    | Replicate
    | Stored
    | StatePart
    | TransferAsk
    | TransferProgress
    | DigestRequest
    | DigestReply
    | Call
    | Reply
    | Attach
    | Update
    | Heartbeat
    | Suspicion
)

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Wire)


def encode(message: Message) -> bytes:
    """The message as JSON."""
    return _encoder.encode(message)


def decode(payload: bytes) -> Message:
    """The message of a payload. Raises msgspec.DecodeError (ValidationError for a wrong shape)."""
    return _decoder.decode(payload)
