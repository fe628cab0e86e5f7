"""How a member announces itself to the group: to join, when the primary's heartbeats stop, and to leave."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lynxscale.coordination.lease import NEVER
from lynxscale.coordination.member_context import MemberContext
from lynxscale.coordination.member_role import MemberRole, RoleChange
from lynxscale.coordination.messages import Join, LeaveApproved, Redirect, address_of
from lynxscale.coordination.quorum import quorum_of

JOIN_INTERVAL_S = 0.25
LEAVE_INTERVAL_S = 0.1  # used instead while a leave waits for approval


class JoinProtocol:
    """Announces one member and follows redirects to the primary.

    ``contacts()``: internal addresses of members to ask, in addition to those in the epoch record.
    """

    def __init__(self, context: MemberContext, contacts: Callable[[], Iterable[str]]) -> None:
        self._context = context
        self._acceptor = context.acceptor
        self._role = context.role
        self._tracker = context.tracker
        self._network = context.network
        self._graceful_leave = context.graceful_leave
        self._contacts = contacts
        self._announced_at = NEVER

    def announce_if_due(self) -> None:
        """Called periodically: announce this member while it joins, receives no heartbeats or waits to leave.

        A candidate announces itself too: the group may have replaced it meanwhile, which it learns only from a
        primary's heartbeat.
        """
        pending = self._graceful_leave.pending
        follows = self._role.is_any_of(MemberRole.BACKUP, MemberRole.CANDIDATE)
        unheard = self._role.current is MemberRole.JOINING or (follows and self._tracker.heartbeat_overdue)
        interval_s = LEAVE_INTERVAL_S if pending else JOIN_INTERVAL_S
        if (unheard or pending) and self._context.clock.now() - self._announced_at >= interval_s:
            self.announce()

    def announce(self) -> None:
        """Announce this member to the primary, or to all known members if there is none or this member leaves."""
        self._announced_at = self._context.clock.now()
        primary = self._tracker.address()
        if primary and not self._graceful_leave.pending:
            self._network.send(primary, Join(self._acceptor.member, self._context.node, False))
            return
        record = self._acceptor.record
        known = [address_of(member) for member in (record.primary, *quorum_of(record).members) if member]
        own = address_of(self._acceptor.member)
        for address in dict.fromkeys([*known, *self._contacts()]):
            if address != own:
                self._network.send(address, self._join())

    def redirect(self, message: Join) -> None:
        """Redirect a member that announces itself to the primary, if the primary is known."""
        if address := self._tracker.address():
            self._network.send(address_of(message.member), Redirect(address, self._acceptor.record.epoch))

    def on_redirect(self, message: Redirect) -> None:
        """Handle a redirect to the primary that another member knows."""
        if message.epoch > self._acceptor.record.epoch and self._role.current is MemberRole.PRIMARY:
            self._role.apply(RoleChange.SAW_LATER_EPOCH)
        if self._role.current is MemberRole.JOINING and message.primary:
            self._network.send(message.primary, self._join())

    def on_leave_approved(self, message: LeaveApproved) -> None:
        """The primary approves the leave; the approval of a former primary is ignored."""
        if message.epoch >= self._acceptor.record.epoch and self._role.current is not MemberRole.PRIMARY:
            self._graceful_leave.approve()

    def _join(self) -> Join:
        return Join(self._acceptor.member, self._context.node, self._graceful_leave.requested)
