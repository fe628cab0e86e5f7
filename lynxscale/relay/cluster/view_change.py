"""View agreement of one node: numbered views, each decided by a majority of the one before. No I/O, no clock.

Each view is one decision of single-decree Paxos (Lamport 1998) among the members of the view before it; the value is a
membership change. View 1 is decided by all configured nodes, as a node without durable state cannot know whether there
ever was one. A promise is on disk before it is sent (``PersistState``), so that a vote outlives a restart; a node whose
state is lost, or older than what others have seen of it, does not vote until a view decided without its vote has taken
it in by its new generation.

A member may act while it holds a lease of a majority (Gray, Cheriton 1989). The lease counts from the moment of the
request, by the requester's clock; whoever grants it accepts no view without the requester until it has expired, by its
own clock and a margin for clock drift. A node that has accepted a change grants nothing more in this view; and after a
new view, as after a start, no removal is accepted while leases granted before may still be valid. So no view without a
node begins while that node may still act, also where it has not heard of the views between.

A promise says how long such leases remain valid, and no more of them are granted; the proposer sends ``Accept`` once
they have expired at a quorum. So no node waits with an accepted change, granting nothing, for others' leases.

Status of a node:

    forming    no view yet: not all nodes have been heard, or view 1 is being decided
    joining    there is a view, and this generation is not in it
    cut_off    in the view, without a lease: no majority answers
    member     in the view, with a lease: it may act

Times are µs on a clock that goes on while the machine sleeps.
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
    after,
    committee_of,
)
from lynxscale.relay.cluster.proposer import Proposer

CONSIDER_INTERVAL = 100_000  # µs between looks at whether a change is wanted
IDLE_INTERVAL = 500_000  # µs; the same while nothing is wanted


class ViewAgreement(Proposer):
    """One node's view agreement: its events, and which change it proposes when."""

    # Events --------------------------------------------------------------------------------------

    def next_deadline(self) -> int:
        """Time (µs) at which ``tick`` has to be called, at the latest."""
        times = [self._next_look_at, self._next_request_at]
        proposal = self._proposal
        if proposal is not None:
            times.append(proposal.retry_at)
            if proposal.preparing and (ready := self._ready_at()) is not None:
                times.append(ready)
        return min(times)

    @property
    def proposing(self) -> bool:
        """Is a proposal of this node in flight?"""
        return self._proposal is not None

    def membership_changed(self, now: int) -> None:
        """The membership table has changed: consider a proposal soon."""
        self._next_look_at = min(self._next_look_at, now)

    def tick(self, now: int) -> list[ViewInstruction]:
        """Run whatever is due."""
        if now >= self._next_look_at:
            self._consider_proposal(now)
            idle = self._wanted_change is None and self._proposal is None and self.status is ViewStatus.MEMBER
            self._next_look_at = now + (IDLE_INTERVAL if idle else CONSIDER_INTERVAL)
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
        """Retry the proposal in flight, whether or not its time has come."""
        if self._proposal is not None and not self._accept_when_ready(now):
            self._send_proposal(now)
        return self._take_instructions(now)

    def propose(self, now: int, change: MembershipChange) -> list[ViewInstruction]:
        """Propose that change."""
        self._propose(now, change)
        return self._take_instructions(now)

    def request_leases(self, now: int) -> list[ViewInstruction]:
        """Request leases from the committee."""
        self._request_leases(now)
        return self._take_instructions(now)

    def receive(self, now: int, sender: str, identity: Identity, message: ViewMessage) -> list[ViewInstruction]:
        """A message of another node; ``identity``: the process that sent it."""
        if sender in self.names:
            HANDLERS[type(message)](self, now, sender, identity, message)
        return self._take_instructions(now)

    def peer_view_seen(self, now: int, sender: str, number: int, write_count: int) -> list[ViewInstruction]:
        """The head of a frame carried a peer's view number and write count."""
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
        """An exchange with a peer: its view, and the write counts that it knows."""
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
        """A new generation of this process; leases of the one before are not its own."""
        self.me = me
        self._grant_times.clear()
        self._request_times.clear()
        return self._take_instructions(now)

    def reconfigure(self, now: int, names: Iterable[str]) -> list[ViewInstruction]:
        """The configuration has changed: these are the nodes."""
        self.names = frozenset(names) | {self.me.name}
        for table in (self.peer_views, self.write_counts):
            for name in set(table) - self.names:
                del table[name]
        return self._take_instructions(now)

    def forget(self, now: int, name: str) -> str:
        """An operator says that a machine is gone for good; why it cannot be, or an empty text."""
        view = self.durable.view
        if name == self.me.name:
            return "that is this node itself"
        if view is None or name not in view.names:
            return f"{name} is not in the view"
        if self._membership.state(name) is State.ALIVE:
            return f"{name} is alive; stop it first"
        self.declared_gone.add(name)
        self._next_look_at = now
        return ""

    def leave(self, now: int) -> list[ViewInstruction]:
        """Graceful shutdown: this process acts no more and releases its leases."""
        view = self.durable.view
        held = self.me in view.members if view is not None else False
        self.leaving = True
        if held:
            for name in committee_of(view, self.timing.committee_size) - {self.me.name}:
                self._send(name, LeaseRelease(view.number))
        return self._take_instructions(now)

    # Wanted change -------------------------------------------------------------------------------

    def _consider_proposal(self, now: int) -> None:
        """Propose a view where one is wanted and it is this node's turn."""
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
            # What has been accepted is brought to its end first: until then nobody grants leases here.
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
        """This node's rank among possible proposers."""
        view = self.durable.view
        names = self.names if view is None else view.names
        there = sorted(name for name in names if name == self.me.name or self._membership.state(name) is State.ALIVE)
        return there.index(self.me.name) if self.me.name in there else len(there)

    def _wanted_membership_change(self, now: int) -> MembershipChange | None:
        view = self.durable.view
        if view is None:
            return self._first_view_change(now)
        removed, added = [], []
        for member in view.members:
            if member.name == self.me.name:
                continue
            record = self._membership.get(member.name)
            over = member.name in self.declared_gone or (
                record is not None
                and record.update.identity[1:] >= member[1:]
                and record.update.state in (State.FAILED, State.LEFT)
            )
            if over:
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
        # Most of those who are in it stay: what follows is decided by people who know what came before.
        room = (len(view.members) - 1) // 2
        change = MembershipChange(tuple(removed[:room]), tuple(added[: self.timing.max_added]))
        return change if change.removed or change.added else None

    def _first_view_change(self, now: int) -> MembershipChange | None:
        """View 1, once all that the file names are there and none of them knows of a view."""
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
            self._install(now, after(view, message.change))
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
        out, self._instructions = self._instructions, []
        return out


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
