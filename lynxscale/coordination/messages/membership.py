"""Messages by which control members join, leave and find the primary."""

from __future__ import annotations

from lynxscale.coordination.messages.base import Message


class Join(Message, frozen=True, tag="join"):
    """A member announces itself; ``node``: its machine's name; ``leaving``: it is to stop."""

    member: str
    node: str
    leaving: bool = False


class LeaveApproved(Message, frozen=True, tag="released"):
    """The primary of that epoch approves a leave: nothing depends on the member any more."""

    epoch: int


class Redirect(Message, frozen=True, tag="redirect"):
    """The primary's internal address as the sender knows it, empty where it knows of none."""

    primary: str
    epoch: int
