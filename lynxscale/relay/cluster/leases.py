"""Leases (Gray, Cheriton 1989): requested from the view's committee, granted to its members. No I/O, no clock."""

from __future__ import annotations

from lynxscale.relay.cluster.agreement_state import AgreementState
from lynxscale.relay.cluster.membership_table import Identity
from lynxscale.relay.cluster.messages import (
    NO_BALLOT,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    Reject,
    committee_of,
    removed_members,
)


class LeaseManager(AgreementState):
    """Requests this node's own leases and grants leases to other members."""

    def lease_until(self, now: int) -> int:
        """Time (µs) until which this node may act without a further grant; 0 if it may not act."""
        view = self.durable.view
        if view is None or self.conflict or self.leaving or self.me not in view.members:
            return 0
        if self.durable.accepted is not None and self.me in removed_members(view, self.durable.accepted):
            return 0
        committee = committee_of(view, self.timing.committee_size)
        request_times = sorted(
            (now if name == self.me.name else self._grant_times.get(name, 0) for name in committee), reverse=True
        )
        requested_at = request_times[len(committee) // 2]
        return requested_at + self.timing.lease if requested_at else 0

    def may_act(self, now: int) -> bool:
        """Return whether this node holds a lease. ``now`` has to be read right before acting."""
        return now < self.lease_until(now)

    def lease_grantors(self, now: int) -> list[str]:
        """Members of the committee with a valid grant for this node."""
        return sorted(
            name for name, requested_at in self._grant_times.items() if now < requested_at + self.timing.lease
        )

    def _request_leases(self, now: int) -> None:
        view = self.durable.view
        if view is None or self.leaving or self.conflict or self.me not in view.members:
            return
        if now < self._denied_until.get(self.me, 0):
            return
        self._token += 1
        self._request_times = {token: at for token, at in self._request_times.items() if now - at < self.timing.lease}
        self._request_times[self._token] = now
        for name in sorted(committee_of(view, self.timing.committee_size) - {self.me.name}):
            if now - self._grant_times.get(name, 0) > self.timing.retry_interval:
                self._send(name, LeaseRequest(view.number, view.digest, self._token))

    def _request_interval(self, now: int) -> int:
        """Time (µs) until the next lease request. It is short while requests or grants are lost, so that a member on a
        lossy network keeps its lease, and longer again for a node that has been without a lease for some time."""
        lease, until = self.timing.lease, self.lease_until(now)
        if until > now:
            self._fast_requests_until = now + 2 * lease
        return (
            self.timing.retry_interval
            if until - now < 2 * lease // 3 and now < self._fast_requests_until
            else lease // 4
        )

    def _on_lease_request(self, now: int, sender: str, identity: Identity, message: LeaseRequest) -> None:
        view = self.durable.view
        if (
            view is None
            or (message.number, message.digest) != (view.number, view.digest)
            or identity not in view.members
        ):
            if view is not None and message.number < view.number:
                # The frame of this answer carries our view number, by which the sender fetches the view.
                self._send(sender, Reject(message.number, NO_BALLOT, 0, "behind"))
            return
        if self.conflict or self.durable.accepted is not None or now < self._denied_until.get(identity, 0):
            return  # the next view may be decided already, on the assumption that this one grants no further leases
        self._granted_until[identity] = now + self._grant_duration(self.timing.lease)
        self._send(sender, LeaseGrant(message.number, message.token))

    def _on_lease_grant(self, now: int, sender: str, identity: Identity, message: LeaseGrant) -> None:
        requested_at = self._request_times.get(message.token)
        if requested_at is not None and message.number == self.number:
            self._grant_times[sender] = max(requested_at, self._grant_times.get(sender, 0))

    def _on_lease_release(self, now: int, sender: str, identity: Identity, message: LeaseRelease) -> None:
        self._granted_until.pop(identity, None)
