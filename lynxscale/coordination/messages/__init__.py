"""All messages of the internal protocol, one module per topic.

Classes and fields may be renamed: ``tag`` and ``msgspec.field(name=...)`` hold the names that are sent and stored. A
member id is ``ADDRESS#INCARNATION``: a node that lost its disk rejoins as a new member at the same address.
"""

from lynxscale.coordination.messages.base import EpochRecord, Message, Position, address_of, member_id
from lynxscale.coordination.messages.calls import (
    AdmitTurn,
    Call,
    ConfigurationOutdated,
    ConfigurationVersion,
    FinishTurn,
    ReadConfigurationVersion,
    Reply,
    TurnAdmitted,
    TurnFinished,
    TurnRejected,
)
from lynxscale.coordination.messages.codec import Wire, decode, encode
from lynxscale.coordination.messages.distribution import (
    Attach,
    Heartbeat,
    RosterEntry,
    Suspicion,
    Topic,
    TopicUpdate,
    Version,
)
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
    Batch,
    DigestReply,
    DigestRequest,
    Put,
    Replicate,
    ReplicateAck,
    SnapshotChunk,
    SnapshotProbe,
    SnapshotProgress,
    put_value,
)

__all__ = [
    "Accept",
    "Accepted",
    "AdmitTurn",
    "Attach",
    "Batch",
    "Call",
    "CandidacyAnnounced",
    "DigestReply",
    "DigestRequest",
    "EpochRecord",
    "ConfigurationOutdated",
    "ConfigurationVersion",
    "FinishTurn",
    "ReadConfigurationVersion",
    "Heartbeat",
    "Join",
    "LeaseGrant",
    "LeaseRelease",
    "LeaseRequest",
    "LeaveApproved",
    "Message",
    "Position",
    "PreVote",
    "PreVoteReply",
    "Prepare",
    "PrepareRejected",
    "Promise",
    "Put",
    "Redirect",
    "Replicate",
    "ReplicateAck",
    "Reply",
    "RosterEntry",
    "SnapshotChunk",
    "SnapshotProbe",
    "SnapshotProgress",
    "Suspicion",
    "TakeOver",
    "Topic",
    "TopicUpdate",
    "TurnAdmitted",
    "TurnFinished",
    "TurnRejected",
    "Version",
    "Wire",
    "address_of",
    "decode",
    "encode",
    "member_id",
    "put_value",
]
