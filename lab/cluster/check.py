"""Every order of what may happen to the views of a few nodes: the step functions in service, searched in whole.

A state is what each node has (its process, its disk, what is not written yet), all that was ever said, and the time.
From each state every next thing is tried: any word that was said is heard, for the first time or once more, so that
loss, delay, reordering and repetition are all in it; the oldest write is done; a node ends and starts, with its disk,
with an older one or with none; proposes, goes on with its proposal, asks for leases; two exchange what they have; time
goes on. A scenario bounds how often, so that the search ends. What a node does depends on that node alone: each of its
steps is taken once and remembered.

Left out, as they add nothing: refusals (a node may propose again at any time, and a lost word is a word not heard), and
writes that wait (a word that waits on its way does the same), but for a node that ends before they are done.

Judged in each state: no two views of one number, over the whole past; nobody may act in a view while somebody acts in a
later one without it.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace

from lab.cluster.mistakes import Spoilt, spoil
from lab.model_checker import InvariantViolation, search
from lynxscale.relay.cluster.instructions import PersistState, SendViewMessage, ViewInstruction
from lynxscale.relay.cluster.membership_table import Identity, MembershipTable
from lynxscale.relay.cluster.messages import (
    Accept,
    Accepted,
    Decided,
    DurableState,
    LeaseGrant,
    LeaseRequest,
    MembershipChange,
    Prepare,
    Promise,
    Reject,
    View,
)
from lynxscale.relay.cluster.timing import ViewTiming
from lynxscale.relay.cluster.view_change import ViewAgreement

# What of a Views counts in what it does by the events used here; the rest are times of looks and of rests.
COUNTS = (
    "me",
    "durable",
    "write_counts",
    "exchanged_with",
    "_no_removal_until",
    "_granted_until",
    "_denied_until",
    "_request_times",
    "_grant_times",
    "_token",
    "_highest_round",
    "conflict",
)
PROPOSAL = (
    "number",
    "ballot",
    "change",
    "previously_accepted",
    "promises",
    "ready_at",
    "accepted_by",
    "rejected_by",
    "preparing",
)
UNIT, BEGIN = 1_000_000, 100  # µs; a search begins after so many of them, long after the nodes' start

WITH_DISK, OLDER_DISK, NO_DISK = "with its disk", "with an older disk", "without a disk"
State = tuple[tuple[int, ...], int, int, tuple, frozenset[int]]  # nodes, words, time, what is left of counts, views


@dataclass(frozen=True)
class Scenario:
    """``steps``: what a node proposes in the view of a number. ``hears``: nodes that hear these words alone.

    Bounds: ``proposals`` and ``asks`` by node; ``crashes`` (each a start, in one of ``starts``), ``presses`` and
    ``times`` of all. ``lease`` in units of time; 0 leaves leases aside.
    """

    name: str
    nodes: int
    steps: Mapping[tuple[str, int], MembershipChange]
    proposals: Mapping[str, int]
    crash_of: str = ""
    crashes: int = 0
    starts: tuple[str, ...] = (WITH_DISK,)
    asks: Mapping[str, int] = field(default_factory=dict)
    lease: int = 0
    times: int = 0
    jump: int = 1  # units of time that go by at once
    presses: int = 0
    hears: Mapping[str, tuple[type, ...]] = field(default_factory=dict)

    @property
    def write_counts(self) -> bool:
        """Do memories go back, so that it counts what others remember?"""
        return self.starts != (WITH_DISK,)


class Local:
    """One node. ``views`` is a snapshot that is never changed; ``mark`` is of what is on disk."""

    __slots__ = (
        "agreement",
        "generation",
        "disk",
        "write_count",
        "writes",
        "number",
        "digest",
        "me",
        "votes",
        "member",
    )

    def __init__(
        self, views: ViewAgreement, life: int, disk: DurableState | None, mark: int, writes: tuple[PersistState, ...]
    ) -> None:
        self.agreement, self.generation, self.disk, self.write_count, self.writes = views, life, disk, mark, writes
        view = views.view
        self.number, self.me = views.number, views.me
        self.digest = view.digest if view is not None else None
        self.votes = views.votes(0)
        self.member = view is not None and views.me in view.members

    def key(self) -> tuple:
        """Equal where all that it will do is equal."""
        views, proposal = self.agreement, self.agreement._proposal
        return (
            self.generation,
            self.disk,
            self.write_count,
            self.writes,
            *(_plain(getattr(views, name)) for name in COUNTS),
            proposal and tuple(_plain(getattr(proposal, name)) for name in PROPOSAL),
        )


def _plain(value: object) -> object:
    if isinstance(value, dict):
        return tuple(sorted(value.items()))
    return frozenset(value) if isinstance(value, set) else value


@dataclass(frozen=True)
class Said:
    """A word on its way, with what its frame's head tells."""

    sender: str
    identity: Identity
    to: str
    message: object  # None: a frame about something else, whose head counts
    number: int
    write_count: int
    kind: type  # words of two kinds may be equal, as tuples are


