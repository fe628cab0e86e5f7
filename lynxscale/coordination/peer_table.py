"""What a primary knows of the other members from their messages: last contact, machine, and whether they leave."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lynxscale.coordination.lease import NEVER
from lynxscale.coordination.ports import Clock


@dataclass(slots=True)
class PeerView:
    """What the primary knows of one member.

    ``heard_at``: monotonic time of its last message, in seconds. ``node``: the name of its machine, empty until a
    message names it. ``leaving``: whether its process was asked to stop.
    """

    heard_at: float = NEVER
    node: str = ""
    leaving: bool = False


class PeerTable:
    """The other members known to one primary; ``expected`` ones count as heard from when it becomes primary."""

    def __init__(self, member_id: str, expected: Iterable[str], clock: Clock) -> None:
        self._clock = clock
        now = clock.now()
        self.views = {member: PeerView(heard_at=now) for member in dict.fromkeys(expected) if member != member_id}

    def mark_heard(self, member: str, node: str = "") -> PeerView:
        """Record a message from a member; ``node``: its machine, if the message names it."""
        view = self.views.setdefault(member, PeerView())
        view.heard_at = self._clock.now()
        view.node = node or view.node
        return view

    def mark_announced(self, member: str, node: str, leaving: bool) -> None:
        """Record a message that names a member's machine and says whether the member leaves."""
        self.mark_heard(member, node).leaving = leaving

    def heard_within(self, seconds: float) -> list[str]:
        """Members from which a message arrived in the last ``seconds``."""
        oldest = self._clock.now() - seconds
        return [member for member, view in self.views.items() if view.heard_at > oldest]

    def nodes_within(self, seconds: float) -> set[str]:
        """Machines of members that are not leaving and from which a message arrived in the last ``seconds``."""
        views = [self.views[member] for member in self.heard_within(seconds)]
        return {view.node for view in views if view.node and not view.leaving}

    def members_on(self, node: str) -> set[str]:
        """Other members that run on a machine."""
        return {member for member, view in self.views.items() if view.node == node}
