"""The Paxos acceptor (Lamport 1998); it also honours the leases that it has granted. No I/O, no clock."""

from __future__ import annotations

from lynxscale.relay.cluster.instructions import (
    PersistState,
    SendViewMessage,
)
from lynxscale.relay.cluster.leases import LeaseManager
from lynxscale.relay.cluster.membership_table import Identity
from lynxscale.relay.cluster.messages import (
    Accept,
    Accepted,
    Ballot,
    Prepare,
    Promise,
    Reject,
    removed_members,
)


class Acceptor(LeaseManager):
    """Answers ``Prepare`` and ``Accept``. A promise or an acceptance is written to disk before it is sent."""

    def _on_prepare(self, now: int, sender: str, identity: Identity, message: Prepare) -> None:
        ballot, durable = Ballot(message.round, sender, identity.boot), self.durable
        if not self._check_ballot(now, sender, ballot, message):
            return
        wait = self._lease_wait(now, message)
        if wait is None:
            self._reject(sender, message.number, ballot, "alive")
            return
        if sender != self.me.name:
            # Keeps this node from proposing while the sender waits for leases to expire or for slow disks.
            self._backoff_until = max(self._backoff_until, now + wait + self.timing.backoff)
        promise = SendViewMessage(sender, Promise(message.number, ballot, durable.ballot, durable.accepted, wait))
        if ballot == durable.promised:
            # Repeats the promise, through PersistState because its write to disk may still be in flight.
            self._instructions.append(PersistState(durable, (promise,)))
        else:
            self._persist(durable._replace(promised=ballot), promise)

    def _on_accept(self, now: int, sender: str, identity: Identity, message: Accept) -> None:
        ballot, durable = Ballot(message.round, sender, identity.boot), self.durable
        if not self._check_ballot(now, sender, ballot, message):
            return
        if sender != self.me.name:
            # Keeps this node from proposing while the sender waits for a slow disk, here or elsewhere: a competing
            # proposal would force the sender to start again.
            self._backoff_until = max(self._backoff_until, now + self.timing.backoff)
        accepted = SendViewMessage(sender, Accepted(message.number, ballot))
        if ballot == durable.ballot:
            self._instructions.append(PersistState(durable, (accepted,)))
            return
        wait = self._lease_wait(now, message)
        if wait is None:
            self._reject(sender, message.number, ballot, "alive")
        elif wait:
            self._reject(sender, message.number, ballot, "lease")
        else:
            self._persist(durable._replace(promised=ballot, ballot=ballot, accepted=message.change), accepted)

    def _check_ballot(self, now: int, sender: str, ballot: Ballot, message: Prepare | Accept) -> bool:
        """Return whether this node can vote on the message; if not, send the proposer a ``Reject`` with the reason."""
        view, reason = self.durable.view, ""
        if message.number > self.number + 1:
            self._fetch_view(now, sender)
            return False
        if message.number <= self.number:
            reason = "behind"
        elif message.base != (view.digest if view is not None else 0):
            reason = "other_base"
        elif not self.votes(now):
            reason = "cannot_vote"
        elif ballot < self.durable.promised:
            reason = "promised"
        if reason:
            self._reject(sender, message.number, ballot, reason)
        return not reason

    def _lease_wait(self, now: int, message: Prepare | Accept) -> int | None:
        """Time (µs) until the leases granted here allow accepting the change; None if a process that the change
        removes is reachable from this node.

        The processes to be removed get no further leases: by renewing theirs they would delay the change without end.
        """
        wait = 0
        for member in removed_members(self.durable.view, message.change):
            if (
                not message.previously_accepted
                and member.name not in self.declared_gone
                and self._is_reachable(member, now)
            ):
                return None
            until = self.lease_until(now) if member == self.me else self._granted_until.get(member, 0)
            wait = max(wait, until - now, self._no_removal_until - now)
            self._denied_until[member] = now + 2 * self._grant_duration(self.timing.lease)
        return wait

    def _reject(self, sender: str, number: int, ballot: Ballot, reason: str) -> None:
        self._send(sender, Reject(number, ballot, self.durable.promised.round, reason))
