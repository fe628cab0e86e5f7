"""Messages of the leader lease: heartbeats, grants, and the early end of a lease."""

from __future__ import annotations

from lynxscale.coordination.messages.base import EpochRecord, Message, Position


class LeaseRequest(Message, frozen=True, tag="lease_request"):
    """The primary's heartbeat. ``round``: its number.

    ``record``: the record that the primary accepted last. During a round it may be undecided.
    """

    record: EpochRecord
    round: int


class LeaseGrant(Message, frozen=True, tag="lease_grant"):
    """Reply to a heartbeat.

    ``granted``: the sender is a voter of that epoch and has promised no other candidate. ``promised``: the highest
    epoch that it promised. ``node``: the name of its machine. ``position``: the durable position of its replica.
    ``leaving``: whether it was asked to stop.
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
    """The primary of that epoch no longer leads, so voters need not wait for the end of its lease.

    ``successor``: the member that the primary asked to take over, empty for none.
    """

    epoch: int
    successor: str = ""


class TakeOver(Message, frozen=True, tag="take_over"):
    """A primary that steps down, or a candidate with a less complete replica, asks a member to become a candidate."""

    epoch: int
