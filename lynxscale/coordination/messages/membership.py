"""Messages by which control members join, leave and find the primary."""

from __future__ import annotations

from lynxscale.coordination.messages.base import Message


class Join(Message, frozen=True, tag="join"):
    """A member tells that it is there; ``leaving`` where it is about to stop."""

    member: str
    node: str
    leaving: bool = False


class LeaveApproved(Message, frozen=True, tag="released"):
    """The primary of that epoch tells a leaving member that nothing depends on it any more."""

    epoch: int


class Redirect(Message, frozen=True, tag="redirect"):
    """Who is primary as far as the sender knows; an empty address where it knows of none."""

    primary: str
    epoch: int
