"""Messages of an election: pre-votes, and the two Paxos phases that decide an epoch record.

``tag`` and ``msgspec.field(name=...)`` hold the names that are sent; a voter's id is sent as ``witness``.
"""

from __future__ import annotations

import msgspec

from lynxscale.coordination.messages.base import EpochRecord, Message, Position


class PreVote(Message, frozen=True, tag="pre_vote"):
    """A member asks a voter whether it would promise an epoch now. ``round`` numbers the member's pre-votes."""

    round: int
    candidate: str


class PreVoteReply(Message, frozen=True, tag="pre_vote_reply"):
    """The voter's reply to a pre-vote.

    ``wait_s``: if it would not promise now, seconds after which to ask again. ``position``: the durable position of the
    voter's replica.
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
    """Phase 1 of a round: a candidate asks a voter to promise that it accepts no record of a lower epoch."""

    epoch: int
    candidate: str


class Promise(Message, frozen=True, tag="promise"):
    """The voter promises the epoch.

    ``accepted``: the latest record that it accepted. ``position``: the durable position of its replica.
    """

    epoch: int
    voter: str = msgspec.field(name="witness")
    accepted: EpochRecord
    position: Position


class PrepareRejected(Message, frozen=True, tag="deny"):
    """The voter promised a higher epoch, or another member's lease may run for another ``lease_left`` seconds."""

    epoch: int
    voter: str = msgspec.field(name="witness")
    promised: int
    lease_left: float
    accepted: EpochRecord


class Accept(Message, frozen=True, tag="accept"):
    """Phase 2 of a round: the candidate asks a voter to store the record."""

    record: EpochRecord


class Accepted(Message, frozen=True, tag="accepted"):
    """The voter has durably stored the record of that epoch."""

    epoch: int
    voter: str = msgspec.field(name="witness")