def snapshot(views: ViewAgreement) -> ViewAgreement:
    """One that goes on by itself."""
    other = copy.copy(views)
    for name, value in vars(views).items():
        if isinstance(value, (dict, set, list)):
            setattr(other, name, value.copy())
    proposal = views._proposal
    if proposal is not None:
        other._proposal = replace(
            proposal,
            promises=proposal.promises.copy(),
            ready_at=proposal.ready_at.copy(),
            accepted_by=proposal.accepted_by.copy(),
            rejected_by=proposal.rejected_by.copy(),
        )
    return other


class Check:
    """One scenario. ``states``: so many were looked at; ``views``: all that were ever decided, by digest."""

    def __init__(self, scenario: Scenario, mistake: type[Spoilt] | None = None, most: int = 2_000_000) -> None:
        self.scenario, self.mistake, self.most = scenario, mistake, most
        self.names = [f"r{place + 1}" for place in range(scenario.nodes)]
        self.terms = ViewTiming(lease=scenario.lease * UNIT)
        self.states = 0
        self.views: dict[int, View] = {}
        self._locals: list[Local] = []
        self._ids: dict[tuple, int] = {}
        self._said: list[Said] = []
        self._said_ids: dict[Said, int] = {}
        self._to = dict.fromkeys(self.names, 0)  # the words that a node may hear, as bits
        self._taken: dict[tuple, tuple[int, int]] = {}
        self._acts: dict[tuple[int, int], bool] = {}

    def run(self) -> int:
        """The number of states. Raises InvariantViolation with the way there, TooManyStatesError (a RuntimeError)."""
        # Depth first finds a breach of leases far sooner; without time to end it, a mistake may lead on for ever.
        depth_first = bool(self.terms.lease)
        try:
            self.states = search(self._first(), self._nexts, self._judge, self._told, self.most, depth_first)
        except InvariantViolation as breach:
            raise InvariantViolation(f"{self.scenario.name}: {breach}") from breach
        return self.states

    def _at(self, time: int) -> int:
        return (BEGIN + time * self.scenario.jump) * UNIT

    # Nodes by themselves -------------------------------------------------------------------------

    def _intern(self, local: Local) -> int:
        key = local.key()
        found = self._ids.get(key)
        if found is None:
            found = self._ids[key] = len(self._locals)
            self._locals.append(local)
            if local.digest is not None:
                self.views.setdefault(local.digest, local.agreement.view)
        return found

    def _say(self, said: Said) -> int:
        """Its bit."""
        if isinstance(said.message, Reject):
            return 0
        found = self._said_ids.get(said)
        if found is None:
            found = self._said_ids[said] = len(self._said)
            self._said.append(said)
            only = self.scenario.hears.get(said.to)
            if only is None or said.message is None or isinstance(said.message, only):
                self._to[said.to] |= 1 << found
        return 1 << found

    def _start(self, name: str, life: int, disk: DurableState | None, now: int) -> Local:
        views = ViewAgreement(
            Identity(name, life, life), self.names, "check", now, disk, MembershipTable(self.names), {}, self.terms
        )
        if self.mistake is not None:
            spoil(self.mistake, views, now)
        return Local(views, life, disk, views.durable.write_count, ())

    def _carry(
        self, name: str, before: Local, views: ViewAgreement, orders: list[ViewInstruction], now: int
    ) -> tuple[int, int]:
        """What a node is after it has done that, and what it has said."""
        queue, said, writes, disk, mark = list(orders), 0, list(before.writes), before.disk, before.write_count
        while queue:
            order = queue.pop(0)
            if isinstance(order, PersistState):
                if name == self.scenario.crash_of:
                    writes.append(order)
                else:
                    disk, mark = order.durable, max(mark, order.durable.write_count)
                    queue += order.then
            elif isinstance(order, SendViewMessage) and order.to == name:
                queue += views.receive(now, name, views.me, order.message)
            elif isinstance(order, SendViewMessage):
                said |= self._say(
                    Said(
                        name,
                        views.me,
                        order.to,
                        order.message,
                        views.number,
                        mark if self.scenario.write_counts else 0,
                        type(order.message),
                    )
                )
        if self.scenario.write_counts and name == self.scenario.crash_of:
            for other in self.names:  # any frame's head tells how much it remembers
                if other != name:
                    said |= self._say(Said(name, views.me, other, None, views.number, mark, type(None)))
        return self._intern(Local(views, before.generation, disk, mark, tuple(writes))), said

    def _take(self, name: str, id_: int, now: int, what: str, with_: object = None) -> tuple[int, int]:
        """One thing happens to one node."""
        key = id_, now, what, with_
        found = self._taken.get(key)
        if found is None:
            found = self._taken[key] = self._happens(name, self._locals[id_], now, what, with_)
        return found

    def _happens(self, name: str, local: Local, now: int, what: str, with_: object) -> tuple[int, int]:
        if what == "starts":
            disk = {WITH_DISK: local.disk, OLDER_DISK: DurableState(self._one), NO_DISK: None}[with_]
            return self._intern(self._start(name, local.generation + 1, disk, now)), 0
        views = snapshot(local.agreement)
        if what == "hears":
            said = self._said[with_]
            orders = views.peer_view_seen(now, said.sender, said.number, said.write_count)
            if said.message is not None:
                orders += views.receive(now, said.sender, said.identity, said.message)
        elif what == "writes":
            kept, then = local.writes[0]
            local = Local(
                local.agreement, local.generation, kept, max(local.write_count, kept.write_count), local.writes[1:]
            )
            orders = list(then)
        elif what == "proposes":
            orders = views.propose(now, with_)
        elif what == "goes on":
            orders = views.retry_proposal(now)
        elif what == "asks":
            orders = views.request_leases(now)
        else:
            frm, view, marks = with_
            orders = views.receive_exchange(now, frm, view, dict(marks))
        return self._carry(name, local, views, orders, now)

    # All of them ---------------------------------------------------------------------------------

    def _first(self) -> State:
        """All are members of view 1, long after their start."""
        scenario = self.scenario
        self._one = View(1, 7, tuple(Identity(name, 1, 1) for name in self.names))
        ids = tuple(self._intern(self._start(name, 1, DurableState(self._one), 0)) for name in self.names)
        left = (
            tuple(scenario.proposals.get(name, 0) for name in self.names),
            tuple(scenario.asks.get(name, 0) for name in self.names),
            scenario.crashes,
            scenario.presses,
        )
        return ids, 0, 0, left, frozenset([self._one.digest])

    def _nexts(self, state: State) -> Iterator[tuple[tuple, State]]:
        """Each state that may follow, with what leads to it."""
        ids, said, time, left, past = state
        writing = [place for place, id_ in enumerate(ids) if self._locals[id_].writes]
        for place, name in enumerate(self.names):
            id_ = ids[place]
            if writing and place not in writing:
                continue  # what others do comes to the same before and behind a write
            for what, with_, after in self._may(state, place, name):
                to, more = self._take(name, id_, self._at(time), what, with_)
                if to != id_ or more | said != said or after is not left:
                    yield (what, name, with_), ((*ids[:place], to, *ids[place + 1 :]), said | more, time, after, past)
        if time < self.scenario.times and not writing:
            yield ("goes by", "time", None), (ids, said, time + 1, left, past)

    def _may(self, state: State, place: int, name: str) -> Iterator[tuple[str, object, tuple]]:
        """What may happen to one node, and what is left of the counts then."""
        ids, said, _, left, _ = state
        proposals, asks, crashes, presses = left
        local = self._locals[ids[place]]
        words = said & self._to[name] if not local.writes else 0
        while words:
            low = words & -words
            words ^= low
            yield "hears", low.bit_length() - 1, left
        if crashes and name == self.scenario.crash_of:
            for how in self.scenario.starts:
                if how != OLDER_DISK or self._known(ids, name, local.write_count):
                    yield "starts", how, (proposals, asks, crashes - 1, presses)
        if local.writes:
            yield "writes", None, left
            return
        if proposals[place] and local.votes:
            step = local.agreement.durable.accepted or self.scenario.steps.get((name, local.number))
            if step is not None:
                yield "proposes", step, (_less(proposals, place), asks, crashes, presses)
        if presses and local.agreement.proposing:
            yield "goes on", None, (proposals, asks, crashes, presses - 1)
        if asks[place] and local.member:
            yield "asks", None, (proposals, _less(asks, place), crashes, presses)
        for other in ids:
            far = self._locals[other]
            if (
                far.me.name != name
                and name not in self.scenario.hears
                and (
                    far.number > local.number
                    or (local.generation > 1 and far.me.name not in local.agreement.exchanged_with)
                )
            ):
                known = (
                    far.agreement.write_counts | {far.me.name: far.write_count} if self.scenario.write_counts else {}
                )
                yield "exchanges", (far.me.name, far.agreement.view, tuple(sorted(known.items()))), left

    def _known(self, ids: tuple[int, ...], name: str, mark: int) -> bool:
        """Have all others heard what this node has said? An older disk that nobody could know to be so is no fault that
        is claimed to be found (the note's honest limits)."""
        return all(
            self._locals[id_].agreement.write_counts.get(name, 0) >= mark
            for id_ in ids
            if self._locals[id_].me.name != name
        )

    def _judge(self, state: State) -> State:
        """The state with the views that were met. Raises InvariantViolation."""
        ids, said, time, left, past = state
        locals_ = [self._locals[id_] for id_ in ids]
        for local in locals_:
            if local.agreement.conflict:
                raise InvariantViolation(local.agreement.conflict)
            if local.digest is not None and local.digest not in past:
                for other in past:
                    if self.views[other].number == local.number:
                        raise InvariantViolation(
                            f"view {local.number} is {self.views[other]} and {local.agreement.view}"
                        )
                past |= {local.digest}
        if self.terms.lease:
            acting = [local for id_, local in zip(ids, locals_, strict=True) if self._may_act(id_, local, time)]
            for one in acting:
                for later in acting:
                    if later.number > one.number and one.me not in later.agreement.view.members:
                        raise InvariantViolation(
                            f"{one.me} acts in view {one.number} while {later.me} acts in {later.number}"
                        )
        return ids, said, time, left, past

    def _may_act(self, id_: int, local: Local, time: int) -> bool:
        found = self._acts.get((id_, time))
        if found is None:
            found = self._acts[id_, time] = local.agreement.may_act(self._at(time))
        return found

    def _told(self, events: list[tuple]) -> str:
        return "; ".join(
            f"{name} {what} "
            + (f"{self._said[with_].sender}'s {self._said[with_].message}" if what == "hears" else str(with_ or ""))
            for what, name, with_ in events
        )


