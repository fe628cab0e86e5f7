"""State that the roles of view agreement share: durable state, view, leases, proposal in flight. No I/O, no clock."""

from __future__ import annotations

import random
from collections.abc import Iterable, Mapping
from enum import Enum

from lynxscale.relay.cluster.flapping import FlapBackoff
from lynxscale.relay.cluster.instructions import (
    FetchView,
    LogEvent,
    PersistState,
    SendViewMessage,
    ViewInstruction,
)
from lynxscale.relay.cluster.membership_table import Identity, MembershipTable, State
from lynxscale.relay.cluster.messages import (
    DurableState,
    MembershipChange,
    View,
    ViewMessage,
    committee_of,
    quorum,
)
from lynxscale.relay.cluster.proposal import Proposal
from lynxscale.relay.cluster.timing import ViewTiming

PERSIST_COUNTS_DELAY_US = 5_000_000  # peers' write counts are persisted after this time even without a vote


class ViewStatus(Enum):
    """Whether a node is in the view, and whether it may act. The module ``view_change`` describes each status."""

    FORMING = "forming"
    JOINING = "joining"
    CUT_OFF = "cut_off"
    MEMBER = "member"


class AgreementState:
    """State of one node's view agreement, with the methods that learn and install views.

    ``membership`` is the failure detector's table and only read here. ``last_answered`` maps a node to the time (µs)
    at which it last answered a probe of this node; ``peer_views`` maps a peer to the view number that it reports.
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
        self.write_counts: dict[str, int] = dict(self.durable.peer_write_counts)  # the highest seen from each peer
        self.exchanged_with: set[str] = set()  # peers that have reported our write count
        self.declared_gone: set[str] = set()  # names that an operator has declared gone
        self.conflict = ""  # describes a view that contradicts ours; empty if there is none
        self.leaving = False
        self._membership, self._last_answered = membership, last_answered
        self._random = random.Random(f"{seed} {me.name} views")
        # No change that removes a node is accepted before this time. Until then, leases may still be valid that this
        # process or an earlier one granted, or that were granted in the previous view to nodes that have not yet
        # received this one.
        self._no_removal_until = now + self._grant_duration(self.timing.lease)
        self._granted_until: dict[Identity, int] = {}  # end of each lease granted, by our clock
        self._denied_until: dict[Identity, int] = {}  # end of the time in which a process gets no lease
        self._request_times: dict[int, int] = {}  # time of each lease request, by its token
        self._grant_times: dict[str, int] = {}  # by grantor: time at which the lease that it granted last was requested
        self._token = self._random.randrange(1 << 30)
        self._next_request_at = now
        self._fast_requests_until = 0
        self._wanted_change: tuple[MembershipChange, int] | None = None  # the change, and since when it is wanted
        self._proposal: Proposal | None = None
        self._highest_round = 0
        self._backoff_until = now
        self._failures = 0
        self._flapping = FlapBackoff(self.timing)
        self._next_consider_at = self._next_check_at = now
        self._persist_counts_at = 0  # deadline for writing peers' write counts; 0: they are on disk
        self._next_fetch_at: dict[str, int] = {}
        self._instructions: list[ViewInstruction] = []

    @property
    def view(self) -> View | None:
        """The latest known view; None before the first."""
        return self.durable.view

    @property
    def number(self) -> int:
        """The number of the latest known view; 0 before the first."""
        return self.durable.view.number if self.durable.view is not None else 0

    def _send(self, to: str, message: ViewMessage) -> None:
        self._instructions.append(SendViewMessage(to, message))

    def _persist(self, durable: DurableState, *then: SendViewMessage) -> None:
        """Write the state to disk; the messages in ``then`` are sent once it is there."""
        self._persist_counts_at = 0
        self.durable = durable._replace(
            write_count=durable.write_count + bool(then), peer_write_counts=tuple(sorted(self.write_counts.items()))
        )
        self._instructions.append(PersistState(self.durable, then))

    def _observe_write_count(self, now: int, name: str, write_count: int) -> None:
        if write_count > self.write_counts.get(name, 0):
            self.write_counts[name] = write_count
            # The count has to survive a restart of this node: it is persisted with the next vote, or after a delay
            # without one. Persisting at once would cost every other node a write for each vote.
            self._persist_counts_at = self._persist_counts_at or now + PERSIST_COUNTS_DELAY_US

    def _state_rolled_back(self, write_count: int) -> None:
        """Stop voting: peers have seen a later state of this node than it has, so its disk was rolled back."""
        if self.durable.votes:
            self._instructions.append(LogEvent("forgot", {"mark": self.durable.write_count, "heard": write_count}))
        self._persist(self.durable._replace(write_count=write_count, votes=False))
        self._proposal = None

    def votes(self, now: int) -> bool:
        """Return whether this node may vote: enough peers have confirmed that its durable state is not out of date."""
        if not self.durable.votes or self.conflict:
            return False
        view = self.durable.view
        if view is None:
            return self.names <= self.exchanged_with | {self.me.name}
        if self.me.name not in view.names:
            return False
        return self.me in view.members or quorum(view, frozenset(view.names))(self.exchanged_with | {self.me.name})

    def _learn_view(self, now: int, view: View, sender: str) -> None:
        """Install a decided view that a peer sent if it is newer, or record that it contradicts ours."""
        ours = self.durable.view
        if ours is not None and view.lineage != ours.lineage:
            self._record_conflict(
                f"{sender} is in a cluster that began apart: lineage {view.lineage:x}, ours {ours.lineage:x}"
            )
        elif view.number == self.number and ours is not None and view.digest != ours.digest:
            self._record_conflict(f"{sender} has another view {view.number}: {view.digest:x}, ours {ours.digest:x}")
        elif view.number > self.number:
            self._install(now, view)

    def _record_conflict(self, description: str) -> None:
        if not self.conflict:
            self.conflict = description
            self._instructions.append(LogEvent("split", {"what": description}))

    def _install(self, now: int, view: View) -> None:
        ours = self.durable.view
        # A node without a view may have lost its state: it votes only once a view contains its current generation.
        votes = self.me in view.members or (self.durable.votes and ours is not None)
        if ours is not None:
            current = set(view.members)
            for member in ours.members:
                if member not in current and member.name not in view.names:
                    self._flapping.removed(member.name, now)
        self._persist(DurableState(view, write_count=self.durable.write_count, votes=votes))
        self._grant_times.clear()
        self._request_times.clear()
        self._granted_until.clear()
        self._denied_until.clear()
        self._no_removal_until = now + self._grant_duration(self.timing.lease)
        self._proposal = self._wanted_change = None
        self._failures = 0
        self._next_request_at = self._next_consider_at = now
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

    def _fetch_view(self, now: int, sender: str) -> None:
        """Fetch a peer's later view, at most once per ``stable_for`` from each peer."""
        if now >= self._next_fetch_at.get(sender, now):
            self._next_fetch_at[sender] = now + self.timing.stable_for
            self._instructions.append(FetchView(sender))

    def _grant_duration(self, lease: int) -> int:
        """Time (µs) for which a grantor honours a lease: its duration and a margin for clock drift."""
        return int(lease * (1 + self.timing.clock_drift))

    def _acceptors(self) -> frozenset[str]:
        view = self.durable.view
        return self.names if view is None else frozenset(view.names)

    def _is_quorum(self, names: Iterable[str]) -> bool:
        """Return whether these names are a quorum. View 1 needs all configured nodes, as a node without
        durable state cannot tell whether it never had any or has lost it."""
        view = self.durable.view
        if view is None:
            return self.names <= set(names)
        return quorum(view, committee_of(view, self.timing.committee_size))(names)

    def _current_identity(self, name: str) -> Identity | None:
        """The process of a node that is alive; None if the node is not alive."""
        if name == self.me.name:
            return self.me
        record = self._membership.get(name)
        return record.update.identity if record is not None and record.update.state is State.ALIVE else None

    def _answered_recently(self, name: str, now: int) -> bool:
        answered = self._last_answered.get(name)
        return answered is not None and now - answered < max(
            self.timing.answer_validity, len(self.names) * self.timing.answer_validity // 6
        )

    def _is_reachable(self, identity: Identity, now: int) -> bool:
        """Return whether exactly this process answers this node. Protects a healthy process from removal by a proposer
        that has a bad link to it."""
        record = self._membership.get(identity.name)
        return (
            record is not None
            and record.update.identity == identity
            and record.update.state is State.ALIVE
            and self._answered_recently(identity.name, now)
        )
