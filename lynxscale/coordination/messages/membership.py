"""Messages with which control members join, leave and find the primary."""

from __future__ import annotations

from lynxscale.coordination.messages.base import Message


class Join(Message, frozen=True, tag="join"):
    """A member announces itself. ``node``: the name of its machine. ``leaving``: whether it was asked to stop."""

    member: str
    node: str
    leaving: bool = False


class LeaveApproved(Message, frozen=True, tag="released"):
    """The primary of that epoch approves a leave: nothing depends on the member any more."""

    epoch: int


class Redirect(Message, frozen=True, tag="redirect"):
    """The primary's internal address according to the sender, empty if unknown."""

    primary: str
    epoch: int
