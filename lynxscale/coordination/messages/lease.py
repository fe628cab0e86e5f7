"""Messages of the primary's lease: heartbeats, their grants, and how a lease ends early."""

from __future__ import annotations

from lynxscale.coordination.messages.base import EpochRecord, Message, Position


class LeaseRequest(Message, frozen=True, tag="lease_request"):
    """The primary's heartbeat, with the decided record. ``round`` numbers the heartbeats of a lead."""

    record: EpochRecord
    round: int


class LeaseGrant(Message, frozen=True, tag="lease_grant"):
    """Answer to a heartbeat.

    ``granted``: the sender is a voter of that epoch and has promised no other candidate. ``promised``: the highest
    epoch it promised. ``node``: its machine's name. ``position``: how far its replica reaches. ``leaving``: it is to
    stop.
    """

    epoch: int
    round: int
    member: str
    node: str
    granted: bool
    promised: int
    position: Position
    leaving: bool = False


class LeaseRelease(Message, frozen=True, tag="lease_release"):
    """The primary of that epoch leads no longer, so voters need not wait.

    ``successor``: the member that it asked to take over, empty for none.
    """

    epoch: int
    successor: str = ""


class TakeOver(Message, frozen=True, tag="take_over"):
    """The primary that steps down, or a candidate with a less complete replica, asks a member to stand now."""

    epoch: int
