"""What the roles of view agreement share: durable state, the view, leases, the proposal in flight. No I/O, no clock."""

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

PERSIST_COUNTS_AFTER = 5_000_000  # µs until peers' write counts are written without a vote


class ViewStatus(Enum):
    """Whether a node is in the view, and whether it may act; the module ``view_change`` has the table."""

    FORMING = "forming"
    JOINING = "joining"
    CUT_OFF = "cut_off"
    MEMBER = "member"


class AgreementState:
    """State of one node's view agreement, and how it learns and installs views.

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
        self._proposal: Proposal | None = None
        self._highest_round = 0
        self._backoff_until = now
        self._failures = 0
        self._flapping = FlapBackoff(self.timing)
        self._next_look_at = self._next_check_at = now
        self._persist_counts_at = 0  # deadline for writing peers' write counts; 0: they are on disk
        self._next_fetch_at: dict[str, int] = {}
        self._instructions: list[ViewInstruction] = []

    @property
    def view(self) -> View | None:
        """The latest view that this node knows; None before the first."""
        return self.durable.view

    @property
    def number(self) -> int:
        """The number of that view; 0 before the first."""
        return self.durable.view.number if self.durable.view is not None else 0

    def _send(self, to: str, message: ViewMessage) -> None:
        self._instructions.append(SendViewMessage(to, message))

    def _persist(self, durable: DurableState, *then: SendViewMessage) -> None:
        """Write the state; ``then`` is sent once it is on disk."""
        self._persist_counts_at = 0
        self.durable = durable._replace(
            write_count=durable.write_count + bool(then), peer_write_counts=tuple(sorted(self.write_counts.items()))
        )
        self._instructions.append(PersistState(self.durable, then))

    def _observe_write_count(self, now: int, name: str, write_count: int) -> None:
        if write_count > self.write_counts.get(name, 0):
            self.write_counts[name] = write_count
            # Known after a restart of ours too: with our next vote, or soon without one. Not at once, as each vote of
            # each node would cost all others a write.
            self._persist_counts_at = self._persist_counts_at or now + PERSIST_COUNTS_AFTER

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
                    self._flapping.removed(member.name, now)
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

    def _fetch_view(self, now: int, sender: str) -> None:
        """A peer has a later view: fetch it, again and again until it is here."""
        if now >= self._next_fetch_at.get(sender, now):
            self._next_fetch_at[sender] = now + self.timing.stable_for
            self._instructions.append(FetchView(sender))

    def _grant_duration(self, lease: int) -> int:
        """µs for which a granter honours a lease."""
        return int(lease * (1 + self.timing.clock_drift))

    def _acceptors(self) -> frozenset[str]:
        view = self.durable.view
        return self.names if view is None else frozenset(view.names)

    def _is_quorum(self, names: Iterable[str]) -> bool:
        """The first view needs all: who has no memory cannot know what it has forgotten."""
        view = self.durable.view
        if view is None:
            return self.names <= set(names)
        return quorum(view, committee_of(view, self.timing.committee_size))(names)

    def _current_identity(self, name: str) -> Identity | None:
        """The process of a node that is alive; None where it is not."""
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
        """Does this very process answer this node? Guards it against proposers whose own link to it is bad."""
        record = self._membership.get(identity.name)
        return (
            record is not None
            and record.update.identity == identity
            and record.update.state is State.ALIVE
            and self._answered_recently(identity.name, now)
        )
