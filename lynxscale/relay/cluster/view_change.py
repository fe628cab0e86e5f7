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

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum

from lynxscale.relay.cluster.instructions import (
    FetchView,
    LogEvent,
    PersistState,
    RemovedFromView,
    SendViewMessage,
    ViewInstruction,
)
from lynxscale.relay.cluster.membership_table import Identity, MembershipTable, State
from lynxscale.relay.cluster.messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    Decided,
    DurableState,
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
    quorum,
    removed,
)
from lynxscale.relay.cluster.timing import ViewTiming


class ViewStatus(Enum):
    FORMING = "forming"
    JOINING = "joining"
    CUT_OFF = "cut_off"
    MEMBER = "member"


@dataclass(slots=True)
class _Proposal:
    number: int
    ballot: Ballot
    change: MembershipChange
    previously_accepted: bool  # some acceptor has accepted that change before
    progress_at: int  # when it began, or last had a new answer
    retry_at: int
    reassert_at: int  # when it is next sent to those too that have answered
    promises: dict[str, tuple[Ballot, MembershipChange | None]] = field(default_factory=dict)
    ready_at: dict[str, int] = field(default_factory=dict)  # when each that has promised can accept
    accepted_by: set[str] = field(default_factory=set)
    rejected_by: set[str] = field(default_factory=set)
    preparing: bool = True  # for promises; else to accept


