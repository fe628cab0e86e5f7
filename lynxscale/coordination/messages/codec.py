"""Encoding and decoding of messages: JSON objects whose ``type`` field names the message's class."""

from __future__ import annotations

import msgspec

from lynxscale.coordination.messages.base import Message
from lynxscale.coordination.messages.calls import Call, Reply, TurnEvents
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
    | TurnEvents
    | Attach
    | TopicUpdate
    | Heartbeat
    | Suspicion
)

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Wire)


def encode(message: Message) -> bytes:
    """Encode a message as JSON, without framing."""
    return _encoder.encode(message)


def decode(payload: bytes) -> Message:
    """Decode the message in a payload.

    Raises msgspec.DecodeError if the payload is not JSON, and its subclass ValidationError if the structure is wrong.
    """
    return _decoder.decode(payload)
