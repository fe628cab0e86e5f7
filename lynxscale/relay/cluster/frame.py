"""Frames between nodes: bytes to checked messages and back. No I/O.

A frame, on UDP and TCP alike, big-endian:

    offset 0   3  b"LXC"
           3   1  version, 2
           4   4  crc32c of the cluster's name and its probe's period
           8   2  length of the message in bytes
          10   n  the message, MessagePack, by the types below, fields in order
        10+n   4  crc32c of all before it

The message is read by msgspec, which holds every field to its type and range. What does not stand by this is refused
with a reason to count by, and never has an effect. Strangers that know the form are not kept out: a closed network is
assumed.
"""

from __future__ import annotations

import struct
from typing import Annotated

import msgspec
from crc32c import crc32c

from lynxscale.relay.cluster.exceptions import FrameError
from lynxscale.relay.cluster.membership_table import MemberUpdate, Name, NoName, Number
from lynxscale.relay.cluster.messages import (
    Accept,
    Accepted,
    Decided,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    Prepare,
    Promise,
    Reject,
    View,
    ViewMessage,
)

MAGIC, VERSION = b"LXC", 2
HEAD = struct.Struct(">3sBIH")
TAIL = struct.Struct(">I")
DATAGRAM_MOST = 1200  # bytes; under what any path takes in one piece
MESSAGE_MOST = 65_535

U32 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 32) - 1)]


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1, gc=False):
    """Answer with an Ack of that number. ``origin``: the node that requested an indirect probe, else empty."""

    probe: U32
    origin: NoName = ""


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2, gc=False):
    """Forwarded to ``origin`` by the node that probed for it. ``generation``, ``boot``: the process that answered."""

    probe: U32
    node: Name
    generation: Number
    boot: Number


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag=3, gc=False):
    """SWIM's ping-req: probe that node for the sender."""

    probe: U32
    node: Name


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4, gc=False):
    """The sender is up, and the node that it was requested to probe has not answered so far (Lifeguard)."""

    probe: U32


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag=5, gc=False):
    """Carries nothing but the updates of its frame."""


class Exchange(msgspec.Struct, array_like=True, frozen=True, tag=6, gc=False):
    """Full state, on TCP: with all updates in the frame, the view, the known write counts and digests of settings. The
    receiver answers with its own, and ``answer`` set."""

    answer: bool
    view: View | None = None
    write_counts: dict[Name, Number] = {}
    settings: dict[Name, U32] = {}


# The index of a type is its tag on the wire.
VIEW_MESSAGE_TYPES: tuple[type, ...] = (
    Prepare,
    Promise,
    Accept,
    Accepted,
    Reject,
    Decided,
    LeaseRequest,
    LeaseGrant,
    LeaseRelease,
)


class ViewBody(msgspec.Struct, array_like=True, frozen=True, tag=7, gc=False):
    """A message of view agreement: its index in ``VIEW_MESSAGE_TYPES``, and its encoded fields."""

    kind: Annotated[int, msgspec.Meta(ge=0, lt=len(VIEW_MESSAGE_TYPES))]
    payload: msgspec.Raw

    def read(self) -> ViewMessage:
        """Decode the message. Raises FrameError where the fields do not fit its type."""
        try:
            return _view_decoders[self.kind].decode(self.payload)
        except msgspec.MsgspecError as error:
            raise FrameError("message") from error


def view_body(message: ViewMessage) -> ViewBody:
    """The frame body that carries this message."""
    return ViewBody(VIEW_MESSAGE_TYPES.index(type(message)), msgspec.Raw(_encode(message)))


Body = Ping | Ack | PingRequest | Nack | Gossip | Exchange | ViewBody


class Message(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """``sender``, ``generation``, ``boot``, ``incarnation``: the sending process, alive by that very fact; ``number``:
    of its frames, never used twice by a process; ``slow``: bits of SLOW_REASONS; ``view`` and ``write_count``: the
    number of its view, and of its durable state. Field order is the wire format; names are not on the wire."""

    sender: Name
    generation: Number
    boot: Number
    incarnation: Number
    number: Number
    slow: U32
    view: Number
    write_count: Number
    body: Body
    updates: list[MemberUpdate]


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Message).decode
_view_decoders = [msgspec.msgpack.Decoder(kind) for kind in VIEW_MESSAGE_TYPES]
OVERHEAD = HEAD.size + TAIL.size


def cluster_key(cluster: str, probe: int = 0) -> int:
    """What stands for a cluster in a frame: its name, and the period (µs) on which all its times hang.

    Guards against a node with longer leases than those who grant them believe.
    """
    return crc32c(f"{cluster} {probe}".encode())


def describe_mismatch(key: int, frame: bytes) -> tuple[str, str]:
    """The reason and the node's name in a frame that is intact and of another key, or of another version with no name;
    two empty texts where it is neither. For the log alone."""
    if len(frame) < OVERHEAD:
        return "", ""
    magic, version, theirs, size = HEAD.unpack_from(frame)
    if (
        magic != MAGIC
        or len(frame) != OVERHEAD + size
        or TAIL.unpack_from(frame, len(frame) - TAIL.size)[0] != crc32c(frame[: -TAIL.size])
    ):
        return "", ""
    if version != VERSION:
        return f"version {version}, ours is {VERSION}", ""
    try:
        return ("", "") if theirs == key else ("another cluster's name or probe", decode(theirs, frame).sender)
    except FrameError:
        return "", ""


def encode(key: int, message: Message) -> bytes:
    """The frame. Raises ValueError where the message is longer than a frame may be."""
    data = _encode(message)
    if len(data) > MESSAGE_MOST:
        raise ValueError(f"a message of {len(data)} bytes")
    frame = HEAD.pack(MAGIC, VERSION, key, len(data)) + data
    return frame + TAIL.pack(crc32c(frame))


def length(key: int, head: bytes) -> int:
    """Length in bytes of the frame that begins with these ``HEAD.size`` bytes. Raises FrameError."""
    magic, version, cluster, size = HEAD.unpack_from(head)
    if magic != MAGIC:
        raise FrameError("garbage")
    if version != VERSION:
        raise FrameError("version")
    if cluster != key:
        raise FrameError("foreign")
    return OVERHEAD + size


def decode(key: int, frame: bytes) -> Message:
    """Decode one complete frame. Raises FrameError."""
    if len(frame) < OVERHEAD:
        raise FrameError("short")
    if length(key, frame) != len(frame):
        raise FrameError("length")
    if TAIL.unpack_from(frame, len(frame) - TAIL.size)[0] != crc32c(frame[: -TAIL.size]):
        raise FrameError("checksum")
    try:
        return _decode(frame[HEAD.size : -TAIL.size])
    except msgspec.MsgspecError as error:
        raise FrameError("message") from error


class ReplayWindow:
    """Which of one sender's frames have come: guards against frames that are sent once more by whoever recorded them.

    A frame is new once, and only while it is at most ``SPAN`` behind the newest (as in RFC 4303, 3.4.3).
    """

    SPAN = 128

    def __init__(self) -> None:
        self._top = -1
        self._seen = 0

    def fresh(self, number: int) -> bool:
        """Is it new? It is not any more then."""
        if number > self._top:
            self._seen = (self._seen << min(number - self._top, self.SPAN) | 1) & ((1 << self.SPAN) - 1)
            self._top = number
            return True
        behind = self._top - number
        if behind >= self.SPAN or self._seen >> behind & 1:
            return False
        self._seen |= 1 << behind
        return True
