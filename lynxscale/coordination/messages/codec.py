"""Encoding and decoding of messages: JSON objects whose ``type`` field names the message's class."""

from __future__ import annotations

import msgspec

from lynxscale.coordination.messages.base import Message
from lynxscale.coordination.messages.calls import Call, Reply
from lynxscale.coordination.messages.distribution import Attach, Heartbeat, Suspicion, TopicUpdate
from lynxscale.coordination.messages.election import (
    Accept,
    Accepted,
    CandidacyAnnounced,
    Prepare,
    PrepareRejected,
    PreVote,
    PreVoteReply,
    Promise,
)
from lynxscale.coordination.messages.lease import LeaseGrant, LeaseRelease, LeaseRequest, TakeOver
from lynxscale.coordination.messages.membership import Join, LeaveApproved, Redirect
from lynxscale.coordination.messages.replication import (
    DigestReply,
    DigestRequest,
    Replicate,
    ReplicateAck,
    SnapshotChunk,
    SnapshotProbe,
    SnapshotProgress,
)

Wire = (
    PreVote
    | PreVoteReply
    | CandidacyAnnounced
    | Prepare
    | Promise
    | PrepareRejected
    | Accept
    | Accepted
    | LeaseRequest
    | LeaseGrant
    | LeaseRelease
    | TakeOver
    | Join
    | LeaveApproved
    | Redirect
    | Replicate
    | ReplicateAck
    | SnapshotChunk
    | SnapshotProbe
    | SnapshotProgress
    | DigestRequest
    | DigestReply
    | Call
    | Reply
    | Attach
    | TopicUpdate
    | Heartbeat
    | Suspicion
)

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Wire)


def encode(message: Message) -> bytes:
    """The message as JSON, without a frame."""
    return _encoder.encode(message)


def decode(payload: bytes) -> Message:
    """The message of a payload.

    Raises msgspec.DecodeError for bytes that are no JSON, and its subclass ValidationError for a wrong shape.
    """
    return _decoder.decode(payload)
