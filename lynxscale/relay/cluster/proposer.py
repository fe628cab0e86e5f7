"""The Paxos proposer (Lamport 1998). Between ``Prepare`` and ``Accept`` it waits for leases to expire."""

from __future__ import annotations

from lynxscale.relay.cluster.acceptor import Acceptor
from lynxscale.relay.cluster.instructions import (
    LogEvent,
)
from lynxscale.relay.cluster.membership_table import Identity, State
from lynxscale.relay.cluster.messages import (
    Accept,
    Accepted,
    Ballot,
    Decided,
    MembershipChange,
    Prepare,
    Promise,
    Reject,
    next_view,
)
from lynxscale.relay.cluster.proposal import Proposal


class Proposer(Acceptor):
    """Has at most one proposal in flight; its own acceptor is called directly."""

    def _propose(self, now: int, change: MembershipChange, previously_accepted: bool = False) -> None:
        self._highest_round = max(self._highest_round, self.durable.promised.round) + 1
        ballot = Ballot(self._highest_round, self.me.name, self.me.boot)
        self._proposal = Proposal(
            self.number + 1,
            ballot,
            change,
            previously_accepted or change == self.durable.accepted,
            now,
            now,
            now + self.timing.backoff // 3,
        )
        self._send_proposal(now)

    def _send_proposal(self, now: int) -> None:
        """Send the proposal to the acceptors that have not answered yet."""
        proposal = self._proposal
        proposal.retry_at = now + self.timing.retry_interval
        view = self.durable.view
        base = view.digest if view is not None else 0
        kind, answered = (Prepare, proposal.promises) if proposal.preparing else (Accept, proposal.accepted_by)
        message = kind(proposal.number, base, proposal.ballot.round, proposal.change, proposal.previously_accepted)
        recipients = self._acceptors() - set(answered)
        if now >= proposal.reassert_at:
            # Keeps acceptors that have answered from proposing themselves while those with slower disks still write.
            proposal.reassert_at = now + self.timing.backoff // 3
            recipients = self._acceptors()
        for name in sorted(recipients - {self.me.name}):
            self._send(name, message)
        if self.me.name in recipients and self.me.name not in answered:
            if proposal.preparing:
                self._on_prepare(now, self.me.name, self.me, message)
            else:
                self._on_accept(now, self.me.name, self.me, message)

    def _ready_at(self) -> int | None:
        """Time (µs) at which a quorum of the promising acceptors can accept; None if too few have promised."""
        ready = self._proposal.ready_at
        names: list[str] = []
        for name, at in sorted(ready.items(), key=lambda row: row[1]):
            names.append(name)
            if self._is_quorum(names):
                return at
        return None

    def _accept_when_ready(self, now: int) -> bool:
        """Send ``Accept`` if a quorum can accept now; return whether it was sent."""
        proposal = self._proposal
        at = self._ready_at() if proposal.preparing else None
        if at is None or now < at:
            return False
        proposal.preparing, proposal.progress_at = False, now
        proposal.rejected_by.clear()
        self._send_proposal(now)
        return True

    def _timeout(self, now: int) -> int:
        """Time (µs) that the proposal may spend without a new answer. It is longer while a quorum is reachable: a new
        proposal would cost acceptors with slow disks another write, and might never be voted on."""
        reachable = {
            name
            for name in self._acceptors() - self._proposal.rejected_by
            if name == self.me.name
            or (self._membership.state(name) is State.ALIVE and self._answered_recently(name, now))
        }
        return self.timing.extended_proposal_timeout if self._is_quorum(reachable) else self.timing.proposal_timeout

    def _abandon_proposal(self, now: int, reason: str) -> None:
        self._failures += 1
        delay = self.timing.backoff * (1 + min(self._failures, 4)) * self._random.uniform(0.5, 1.5)
        self._instructions.append(LogEvent("proposal_failed", {"number": self._proposal.number, "why": reason}))
        self._proposal = self._wanted_change = None
        self._backoff_until = now + int(delay)

    def _on_promise(self, now: int, sender: str, identity: Identity, message: Promise) -> None:
        proposal = self._proposal
        if not self._is_for_current_proposal(message) or not proposal.preparing:
            return
        if sender not in proposal.promises:
            proposal.progress_at = now
        proposal.promises[sender] = (message.ballot, message.change)
        proposal.ready_at[sender] = now + self._grant_duration(message.wait)
        if not self._is_quorum(proposal.promises):
            return
        _, change = max(proposal.promises.values(), key=lambda row: row[0])
        if change is not None and change != proposal.change:
            self._propose(now, change, previously_accepted=True)  # completed first, as it may be decided already
            return
        proposal.previously_accepted = proposal.previously_accepted or change is not None
        self._accept_when_ready(now)

    def _on_accepted(self, now: int, sender: str, identity: Identity, message: Accepted) -> None:
        proposal = self._proposal
        if not self._is_for_current_proposal(message) or proposal.preparing:
            return
        if sender not in proposal.accepted_by:
            proposal.progress_at = now
        proposal.accepted_by.add(sender)
        if not self._is_quorum(proposal.accepted_by):
            return
        view = self.durable.view
        base = view.digest if view is not None else 0
        recipients = (set(self._acceptors()) | {member.name for member in proposal.change.added}) - {self.me.name}
        for name in sorted(recipients):
            self._send(name, Decided(proposal.number, base, proposal.change))
        self._install(now, next_view(view, proposal.change))

    def _on_reject(self, now: int, sender: str, identity: Identity, message: Reject) -> None:
        proposal = self._proposal
        if not self._is_for_current_proposal(message):
            return
        self._highest_round = max(self._highest_round, message.promised)
        if message.reason != "lease":
            proposal.rejected_by.add(sender)
        if not self._is_quorum(self._acceptors() - proposal.rejected_by):
            self._abandon_proposal(now, f"rejected ({message.reason}) by {sender}")
        elif message.reason == "promised":
            self._abandon_proposal(now, f"{sender} has promised a higher ballot")

    def _is_for_current_proposal(self, message: Promise | Accepted | Reject) -> bool:
        proposal = self._proposal
        return proposal is not None and (message.number, message.to) == (proposal.number, proposal.ballot)
