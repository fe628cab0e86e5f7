"""Messages of an election: pre-votes, and the two phases by which an epoch record is accepted."""

from __future__ import annotations

from lynxscale.coordination.messages.base import EpochRecord, Message, Position


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


class CandidacyAnnounced(Message, frozen=True, tag="standing"):
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


class PrepareRejected(Message, frozen=True, tag="deny"):
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
