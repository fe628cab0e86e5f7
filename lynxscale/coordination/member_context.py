"""The state and ports that the components of one control member share."""

from __future__ import annotations

from dataclasses import dataclass

from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.graceful_leave import GracefulLeave
from lynxscale.coordination.member_role import RoleState
from lynxscale.coordination.ports import Clock, Network
from lynxscale.coordination.primary_tracker import PrimaryTracker
from lynxscale.coordination.store import Store


@dataclass(frozen=True, slots=True)
class MemberContext:
    """One member's ports, state and role. ``node``: the name of its machine."""

    node: str
    acceptor: Acceptor
    store: Store
    clock: Clock
    network: Network
    role: RoleState
    tracker: PrimaryTracker
    graceful_leave: GracefulLeave

    @property
    def member_id(self) -> str:
        """This member's id."""
        return self.acceptor.member
