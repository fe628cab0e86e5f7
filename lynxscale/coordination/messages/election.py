"""Messages of an election: pre-votes, and the two phases by which an epoch record is accepted.

``msgspec.field(name="witness")`` keeps the sent name of a voter's id.
"""

from __future__ import annotations

import msgspec

from lynxscale.coordination.messages.base import EpochRecord, Message, Position


class PreVote(Message, frozen=True, tag="pre_vote"):
    """A member asks a voter whether it would promise an epoch now. ``round`` numbers the member's pre-votes."""

    round: int
    candidate: str


class PreVoteReply(Message, frozen=True, tag="pre_vote_reply"):
    """The voter's answer; ``wait_s``: seconds after which to ask again where it would not promise now.

    ``position``: how far the voter's replica reaches.
    """

    round: int
    voter: str = msgspec.field(name="witness")
    granted: bool
    wait_s: float
    position: Position


class CandidacyAnnounced(Message, frozen=True, tag="standing"):
    """A member announces that a majority would promise, and that it is about to ask for an epoch."""

    candidate: str


class Prepare(Message, frozen=True, tag="prepare"):
    """Phase 1 of a round: a candidate asks a voter to accept no lower epoch any more."""

    epoch: int
    candidate: str


class Promise(Message, frozen=True, tag="promise"):
    """The voter promises; ``accepted``: the latest record it accepted; ``position``: how far its replica reaches."""

    epoch: int
    voter: str = msgspec.field(name="witness")
    accepted: EpochRecord
    position: Position


class PrepareRejected(Message, frozen=True, tag="deny"):
    """The voter does not promise: it promised a higher epoch, or another's lease runs for ``lease_left`` seconds."""

    epoch: int
    voter: str = msgspec.field(name="witness")
    promised: int
    lease_left: float
    accepted: EpochRecord


class Accept(Message, frozen=True, tag="accept"):
    """Phase 2 of a round: the candidate asks a voter to store the record."""

    record: EpochRecord


class Accepted(Message, frozen=True, tag="accepted"):
    """The voter has stored the record of that epoch on its disk."""

    epoch: int
    voter: str = msgspec.field(name="witness")