def _less(counts: tuple[int, ...], place: int) -> tuple[int, ...]:
    return (*counts[:place], counts[place] - 1, *counts[place + 1 :])


def without(name: str) -> MembershipChange:
    return MembershipChange((name,), ())


# r1 and r2 each want the other out, and r3's vote decides which.
RIVALS = {("r1", 1): without("r2"), ("r2", 1): without("r1")}
# r1 wants r3 out, which holds a lease or asks for one.
OUT = {("r1", 1): without("r3")}
APART = {"r1": (Promise, Accepted), "r2": (Promise, Accepted)}  # the rivals hear nothing of each other
SCENARIOS = (
    Scenario("two proposers", 3, RIVALS, {"r1": 1, "r2": 1}),
    Scenario("two of two, each without the other", 2, RIVALS, {"r1": 1, "r2": 1}),
    Scenario("two proposers apart, an acceptor starts anew", 3, RIVALS, {"r1": 1, "r2": 1}, "r3", 1, hears=APART),
    Scenario(
        "two proposers apart, an acceptor forgets",
        3,
        RIVALS,
        {"r1": 1, "r2": 1},
        "r3",
        1,
        (OLDER_DISK, NO_DISK),
        hears=APART,
    ),
    Scenario(
        "a lease and a removal",
        3,
        OUT,
        {"r1": 1},
        asks={"r3": 1, "r1": 1},
        lease=1,
        times=2,
        hears={"r1": (Promise, Accepted, LeaseGrant)},
    ),
    Scenario(
        "a lease that is asked for long after a removal was accepted",
        3,
        OUT,
        {"r1": 1},
        asks={"r3": 1, "r1": 1},
        lease=1,
        times=1,
        jump=3,
        hears={"r1": (Promise, Accepted, LeaseGrant)},
    ),
    Scenario(
        "a lease, a removal, a granter starts anew",
        3,
        OUT,
        {"r1": 1},
        "r2",
        1,
        asks={"r3": 1, "r1": 1},
        lease=1,
        times=2,
        hears={"r3": (LeaseGrant,), "r1": (Promise, Accepted, LeaseGrant)},
    ),
    Scenario(
        "two removals, one that hears of neither",
        4,
        {("r1", 1): without("r4"), ("r1", 2): without("r3")},
        {"r1": 2},
        asks={"r3": 1, "r1": 1},
        lease=1,
        times=2,
        hears={
            "r3": (LeaseGrant,),
            "r4": (Prepare, Accept),
            "r1": (Promise, Accepted, LeaseRequest, LeaseGrant),
            "r2": (Prepare, Accept, Decided, LeaseRequest),
        },
    ),
)
QUICK = (*SCENARIOS[:4], SCENARIOS[5])  # some seconds each; the others take minutes


def main() -> None:
    """``python -m lab.cluster.check [PLACE]``: all scenarios, or the one at that place; exit code 1 with the first
    breach."""
    import sys
    import time

    for scenario in SCENARIOS if len(sys.argv) < 2 else [SCENARIOS[int(sys.argv[1])]]:
        begun = time.monotonic()
        check = Check(scenario, most=20_000_000)
        try:
            check.run()
        except InvariantViolation as breach:
            print(f"breach: {breach}")
            sys.exit(1)
        print(
            f"{scenario.name}, {scenario.nodes} nodes: {check.states} states, {len(check.views)} views, no breach, "
            f"{time.monotonic() - begun:.0f} s",
            flush=True,
        )


if __name__ == "__main__":
    main()
