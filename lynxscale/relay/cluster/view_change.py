"""View agreement of one node: numbered views, each decided by a majority of the one before. No I/O, no clock.

Each view is one decision of single-decree Paxos (Lamport 1998) among the members of the view before it; the value is a
membership change. View 1 has to be accepted by all configured nodes, as a node without durable state cannot know
whether there was a view before. A promise is on disk before it is sent (``PersistState``), so that it survives a
restart. A node whose state is lost, or older than what others have seen of it, does not vote until a view that was
decided without its vote contains its new generation.

A member may act while it holds a lease from a majority (Gray, Cheriton 1989). A lease starts at the time of its request
by the requester's clock. Its grantor accepts no view without the requester until the lease has expired by the grantor's
own clock, with a margin for clock drift. A node that has accepted a change grants no further leases in this view. After
a new view, and after a start, no removal is accepted while leases granted earlier may still be valid. So no view
without a node begins while that node may still act, even if the node has not received the views in between.

A promise states for how long the leases that the acceptor has granted forbid it to accept the change; it does not renew
them. The proposer sends ``Accept`` once they have expired at a quorum. So no acceptor holds an accepted change, which
keeps it from granting leases, while other acceptors still wait for leases to expire.

Status of a node:

    forming    no view yet: some nodes have not been heard from, or view 1 is being decided
    joining    there is a view, but it does not contain this generation
    cut_off    in the view, without a lease: no majority answers
    member     in the view, with a lease: it may act

Times are µs on a clock that also counts time in which the machine is suspended.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from lynxscale.relay.cluster.agreement_state import ViewStatus
from lynxscale.relay.cluster.instructions import (
    FetchView,
    LogEvent,
    RemovedFromView,
    ViewInstruction,
)
from lynxscale.relay.cluster.membership_table import Identity, State
from lynxscale.relay.cluster.messages import (
    Accept,
    Accepted,
    Decided,
    LeaseGrant,
    LeaseRelease,
    LeaseRequest,
    MembershipChange,
    Prepare,
    Promise,
    Reject,
    View,
    ViewMessage,
    committee_of,
    next_view,
)
from lynxscale.relay.cluster.proposer import Proposer

CONSIDER_INTERVAL_US = 100_000  # time between checks whether a change is wanted
IDLE_CONSIDER_INTERVAL_US = 500_000  # time between these checks while no change is wanted


class ViewAgreement(Proposer):
    """One node's view agreement: handles events, and decides which change to propose and when."""

    # Events --------------------------------------------------------------------------------------

    def next_deadline(self) -> int:
        """Latest time (µs) at which ``tick`` has to be called."""
        times = [self._next_consider_at, self._next_request_at]
        proposal = self._proposal
        if proposal is not None:
            times.append(proposal.retry_at)
            if proposal.preparing and (ready := self._ready_at()) is not None:
                times.append(ready)
        return min(times)

    @property
    def proposing(self) -> bool:
        """Whether a proposal of this node is in flight."""
        return self._proposal is not None

    def membership_changed(self, now: int) -> None:
        """Consider a proposal soon, as the membership table has changed."""
        self._next_consider_at = min(self._next_consider_at, now)

    def tick(self, now: int) -> list[ViewInstruction]:
        """Run everything that is due."""
        if now >= self._next_consider_at:
            self._consider_proposal(now)
            idle = self._wanted_change is None and self._proposal is None and self.status is ViewStatus.MEMBER
            self._next_consider_at = now + (IDLE_CONSIDER_INTERVAL_US if idle else CONSIDER_INTERVAL_US)
            if self._persist_counts_at and now >= self._persist_counts_at:
                self._persist(self.durable)
        if now >= self._next_request_at:
            self._request_leases(now)
            self._next_request_at = now + self._request_interval(now)
        proposal = self._proposal
        if proposal is not None:
            if now - proposal.progress_at > self._timeout(now):
                self._abandon_proposal(now, "no majority answers")
            elif not self._accept_when_ready(now) and now >= proposal.retry_at:
                self._send_proposal(now)
        return self._take_instructions(now)

    def retry_proposal(self, now: int) -> list[ViewInstruction]:
        """Retry the proposal in flight, even before its retry time."""
        if self._proposal is not None and not self._accept_when_ready(now):
            self._send_proposal(now)
        return self._take_instructions(now)

    def propose(self, now: int, change: MembershipChange) -> list[ViewInstruction]:
        """Propose a change."""
        self._propose(now, change)
        return self._take_instructions(now)

    def request_leases(self, now: int) -> list[ViewInstruction]:
        """Request leases from the committee."""
        self._request_leases(now)
        return self._take_instructions(now)

    def receive(self, now: int, sender: str, identity: Identity, message: ViewMessage) -> list[ViewInstruction]:
        """Process a message of another node; ``identity``: the process that sent it."""
        if sender in self.names:
            HANDLERS[type(message)](self, now, sender, identity, message)
        return self._take_instructions(now)

    def peer_view_seen(self, now: int, sender: str, number: int, write_count: int) -> list[ViewInstruction]:
        """Process the view number and write count in a frame of a peer."""
        if sender not in self.names:
            return []
        self._observe_write_count(now, sender, write_count)
        self.peer_views[sender] = number
        if number > self.number:
            self._fetch_view(now, sender)
        return self._take_instructions(now)

    def receive_exchange(
        self, now: int, sender: str, view: View | None, write_counts: Mapping[str, int]
    ) -> list[ViewInstruction]:
        """Process a peer's exchange: its view, and the write counts that it knows."""
        if sender not in self.names:
            return []
        for name, write_count in write_counts.items():
            if name != self.me.name and name in self.names:
                self._observe_write_count(now, name, write_count)
        if write_counts.get(self.me.name, 0) > self.durable.write_count:
            self._state_rolled_back(write_counts[self.me.name])
        if view is not None:
            self._learn_view(now, view, sender)
        self.exchanged_with.add(sender)
        return self._take_instructions(now)

    def renew(self, now: int, me: Identity) -> list[ViewInstruction]:
        """Start a later generation of this process, without the leases of the one before."""
        self.me = me
        self._grant_times.clear()
        self._request_times.clear()
        return self._take_instructions(now)

    def reconfigure(self, now: int, names: Iterable[str]) -> list[ViewInstruction]:
        """Apply a changed configuration; ``names`` are its nodes."""
        self.names = frozenset(names) | {self.me.name}
        for table in (self.peer_views, self.write_counts):
            for name in set(table) - self.names:
                del table[name]
        return self._take_instructions(now)

    def forget(self, now: int, name: str) -> str:
        """Declare a node permanently gone, on an operator's request. Return why that is refused, or an empty string."""
        view = self.durable.view
        if name == self.me.name:
            return "that is this node itself"
        if view is None or name not in view.names:
            return f"{name} is not in the view"
        if self._membership.state(name) is State.ALIVE:
            return f"{name} is alive; stop it first"
        self.declared_gone.add(name)
        self._next_consider_at = now
        return ""

    def leave(self, now: int) -> list[ViewInstruction]:
        """Graceful shutdown: stop acting and release this process's leases."""
        view = self.durable.view
        is_member = self.me in view.members if view is not None else False
        self.leaving = True
        if is_member:
            for name in committee_of(view, self.timing.committee_size) - {self.me.name}:
                self._send(name, LeaseRelease(view.number))
        return self._take_instructions(now)

    # Wanted change -------------------------------------------------------------------------------

    def _consider_proposal(self, now: int) -> None:
        """Propose a change if one is wanted and it is this node's turn."""
        votes = self.votes(now)
        if not votes and self.durable.votes and now >= self._next_check_at:
            self._next_check_at = now + self.timing.stable_for
            unchecked = [
                name
                for name in sorted(self.names - self.exchanged_with - {self.me.name})
                if self._membership.state(name) is State.ALIVE
            ]
            for name in self._random.sample(unchecked, min(len(unchecked), 3)):
                self._instructions.append(FetchView(name))
        change = None
        if votes and not (self.leaving or self._proposal):
            # An accepted change is completed first: until it is decided, this node grants no leases.
            change = self.durable.accepted or self._wanted_membership_change(now)
        if change is None:
            if self._proposal is None:
                self._wanted_change = None
            return
        if self._wanted_change is None or self._wanted_change[0] != change:
            self._wanted_change = change, now
        since = now - self._wanted_change[1]
        if (
            since >= self.timing.stable_for + self._proposer_rank() * self.timing.rank_delay
            and now >= self._backoff_until
        ):
            self._propose(now, change)

    def _proposer_rank(self) -> int:
        """This node's rank among the possible proposers."""
        view = self.durable.view
        names = self.names if view is None else view.names
        candidates = sorted(
            name for name in names if name == self.me.name or self._membership.state(name) is State.ALIVE
        )
        return candidates.index(self.me.name) if self.me.name in candidates else len(candidates)

    def _wanted_membership_change(self, now: int) -> MembershipChange | None:
        view = self.durable.view
        if view is None:
            return self._first_view_change(now)
        removed, added = [], []
        for member in view.members:
            if member.name == self.me.name:
                continue
            record = self._membership.get(member.name)
            is_gone = member.name in self.declared_gone or (
                record is not None
                and record.update.identity[1:] >= member[1:]
                and record.update.state in (State.FAILED, State.LEFT)
            )
            if is_gone:
                removed.append(member.name)
        for name in sorted(self.names - set(removed)):
            present, listed = self._current_identity(name), view.identity_of(name)
            if present is None or present == listed or (listed is not None and present[1:] < listed[1:]):
                continue
            if listed is None and now < self._flapping.until(name):
                continue
            if name != self.me.name and not self._answered_recently(name, now):
                continue
            added.append(present)
        # A majority of the members stays, so that the next change is decided mostly by nodes that know this view.
        max_removed = (len(view.members) - 1) // 2
        change = MembershipChange(tuple(removed[:max_removed]), tuple(added[: self.timing.max_added]))
        return change if change.removed or change.added else None

    def _first_view_change(self, now: int) -> MembershipChange | None:
        """The change to view 1, once all configured nodes are alive and none of them knows a view."""
        present = [self._current_identity(name) for name in sorted(self.names)]
        if None in present or any(self.peer_views.get(name, 1) for name in self.names - {self.me.name}):
            return None
        return (
            MembershipChange((), tuple(present[: self.timing.max_added]), 1 + self._random.getrandbits(62))
            if self._wanted_change is None
            else self._wanted_change[0]._replace(added=tuple(present[: self.timing.max_added]))
        )

    # Status --------------------------------------------------------------------------------------

    def _on_decided(self, now: int, sender: str, identity: Identity, message: Decided) -> None:
        view = self.durable.view
        if message.number == self.number + 1 and message.base == (view.digest if view is not None else 0):
            self._install(now, next_view(view, message.change))
        elif message.number > self.number:
            self._fetch_view(now, sender)

    def _current_status(self, now: int) -> ViewStatus:
        view = self.durable.view
        if view is None:
            return ViewStatus.FORMING
        if self.me in view.members:
            return ViewStatus.MEMBER if self.may_act(now) else ViewStatus.CUT_OFF
        return ViewStatus.JOINING

    def _take_instructions(self, now: int) -> list[ViewInstruction]:
        status = self._current_status(now)
        if status is not self.status:
            before, self.status = self.status, status
            if before in (ViewStatus.MEMBER, ViewStatus.CUT_OFF) and status is ViewStatus.JOINING:
                self._instructions.append(RemovedFromView(self.number))
            self._instructions.append(
                LogEvent("standing", {"now": status.value, "before": before.value, "view": self.number})
            )
        instructions, self._instructions = self._instructions, []
        return instructions


HANDLERS: dict[type, Callable] = {
    Prepare: ViewAgreement._on_prepare,
    Promise: ViewAgreement._on_promise,
    Accept: ViewAgreement._on_accept,
    Accepted: ViewAgreement._on_accepted,
    Reject: ViewAgreement._on_reject,
    Decided: ViewAgreement._on_decided,
    LeaseRequest: ViewAgreement._on_lease_request,
    LeaseGrant: ViewAgreement._on_lease_grant,
    LeaseRelease: ViewAgreement._on_lease_release,
}
