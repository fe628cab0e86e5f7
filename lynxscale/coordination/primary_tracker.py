"""Tracks the current primary by its heartbeats."""

from __future__ import annotations

from collections.abc import Callable

from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.lease import LEASE_S, NEVER
from lynxscale.coordination.member_role import MemberRole, RoleState
from lynxscale.coordination.messages import address_of
from lynxscale.coordination.ports import Clock


class PrimaryTracker:
    """Knows the primary's address while heartbeats arrive. ``leads()``: is this member the established primary?"""

    def __init__(self, acceptor: Acceptor, role: RoleState, clock: Clock, leads: Callable[[], bool]) -> None:
        self._acceptor = acceptor
        self._role = role
        self._clock = clock
        self._leads = leads
        self._heard_at = clock.now()

    def on_heartbeat(self) -> None:
        """Record a heartbeat of the primary."""
        self._heard_at = self._clock.now()

    def forget(self) -> None:
        """Forget the primary: it asked this member to take over, so it no longer leads."""
        self._heard_at = NEVER

    @property
    def heartbeat_overdue(self) -> bool:
        """Has no heartbeat arrived for longer than a lease?"""
        return self._clock.now() - self._heard_at > LEASE_S

    def address(self) -> str:
        """The primary's internal address, empty if no heartbeat arrived within ``LEASE_S``."""
        member = self._acceptor.member
        if self._leads():
            return address_of(member)
        primary = self._acceptor.record.primary
        heard_recently = self._clock.now() - self._heard_at < LEASE_S
        is_other = primary != member and self._role.current is not MemberRole.PRIMARY
        return address_of(primary) if heard_recently and is_other else ""
