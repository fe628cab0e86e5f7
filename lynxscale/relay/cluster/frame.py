"""Frames between nodes: encoding of messages, and decoding with validation. No I/O.

A frame, on UDP and TCP alike, big-endian:

    offset 0   3  b"LXC"
           3   1  version, 2
           4   4  crc32c of the cluster's name and probe period (``cluster_key``)
           8   2  length of the message in bytes
          10   n  the message: MessagePack of the types below, fields in order
        10+n   4  crc32c of all before it

Decoding validates the type and range of every field with msgspec. An invalid frame is rejected with a one-word reason,
by which it is counted, and has no other effect. Frames are not authenticated: a closed network is assumed.
"""

from __future__ import annotations

import struct
from typing import Annotated

import msgspec
from crc32c import crc32c

from lynxscale.relay.cluster.exceptions import FrameError
from lynxscale.relay.cluster.membership_table import MemberUpdate, Name, Number, OptionalName
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
HEADER = struct.Struct(">3sBIH")
TRAILER = struct.Struct(">I")
MAX_DATAGRAM_BYTES = 1200  # below the MTU of any usual path, so that datagrams are not fragmented
MAX_MESSAGE_BYTES = 65_535

U32 = Annotated[int, msgspec.Meta(ge=0, le=(1 << 32) - 1)]


class Ping(msgspec.Struct, array_like=True, frozen=True, tag=1, gc=False):
    """Requests an ``Ack`` with the same number. ``origin``: the node that requested an indirect probe, or empty."""

    probe: U32
    origin: OptionalName = ""


class Ack(msgspec.Struct, array_like=True, frozen=True, tag=2, gc=False):
    """Answers a ``Ping``; the helper of an indirect probe forwards it to the origin. ``generation`` and ``boot``
    identify the process that answered."""

    probe: U32
    node: Name
    generation: Number
    boot: Number


class PingRequest(msgspec.Struct, array_like=True, frozen=True, tag=3, gc=False):
    """Requests an indirect probe of ``node`` on behalf of the sender (SWIM's ping-req)."""

    probe: U32
    node: Name


class Nack(msgspec.Struct, array_like=True, frozen=True, tag=4, gc=False):
    """Tells the origin of an indirect probe that the helper is up but the target has not answered (Lifeguard)."""

    probe: U32


class Gossip(msgspec.Struct, array_like=True, frozen=True, tag=5, gc=False):
    """An empty body: the frame carries only updates."""


class Exchange(msgspec.Struct, array_like=True, frozen=True, tag=6, gc=False):
    """Full state, sent over TCP: view, known write counts and digests of settings; the frame carries the updates of all
    known nodes. The receiver answers with its own state and ``answer`` set."""

    answer: bool
    view: View | None = None
    write_counts: dict[Name, Number] = {}
    settings: dict[Name, U32] = {}


# The index of a type is its ``kind`` on the wire.
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
        """Decode the message. Raises FrameError if the fields are invalid for its type."""
        try:
            return _view_decoders[self.kind].decode(self.payload)
        except msgspec.MsgspecError as error:
            raise FrameError("message") from error


def view_body(message: ViewMessage) -> ViewBody:
    """The frame body that carries this message."""
    return ViewBody(VIEW_MESSAGE_TYPES.index(type(message)), msgspec.Raw(_encode(message)))


Body = Ping | Ack | PingRequest | Nack | Gossip | Exchange | ViewBody


class Message(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The content of a frame. Field order is the wire format; field names are not on the wire.

    ``sender``, ``generation``, ``boot`` and ``incarnation`` identify the sending process, which the frame shows to be
    alive. ``number`` is the frame number, never used twice by a process; ``slow`` has bits of ``SLOW_REASONS``;
    ``view`` is the number of the sender's view, and ``write_count`` that of its state on disk.
    """

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
FRAME_OVERHEAD_BYTES = HEADER.size + TRAILER.size


def cluster_key(cluster: str, probe: int = 0) -> int:
    """Identify a cluster in a frame: checksum of its name and its probe period (µs), from which all times derive.

    So frames of nodes with another probe period are rejected: their leases would be longer than their grantors assume.
    """
    return crc32c(f"{cluster} {probe}".encode())


def describe_mismatch(key: int, frame: bytes) -> tuple[str, str]:
    """Describe, for the log only, an intact frame of another cluster key or protocol version.

    Returns the difference and the sender's name; the name is empty for another version. Both are empty for any other
    frame.
    """
    if len(frame) < FRAME_OVERHEAD_BYTES:
        return "", ""
    magic, version, theirs, size = HEADER.unpack_from(frame)
    if (
        magic != MAGIC
        or len(frame) != FRAME_OVERHEAD_BYTES + size
        or TRAILER.unpack_from(frame, len(frame) - TRAILER.size)[0] != crc32c(frame[: -TRAILER.size])
    ):
        return "", ""
    if version != VERSION:
        return f"version {version}, ours is {VERSION}", ""
    try:
        return ("", "") if theirs == key else ("another cluster's name or probe", decode(theirs, frame).sender)
    except FrameError:
        return "", ""


def encode(key: int, message: Message) -> bytes:
    """Encode a frame. Raises ValueError if the message is too long for one."""
    data = _encode(message)
    if len(data) > MAX_MESSAGE_BYTES:
        raise ValueError(f"message of {len(data)} bytes is too long for a frame")
    frame = HEADER.pack(MAGIC, VERSION, key, len(data)) + data
    return frame + TRAILER.pack(crc32c(frame))


def length(key: int, header: bytes) -> int:
    """Length in bytes of the frame that starts with ``header``. Raises FrameError if it is invalid."""
    magic, version, cluster, size = HEADER.unpack_from(header)
    if magic != MAGIC:
        raise FrameError("garbage")
    if version != VERSION:
        raise FrameError("version")
    if cluster != key:
        raise FrameError("foreign")
    return FRAME_OVERHEAD_BYTES + size


def decode(key: int, frame: bytes) -> Message:
    """Decode one complete frame. Raises FrameError."""
    if len(frame) < FRAME_OVERHEAD_BYTES:
        raise FrameError("short")
    if length(key, frame) != len(frame):
        raise FrameError("length")
    if TRAILER.unpack_from(frame, len(frame) - TRAILER.size)[0] != crc32c(frame[: -TRAILER.size]):
        raise FrameError("checksum")
    try:
        return _decode(frame[HEADER.size : -TRAILER.size])
    except msgspec.MsgspecError as error:
        raise FrameError("message") from error


class ReplayWindow:
    """Numbers of the frames received from one process, to reject replayed frames.

    A number is accepted once, and only if it is less than ``SPAN`` behind the highest (as in RFC 4303, section 3.4.3).
    """

    SPAN = 128

    def __init__(self) -> None:
        self._highest = -1
        self._seen = 0

    def accept(self, number: int) -> bool:
        """Accept a frame number: return whether it is new, and record it."""
        if number > self._highest:
            self._seen = (self._seen << min(number - self._highest, self.SPAN) | 1) & ((1 << self.SPAN) - 1)
            self._highest = number
            return True
        behind = self._highest - number
        if behind >= self.SPAN or self._seen >> behind & 1:
            return False
        self._seen |= 1 << behind
        return True
