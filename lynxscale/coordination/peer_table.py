"""The other members, by the messages that a primary has received: when, from which machine, and whether they leave."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lynxscale.coordination.lease import NEVER
from lynxscale.coordination.ports import Clock


@dataclass(slots=True)
class PeerView:
    """One member, as the primary sees it.

    ``heard_at``: steady time of its last message, in seconds. ``node``: its machine's name, empty where it was not
    heard in this lead. ``leaving``: was its process asked to stop?
    """

    heard_at: float = NEVER
    node: str = ""
    leaving: bool = False


class PeerTable:
    """The other members that were heard in one lead; ``expected`` ones count as heard at its start."""

    def __init__(self, member_id: str, expected: Iterable[str], clock: Clock) -> None:
        self._clock = clock
        now = clock.now()
        self.views = {member: PeerView(heard_at=now) for member in dict.fromkeys(expected) if member != member_id}

    def mark_heard(self, member: str, node: str = "") -> PeerView:
        """A message of a member arrived; ``node`` where the message names its machine."""
        view = self.views.setdefault(member, PeerView())
        view.heard_at = self._clock.now()
        view.node = node or view.node
        return view

    def mark_announced(self, member: str, node: str, leaving: bool) -> None:
        """A message arrived that names a member's machine, and whether it is to stop."""
        self.mark_heard(member, node).leaving = leaving

    def heard_within(self, seconds: float) -> list[str]:
        """Members that were heard in the last ``seconds``."""
        oldest = self._clock.now() - seconds
        return [member for member, view in self.views.items() if view.heard_at > oldest]

    def nodes_within(self, seconds: float) -> set[str]:
        """Machines whose members were heard in the last ``seconds`` and are not to stop."""
        views = [self.views[member] for member in self.heard_within(seconds)]
        return {view.node for view in views if view.node and not view.leaving}

    def members_on(self, node: str) -> set[str]:
        """Members on a machine."""
        return {member for member, view in self.views.items() if view.node == node}
