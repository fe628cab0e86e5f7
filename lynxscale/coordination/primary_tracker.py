"""The primary that a member knows, and when it last received a heartbeat of it."""

from __future__ import annotations

from collections.abc import Callable

from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.lease import LEASE_S, NEVER
from lynxscale.coordination.member_role import MemberRole, RoleState
from lynxscale.coordination.messages import address_of
from lynxscale.coordination.ports import Clock


class PrimaryTracker:
    """``leads()``: is this member itself the established primary?"""

    def __init__(self, acceptor: Acceptor, role: RoleState, clock: Clock, leads: Callable[[], bool]) -> None:
        self._acceptor = acceptor
        self._role = role
        self._clock = clock
        self._leads = leads
        self._heard_at = clock.now()

    def on_heartbeat(self) -> None:
        """A primary's heartbeat arrived."""
        self._heard_at = self._clock.now()

    def forget(self) -> None:
        """The primary has asked this member to take over: it leads no longer."""
        self._heard_at = NEVER

    @property
    def silent(self) -> bool:
        """Has no heartbeat arrived for longer than a lease?"""
        return self._clock.now() - self._heard_at > LEASE_S

    def address(self) -> str:
        """The primary's internal address, empty where no heartbeat arrived within a lease's time."""
        member = self._acceptor.member
        if self._leads():
            return address_of(member)
        primary = self._acceptor.record.primary
        heard_recently = self._clock.now() - self._heard_at < LEASE_S
        is_other = primary != member and self._role.current is not MemberRole.PRIMARY
        return address_of(primary) if heard_recently and is_other else ""
