"""Messages of the primary's lease: heartbeats, their grants, and how a lease ends early."""

from __future__ import annotations

from lynxscale.coordination.messages.base import EpochRecord, Message, Position


class LeaseRequest(Message, frozen=True, tag="lease_request"):
    """The primary's heartbeat. It carries the record that a majority has accepted, so anyone may learn it."""

    record: EpochRecord
    round: int


class LeaseGrant(Message, frozen=True, tag="lease_grant"):
    """Answer to a heartbeat; ``granted`` where the sender is a voter of that epoch and bound by no higher one."""

    epoch: int
    round: int
    member: str
    node: str
    granted: bool
    promised: int
    position: Position
    leaving: bool = False


class LeaseRelease(Message, frozen=True, tag="lease_release"):
    """The primary of that epoch acts no more, so voters need not wait. ``successor``: whom it asked to take over."""

    epoch: int
    successor: str = ""


class TakeOver(Message, frozen=True, tag="take_over"):
    """The primary that leaves asks an in-sync member to become primary now."""

    epoch: int