class ViewAgreement:
    """One node's part in view agreement.

    ``membership`` is the failure detector's table, read and never changed; ``last_answered``: when (µs) a node last
    answered a probe of ours; ``peer_views``: the view numbers that peers report.
    """

    def __init__(
        self,
        me: Identity,
        names: Iterable[str],
        seed: str,
        now: int,
        durable: DurableState | None,
        membership: MembershipTable,
        last_answered: Mapping[str, int],
        timing: ViewTiming | None = None,
    ) -> None:
        self.me, self.names, self.timing = me, frozenset(names) | {me.name}, timing or ViewTiming()
        self.durable = durable or DurableState()
        self.status = ViewStatus.FORMING
        self.peer_views: dict[str, int] = {}
        self.write_counts: dict[str, int] = dict(self.durable.peer_write_counts)  # the highest seen of each peer
        self.exchanged_with: set[str] = set()  # peers that have reported our write count
        self.declared_gone: set[str] = set()  # names that an operator has declared gone
        self.conflict = ""  # text: a view that contradicts ours; empty: none
        self.leaving = False
        self._membership, self._last_answered = membership, last_answered
        self._random = random.Random(f"{seed} {me.name} views")
        # Nothing is accepted that removes a node until then: what this or an earlier process has granted, or nodes
        # that have not heard of this view were granted in the one before, may hold until then.
        self._no_removal_until = now + self._grant_duration(self.timing.lease)
        self._granted_until: dict[Identity, int] = {}  # until when, by our clock
        self._denied_until: dict[Identity, int] = {}  # who gets no more, until when
        self._request_times: dict[int, int] = {}  # token, when
        self._grant_times: dict[str, int] = {}  # who, and when we had asked
        self._token = self._random.randrange(1 << 30)
        self._next_request_at = now
        self._fast_requests_until = 0
        self._wanted_change: tuple[MembershipChange, int] | None = None  # and since when
        self._proposal: _Proposal | None = None
        self._highest_round = 0
        self._backoff_until = now
        self._failures = 0
        self._removal_times: dict[str, list[int]] = {}
        self._next_look_at = self._next_check_at = now
        self._persist_counts_at = 0  # deadline for writing peers' write counts; 0: they are on disk
        self._next_fetch_at: dict[str, int] = {}
        self._instructions: list[ViewInstruction] = []

    # Queries -------------------------------------------------------------------------------------

    @property
    def view(self) -> View | None:
        return self.durable.view

    @property
    def number(self) -> int:
        return self.durable.view.number if self.durable.view is not None else 0

    def lease_until(self, now: int) -> int:
        """Time (µs) until which this node may act without a further grant; 0 where it may not."""
        view = self.durable.view
        if view is None or self.conflict or self.leaving or self.me not in view.members:
            return 0
        if self.durable.accepted is not None and self.me in removed(view, self.durable.accepted):
            return 0
        committee = committee_of(view, self.timing.committee_size)
        times = sorted(
            (now if name == self.me.name else self._grant_times.get(name, 0) for name in committee), reverse=True
        )
        asked = times[len(committee) // 2]
        return asked + self.timing.lease if asked else 0

    def may_act(self, now: int) -> bool:
        """Has it a lease? ``now`` has to be read right before the act."""
        return now < self.lease_until(now)

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
        return self._proposal is not None

    def lease_grantors(self, now: int) -> list[str]:
        """Members of the committee with a valid grant for this node."""
        return sorted(name for name, asked in self._grant_times.items() if now < asked + self.timing.lease)

    # Events --------------------------------------------------------------------------------------

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

    # Durable state -------------------------------------------------------------------------------

    def _observe_write_count(self, now: int, name: str, write_count: int) -> None:
        if write_count > self.write_counts.get(name, 0):
            self.write_counts[name] = write_count
            # Known after a restart of ours too: with our next vote, or soon without one. Not at once, as each vote of
            # each node would cost all others a write.
            self._persist_counts_at = self._persist_counts_at or now + PERSIST_COUNTS_AFTER

    def _send(self, to: str, message: ViewMessage) -> None:
        self._instructions.append(SendViewMessage(to, message))

    def _persist(self, durable: DurableState, *then: SendViewMessage) -> None:
        """Write the state; ``then`` is sent once it is on disk."""
        self._persist_counts_at = 0
        self.durable = durable._replace(
            write_count=durable.write_count + bool(then), peer_write_counts=tuple(sorted(self.write_counts.items()))
        )
        self._instructions.append(PersistState(self.durable, then))

    def _state_rolled_back(self, write_count: int) -> None:
        """Peers have seen a later state of this node than it has: its disk was rolled back."""
        if self.durable.votes:
            self._instructions.append(LogEvent("forgot", {"mark": self.durable.write_count, "heard": write_count}))
        self._persist(self.durable._replace(write_count=write_count, votes=False))
        self._proposal = None

    def votes(self, now: int) -> bool:
        """Does it remember all that it has promised, as far as others can tell?"""
        if not self.durable.votes or self.conflict:
            return False
        view = self.durable.view
        if view is None:
            return self.names <= self.exchanged_with | {self.me.name}
        if self.me.name not in view.names:
            return False
        return self.me in view.members or quorum(view, frozenset(view.names))(self.exchanged_with | {self.me.name})

    # Learning ------------------------------------------------------------------------------------

    def _learn_view(self, now: int, view: View, sender: str) -> None:
        """A view that was decided, from somebody who has it."""
        ours = self.durable.view
        if ours is not None and view.lineage != ours.lineage:
            self._record_conflict(
                f"{sender} is in a cluster that began apart: lineage {view.lineage:x}, ours {ours.lineage:x}"
            )
        elif view.number == self.number and ours is not None and view.digest != ours.digest:
            self._record_conflict(f"{sender} has another view {view.number}: {view.digest:x}, ours {ours.digest:x}")
        elif view.number > self.number:
            self._install(now, view)

    def _record_conflict(self, what: str) -> None:
        if not self.conflict:
            self.conflict = what
            self._instructions.append(LogEvent("split", {"what": what}))

    def _install(self, now: int, view: View) -> None:
        ours = self.durable.view
        # A node without a view may have forgotten one: it votes once a view has this very generation.
        votes = self.me in view.members or (self.durable.votes and ours is not None)
        if ours is not None:
            there = set(view.members)
            for member in ours.members:
                if member not in there and member.name not in view.names:
                    self._removal_times.setdefault(member.name, []).append(now)
        self._persist(DurableState(view, write_count=self.durable.write_count, votes=votes))
        self._grant_times.clear()
        self._request_times.clear()
        self._granted_until.clear()
        self._denied_until.clear()
        self._no_removal_until = now + self._grant_duration(self.timing.lease)
        self._proposal = self._wanted_change = None
        self._failures = 0
        self._next_request_at = self._next_look_at = now
        self._fast_requests_until = now + 2 * self.timing.lease
        self.declared_gone &= set(view.names)
        before = set(ours.members) if ours is not None else set()
        self._instructions.append(
            LogEvent(
                "view",
                {
                    "number": view.number,
                    "digest": f"{view.digest:x}",
                    "members": " ".join(view.names),
                    "come": " ".join(
                        f"{member.name}/{member.generation}" for member in view.members if member not in before
                    ),
                    "gone": " ".join(
                        f"{member.name}/{member.generation}" for member in sorted(before - set(view.members))
                    ),
                },
            )
        )

    # Leases --------------------------------------------------------------------------------------

    def _grant_duration(self, lease: int) -> int:
        """µs for which a granter honours a lease."""
        return int(lease * (1 + self.timing.clock_drift))

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
        """µs until the next asking. Guards a healthy member on a bad network: while asks or grants are lost they go
        again soon; who has been without a lease for long has no hurry."""
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
                self._send(
                    sender, Reject(message.number, NO_BALLOT, 0, "behind")
                )  # its head tells what there is to fetch
            return
        if self.conflict or self.durable.accepted is not None or now < self._denied_until.get(identity, 0):
            return  # the next view may be decided already, and count on no more leases in this one
        self._granted_until[identity] = now + self._grant_duration(self.timing.lease)
        self._send(sender, LeaseGrant(message.number, message.token))

    def _on_lease_grant(self, now: int, sender: str, identity: Identity, message: LeaseGrant) -> None:
        asked = self._request_times.get(message.token)
        if asked is not None and message.number == self.number:
            self._grant_times[sender] = max(asked, self._grant_times.get(sender, 0))

    def _on_lease_release(self, now: int, sender: str, identity: Identity, message: LeaseRelease) -> None:
        self._granted_until.pop(identity, None)

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

    def _current_identity(self, name: str) -> Identity | None:
        """The process of a node that is alive; None where it is not."""
        if name == self.me.name:
            return self.me
        record = self._membership.get(name)
        return record.update.identity if record is not None and record.update.state is State.ALIVE else None

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
            if listed is None and now < self._flap_backoff_until(name):
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

    def _answered_recently(self, name: str, now: int) -> bool:
        answered = self._last_answered.get(name)
        return answered is not None and now - answered < max(
            self.timing.answer_validity, len(self.names) * self.timing.answer_validity // 6
        )

    def _flap_backoff_until(self, name: str) -> int:
        """Guards against a node that comes and goes: each removal keeps it out for twice as long as the one before."""
        timing = self.timing
        times = self._removal_times.get(name, [])
        if not times:
            return 0
        recent = [at for at in times if times[-1] - at < timing.flap_window]
        self._removal_times[name] = recent
        if len(recent) < 2:
            return 0
        return recent[-1] + min(timing.flap_backoff_max, timing.flap_backoff << (len(recent) - 2))

    # Proposing -----------------------------------------------------------------------------------

    def _acceptors(self) -> frozenset[str]:
        view = self.durable.view
        return self.names if view is None else frozenset(view.names)

    def _is_quorum(self, names: Iterable[str]) -> bool:
        """The first view needs all: who has no memory cannot know what it has forgotten."""
        view = self.durable.view
        if view is None:
            return self.names <= set(names)
        return quorum(view, committee_of(view, self.timing.committee_size))(names)

    def propose(self, now: int, change: MembershipChange) -> list[ViewInstruction]:
        """Propose that change."""
        self._propose(now, change)
        return self._take_instructions(now)

    def request_leases(self, now: int) -> list[ViewInstruction]:
        """Request leases from the committee."""
        self._request_leases(now)
        return self._take_instructions(now)

    def _propose(self, now: int, change: MembershipChange, previously_accepted: bool = False) -> None:
        self._highest_round = max(self._highest_round, self.durable.promised.round) + 1
        ballot = Ballot(self._highest_round, self.me.name, self.me.boot)
        self._proposal = _Proposal(
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
        """Ask whoever has not answered so far."""
        proposal = self._proposal
        proposal.retry_at = now + self.timing.retry_interval
        view = self.durable.view
        base = view.digest if view is not None else 0
        kind, answered = (Prepare, proposal.promises) if proposal.preparing else (Accept, proposal.accepted_by)
        message = kind(proposal.number, base, proposal.ballot.round, proposal.change, proposal.previously_accepted)
        asked = self._acceptors() - set(answered)
        if now >= proposal.reassert_at:
            # Guards against those who have answered and would propose themselves while slower disks still write.
            proposal.reassert_at = now + self.timing.backoff // 3
            asked = self._acceptors()
        for name in sorted(asked - {self.me.name}):
            self._send(name, message)
        if self.me.name in asked and self.me.name not in answered:
            HANDLERS[kind](self, now, self.me.name, self.me, message)

    def _ready_at(self) -> int | None:
        """When so many of those who have promised can accept that they decide; None: too few have promised."""
        ready = self._proposal.ready_at
        names: list[str] = []
        for name, at in sorted(ready.items(), key=lambda row: row[1]):
            names.append(name)
            if self._is_quorum(names):
                return at
        return None

    def _accept_when_ready(self, now: int) -> bool:
        """Ask for acceptance, if the time for it has come."""
        proposal = self._proposal
        at = self._ready_at() if proposal.preparing else None
        if at is None or now < at:
            return False
        proposal.preparing, proposal.progress_at = False, now
        proposal.rejected_by.clear()
        self._send_proposal(now)
        return True

    def _timeout(self, now: int) -> int:
        """µs for which the proposal may go without a new answer. Guards those whose disks are slow: begun anew it would
        cost them another write, and never be voted on."""
        there = {
            name
            for name in self._acceptors() - self._proposal.rejected_by
            if name == self.me.name
            or (self._membership.state(name) is State.ALIVE and self._answered_recently(name, now))
        }
        return self.timing.extended_proposal_timeout if self._is_quorum(there) else self.timing.proposal_timeout

    def _abandon_proposal(self, now: int, reason: str) -> None:
        self._failures += 1
        rest = self.timing.backoff * (1 + min(self._failures, 4)) * self._random.uniform(0.5, 1.5)
        self._instructions.append(LogEvent("proposal_failed", {"number": self._proposal.number, "why": reason}))
        self._proposal = self._wanted_change = None
        self._backoff_until = now + int(rest)

    def _on_prepare(self, now: int, sender: str, identity: Identity, message: Prepare) -> None:
        ballot, durable = Ballot(message.round, sender, identity.boot), self.durable
        if not self._check_ballot(now, sender, ballot, message):
            return
        wait = self._lease_wait(now, message)
        if wait is None:
            self._reject(sender, message.number, ballot, "alive")
            return
        if sender != self.me.name:
            # Guards a proposer that waits for leases to run out, or for the slower disks of others, against those whose
            # turn would come meanwhile.
            self._backoff_until = max(self._backoff_until, now + wait + self.timing.backoff)
        promise = SendViewMessage(sender, Promise(message.number, ballot, durable.ballot, durable.accepted, wait))
        if ballot == durable.promised:
            self._instructions.append(
                PersistState(durable, (promise,))
            )  # said once more; behind what may still be on its way to disk
        else:
            self._persist(durable._replace(promised=ballot), promise)

    def _lease_wait(self, now: int, message: Prepare | Accept) -> int | None:
        """µs for which granted leases forbid accepting this; None: a process to be removed answers this node.

        Processes to be removed get no more leases: else theirs would be renewed for ever.
        """
        wait = 0
        for member in removed(self.durable.view, message.change):
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

    def _check_ballot(self, now: int, sender: str, ballot: Ballot, message: Prepare | Accept) -> bool:
        """Can it be voted on here? If not, the proposer is sent the reason."""
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

    def _reject(self, sender: str, number: int, ballot: Ballot, reason: str) -> None:
        self._send(sender, Reject(number, ballot, self.durable.promised.round, reason))

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
            self._propose(now, change, previously_accepted=True)  # it may be decided already: ours has to wait
            return
        proposal.previously_accepted = proposal.previously_accepted or change is not None
        self._accept_when_ready(now)

    def _on_accept(self, now: int, sender: str, identity: Identity, message: Accept) -> None:
        ballot, durable = Ballot(message.round, sender, identity.boot), self.durable
        if not self._check_ballot(now, sender, ballot, message):
            return
        if sender != self.me.name:
            # Guards a proposer that waits for a slow disk, here or elsewhere: it asks again until it has its answer,
            # and a proposal of ours meanwhile would have it begin anew.
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

    def _is_reachable(self, identity: Identity, now: int) -> bool:
        """Does this very process answer this node? Guards it against proposers whose own link to it is bad."""
        record = self._membership.get(identity.name)
        return (
            record is not None
            and record.update.identity == identity
            and record.update.state is State.ALIVE
            and self._answered_recently(identity.name, now)
        )

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
        self._install(now, after(view, proposal.change))

    def _on_reject(self, now: int, sender: str, identity: Identity, message: Reject) -> None:
        proposal = self._proposal
        if not self._is_for_current_proposal(message):
            return
        self._highest_round = max(self._highest_round, message.promised)
        if message.reason != "lease":
            proposal.rejected_by.add(sender)
        if not self._is_quorum(self._acceptors() - proposal.rejected_by):
            self._abandon_proposal(now, f"{message.reason}, says {sender}")
        elif message.reason == "promised":
            self._abandon_proposal(now, f"{sender} has promised another")

    def _is_for_current_proposal(self, message: Promise | Accepted | Reject) -> bool:
        proposal = self._proposal
        return proposal is not None and (message.number, message.to) == (proposal.number, proposal.ballot)

    def _on_decided(self, now: int, sender: str, identity: Identity, message: Decided) -> None:
        view = self.durable.view
        if message.number == self.number + 1 and message.base == (view.digest if view is not None else 0):
            self._install(now, after(view, message.change))
        elif message.number > self.number:
            self._fetch_view(now, sender)

    def _fetch_view(self, now: int, sender: str) -> None:
        """A peer has a later view: fetch it, again and again until it is here."""
        if now >= self._next_fetch_at.get(sender, now):
            self._next_fetch_at[sender] = now + self.timing.stable_for
            self._instructions.append(FetchView(sender))

    # Status --------------------------------------------------------------------------------------

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


CONSIDER_INTERVAL, IDLE_INTERVAL = 100_000, 500_000  # µs; the second while nothing is wanted
PERSIST_COUNTS_AFTER = 5_000_000
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
