"""The voter's side of elections and leases: replies to candidates and to the primary."""

from __future__ import annotations

from lynxscale.coordination.acceptor import DeferredPromise
from lynxscale.coordination.election import ElectionCampaign
from lynxscale.coordination.member_context import MemberContext
from lynxscale.coordination.member_role import MemberRole, RoleChange
from lynxscale.coordination.messages import (
    Accept,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    Prepare,
    Promise,
    Redirect,
    address_of,
)

TIMER_MARGIN_S = 0.0005  # a timer for the end of a lease fires this much later, when the lease has surely ended


class Voter:
    """Replies according to the acceptor's durable state, in every role.

    Handlers raise OSError if the acceptor's state cannot be stored.
    """

    def __init__(self, context: MemberContext, campaign: ElectionCampaign) -> None:
        self._context = context
        self._acceptor = context.acceptor
        self._role = context.role
        self._tracker = context.tracker
        self._network = context.network
        self._campaign = campaign
        self._deferred: Prepare | None = None  # the request to answer when the lease granted here has ended

    def on_prepare(self, message: Prepare) -> None:
        """Handle a candidate's request for a promise. A primary that promises another member stops leading."""
        answer = self._acceptor.prepare(message, self._context.store.durable_position)
        if isinstance(answer, DeferredPromise):
            self._campaign.defer_to(message.candidate)
            self._defer(message, answer.wait_s)
            return
        if isinstance(answer, Promise):
            self._campaign.defer_to(message.candidate)
            if message.candidate != self._acceptor.member and self._role.current is MemberRole.PRIMARY:
                self._role.apply(RoleChange.PROMISED_OTHER)
        self._network.send(address_of(message.candidate), answer)

    def _defer(self, message: Prepare, wait_s: float) -> None:
        """Answer when the lease has ended; a later request replaces an earlier one."""
        self._deferred = message
        self._context.clock.call_later(wait_s + TIMER_MARGIN_S, lambda: self._answer_deferred(message))

    def _answer_deferred(self, message: Prepare) -> None:
        if self._deferred is message:
            self._deferred = None
            # This writes nothing: the promise is already durable, or a higher epoch was promised since.
            self.on_prepare(message)

    def on_accept(self, message: Accept) -> None:
        """Store a candidate's record; a superseded record is not answered."""
        answer = self._acceptor.accept(message.record)
        if answer is not None:
            self._campaign.defer_to(message.record.primary)
            self._network.send(address_of(message.record.primary), answer)

    def on_lease_request(self, message: LeaseRequest) -> None:
        """Handle a heartbeat: follow the primary and grant its lease, or redirect a former primary to the new one."""
        record, member = message.record, self._acceptor.member
        if record.epoch < self._acceptor.record.epoch:
            redirect = Redirect(self._tracker.address(), self._acceptor.record.epoch)
            self._network.send(address_of(record.primary), redirect)
            return
        self._acceptor.adopt(record)
        if record.primary == member:
            return
        self._role.follow(is_voter=member in record.voters)
        self._tracker.on_heartbeat()
        self._campaign.on_primary_heartbeat()
        self._network.send(address_of(record.primary), self._grant(message))

    def _grant(self, message: LeaseRequest) -> LeaseGrant:
        granted = self._acceptor.grant(message)
        return LeaseGrant(
            message.record.epoch,
            message.round,
            self._acceptor.member,
            self._context.node,
            granted,
            self._acceptor.state.promised,
            self._context.store.durable_position,
            self._context.graceful_leave.requested,
        )

    def on_lease_release(self, message: LeaseRelease) -> None:
        """The primary has released its lease: defer to its successor, or start a pre-vote immediately."""
        if message.epoch != self._acceptor.record.epoch:
            return
        self._acceptor.release(message.epoch)
        if self._deferred is not None:
            self._answer_deferred(self._deferred)
        if message.successor:
            self._campaign.defer_to(message.successor)
        else:
            self._campaign.postpone(0.0)
