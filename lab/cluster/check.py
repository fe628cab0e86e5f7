"""Exhaustive model checking of the relay's view agreement, in small scenarios.

A state has the state of each node (process, disk, pending writes), the set of all messages ever sent, and the time.
From each state every possible event is tried: the delivery of any message ever sent, for the first time or again, which
covers loss, delay, reordering and duplication; the completion of the oldest write; a restart of a node with its disk,
with an older one or with none; a proposal, its retry, a lease request; a state exchange of two nodes; and the advance
of time. A scenario bounds the number of these, so that the search ends. A transition depends on the state of one node
alone, and is computed once.

Two kinds of event are left out, as they reach no further states: rejections (a node may propose again at any time, and
a lost message is one that is never delivered), and delayed writes (a delayed message has the same effect), except on a
node that may crash before they complete.

Checked in each state: no two views with one number differ, over the whole past, and no node may act in a view while
another acts in a later view that excludes it.
"""

from __future__ import annotations

import copy
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field, replace

from lab.cluster.mistakes import FaultyViewAgreement, inject
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

# The attributes of ViewAgreement and of its proposal that affect the events used here. The others are times of polls
# and of backoffs.
AGREEMENT_FIELDS = (
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
PROPOSAL_FIELDS = (
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
TIME_UNIT_US, START_TIME = 1_000_000, 100  # the search begins at this time (in units), long after the nodes' start

WITH_DISK, OLDER_DISK, NO_DISK = "with its disk", "with an older disk", "without a disk"
# Ids of the node states, bits of the messages sent, time, remaining bounds, digests of the views decided.
State = tuple[tuple[int, ...], int, int, tuple, frozenset[int]]


@dataclass(frozen=True)
class Scenario:
    """``changes``: what a node proposes in the view with a number. ``receives``: nodes that receive only these types of
    message.

    Bounds: ``proposals`` and ``lease_requests`` by node; ``crashes`` (each a restart, with one of the disks in
    ``starts``), ``proposal_retries`` and ``time_steps`` in total. ``lease`` in units of time; 0: no leases.
    """

    name: str
    nodes: int
    changes: Mapping[tuple[str, int], MembershipChange]
    proposals: Mapping[str, int]
    crashing_node: str = ""
    crashes: int = 0
    starts: tuple[str, ...] = (WITH_DISK,)
    lease_requests: Mapping[str, int] = field(default_factory=dict)
    lease: int = 0
    time_steps: int = 0
    units_per_step: int = 1  # units of time of one step
    proposal_retries: int = 0
    receives: Mapping[str, tuple[type, ...]] = field(default_factory=dict)

    @property
    def write_counts(self) -> bool:
        """Whether durable states may be rolled back, so that write counts known to others matter."""
        return self.starts != (WITH_DISK,)


class NodeState:
    """The state of one node. ``agreement`` is a snapshot that is never changed; ``write_count`` is that of the disk."""

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
        self,
        agreement: ViewAgreement,
        generation: int,
        disk: DurableState | None,
        write_count: int,
        writes: tuple[PersistState, ...],
    ) -> None:
        self.agreement, self.generation, self.disk, self.write_count, self.writes = (
            agreement,
            generation,
            disk,
            write_count,
            writes,
        )
        view = agreement.view
        self.number, self.me = agreement.number, agreement.me
        self.digest = view.digest if view is not None else None
        self.votes = agreement.votes(0)
        self.member = view is not None and agreement.me in view.members

    def key(self) -> tuple:
        """Equal for states with equal behaviour from here on."""
        agreement, proposal = self.agreement, self.agreement._proposal
        return (
            self.generation,
            self.disk,
            self.write_count,
            self.writes,
            *(_hashable(getattr(agreement, name)) for name in AGREEMENT_FIELDS),
            proposal and tuple(_hashable(getattr(proposal, name)) for name in PROPOSAL_FIELDS),
        )


def _hashable(value: object) -> object:
    if isinstance(value, dict):
        return tuple(sorted(value.items()))
    return frozenset(value) if isinstance(value, set) else value


@dataclass(frozen=True)
class SentMessage:
    """A message that was sent, with the fields of its frame's header."""

    sender: str
    identity: Identity
    to: str
    message: object  # None: a frame of another kind, of which only the header matters
    number: int
    write_count: int
    kind: type  # messages of two types may compare equal, being tuples


def snapshot(agreement: ViewAgreement) -> ViewAgreement:
    """An independent copy."""
    other = copy.copy(agreement)
    for name, value in vars(agreement).items():
        if isinstance(value, (dict, set, list)):
            setattr(other, name, value.copy())
    proposal = agreement._proposal
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
    """The search of one scenario. ``states``: number of states reached; ``views``: all views decided, by digest."""

    def __init__(
        self, scenario: Scenario, mistake: type[FaultyViewAgreement] | None = None, max_states: int = 2_000_000
    ) -> None:
        self.scenario, self.mistake, self.max_states = scenario, mistake, max_states
        self.names = [f"r{index + 1}" for index in range(scenario.nodes)]
        self.timing = ViewTiming(lease=scenario.lease * TIME_UNIT_US)
        self.states = 0
        self.views: dict[int, View] = {}
        self._node_states: list[NodeState] = []
        self._node_state_ids: dict[tuple, int] = {}
        self._messages: list[SentMessage] = []
        self._message_ids: dict[SentMessage, int] = {}
        self._deliverable = dict.fromkeys(self.names, 0)  # by node: bit set of the messages that it may receive
        self._transitions: dict[tuple, tuple[int, int]] = {}
        self._may_act_cache: dict[tuple[int, int], bool] = {}

    def run(self) -> int:
        """The number of states. Raises InvariantViolation with the events that lead there, or TooManyStatesError."""
        # Depth first finds a violation of leases far sooner. Where no time limits a path, an injected mistake
        # may make it endless.
        depth_first = bool(self.timing.lease)
        try:
            self.states = search(
                self._first(), self._successors, self._check_invariants, self._describe, self.max_states, depth_first
            )
        except InvariantViolation as breach:
            raise InvariantViolation(f"{self.scenario.name}: {breach}") from breach
        return self.states

    def _at(self, time: int) -> int:
        return (START_TIME + time * self.scenario.units_per_step) * TIME_UNIT_US

    # Single nodes --------------------------------------------------------------------------------

    def _intern(self, node: NodeState) -> int:
        key = node.key()
        found = self._node_state_ids.get(key)
        if found is None:
            found = self._node_state_ids[key] = len(self._node_states)
            self._node_states.append(node)
            if node.digest is not None:
                self.views.setdefault(node.digest, node.agreement.view)
        return found

    def _send(self, sent: SentMessage) -> int:
        """The bit of a message, which is added if it is new."""
        if isinstance(sent.message, Reject):
            return 0
        found = self._message_ids.get(sent)
        if found is None:
            found = self._message_ids[sent] = len(self._messages)
            self._messages.append(sent)
            only = self.scenario.receives.get(sent.to)
            if only is None or sent.message is None or isinstance(sent.message, only):
                self._deliverable[sent.to] |= 1 << found
        return 1 << found

    def _start(self, name: str, generation: int, disk: DurableState | None, now: int) -> NodeState:
        agreement = ViewAgreement(
            Identity(name, generation, generation),
            self.names,
            "check",
            now,
            disk,
            MembershipTable(self.names),
            {},
            self.timing,
        )
        if self.mistake is not None:
            inject(self.mistake, agreement, now)
        return NodeState(agreement, generation, disk, agreement.durable.write_count, ())

    def _execute(
        self, name: str, before: NodeState, agreement: ViewAgreement, instructions: list[ViewInstruction], now: int
    ) -> tuple[int, int]:
        """Execute instructions; the id of the resulting node state, and the bits of the messages sent."""
        queue, sent, writes, disk, write_count = (
            list(instructions),
            0,
            list(before.writes),
            before.disk,
            before.write_count,
        )
        while queue:
            instruction = queue.pop(0)
            if isinstance(instruction, PersistState):
                if name == self.scenario.crashing_node:
                    writes.append(instruction)
                else:
                    disk, write_count = instruction.durable, max(write_count, instruction.durable.write_count)
                    queue += instruction.then
            elif isinstance(instruction, SendViewMessage) and instruction.to == name:
                queue += agreement.receive(now, name, agreement.me, instruction.message)
            elif isinstance(instruction, SendViewMessage):
                sent |= self._send(
                    SentMessage(
                        name,
                        agreement.me,
                        instruction.to,
                        instruction.message,
                        agreement.number,
                        write_count if self.scenario.write_counts else 0,
                        type(instruction.message),
                    )
                )
        if self.scenario.write_counts and name == self.scenario.crashing_node:
            for other in self.names:  # the header of any frame has the write count
                if other != name:
                    sent |= self._send(
                        SentMessage(name, agreement.me, other, None, agreement.number, write_count, type(None))
                    )
        return self._intern(NodeState(agreement, before.generation, disk, write_count, tuple(writes))), sent

    def _transition(self, name: str, id_: int, now: int, event: str, argument: object = None) -> tuple[int, int]:
        """The transition of a node state by one event; cached."""
        key = id_, now, event, argument
        found = self._transitions.get(key)
        if found is None:
            found = self._transitions[key] = self._apply(name, self._node_states[id_], now, event, argument)
        return found

    def _apply(self, name: str, node: NodeState, now: int, event: str, argument: object) -> tuple[int, int]:
        if event == "starts":
            disk = {WITH_DISK: node.disk, OLDER_DISK: DurableState(self._one), NO_DISK: None}[argument]
            return self._intern(self._start(name, node.generation + 1, disk, now)), 0
        agreement = snapshot(node.agreement)
        if event == "receives":
            sent = self._messages[argument]
            instructions = agreement.peer_view_seen(now, sent.sender, sent.number, sent.write_count)
            if sent.message is not None:
                instructions += agreement.receive(now, sent.sender, sent.identity, sent.message)
        elif event == "writes":
            kept, then = node.writes[0]
            node = NodeState(
                node.agreement, node.generation, kept, max(node.write_count, kept.write_count), node.writes[1:]
            )
            instructions = list(then)
        elif event == "proposes":
            instructions = agreement.propose(now, argument)
        elif event == "retries its proposal":
            instructions = agreement.retry_proposal(now)
        elif event == "requests leases":
            instructions = agreement.request_leases(now)
        else:
            sender, view, write_counts = argument
            instructions = agreement.receive_exchange(now, sender, view, dict(write_counts))
        return self._execute(name, node, agreement, instructions, now)

    # The cluster ---------------------------------------------------------------------------------

    def _first(self) -> State:
        """The initial state: all nodes are members of view 1, and started long ago."""
        scenario = self.scenario
        self._one = View(1, 7, tuple(Identity(name, 1, 1) for name in self.names))
        ids = tuple(self._intern(self._start(name, 1, DurableState(self._one), 0)) for name in self.names)
        remaining = (
            tuple(scenario.proposals.get(name, 0) for name in self.names),
            tuple(scenario.lease_requests.get(name, 0) for name in self.names),
            scenario.crashes,
            scenario.proposal_retries,
        )
        return ids, 0, 0, remaining, frozenset([self._one.digest])

    def _successors(self, state: State) -> Iterator[tuple[tuple, State]]:
        """Each successor of a state, with the event that leads to it."""
        ids, sent, time, remaining, decided = state
        writing = [index for index, id_ in enumerate(ids) if self._node_states[id_].writes]
        for index, name in enumerate(self.names):
            id_ = ids[index]
            if writing and index not in writing:
                continue  # events of other nodes commute with a write
            for event, argument, after in self._possible_events(state, index, name):
                to, more = self._transition(name, id_, self._at(time), event, argument)
                if to != id_ or more | sent != sent or after is not remaining:
                    yield (
                        (event, name, argument),
                        ((*ids[:index], to, *ids[index + 1 :]), sent | more, time, after, decided),
                    )
        if time < self.scenario.time_steps and not writing:
            yield ("goes by", "time", None), (ids, sent, time + 1, remaining, decided)

    def _possible_events(self, state: State, index: int, name: str) -> Iterator[tuple[str, object, tuple]]:
        """The events that are possible for one node, each with the bounds that remain after it."""
        ids, sent, _, remaining, _ = state
        proposals, lease_requests, crashes, proposal_retries = remaining
        node = self._node_states[ids[index]]
        deliverable = sent & self._deliverable[name] if not node.writes else 0
        while deliverable:
            lowest = deliverable & -deliverable
            deliverable ^= lowest
            yield "receives", lowest.bit_length() - 1, remaining
        if crashes and name == self.scenario.crashing_node:
            for disk_kind in self.scenario.starts:
                if disk_kind != OLDER_DISK or self._all_know(ids, name, node.write_count):
                    yield "starts", disk_kind, (proposals, lease_requests, crashes - 1, proposal_retries)
        if node.writes:
            yield "writes", None, remaining
            return
        if proposals[index] and node.votes:
            step = node.agreement.durable.accepted or self.scenario.changes.get((name, node.number))
            if step is not None:
                yield "proposes", step, (_decremented(proposals, index), lease_requests, crashes, proposal_retries)
        if proposal_retries and node.agreement.proposing:
            yield "retries its proposal", None, (proposals, lease_requests, crashes, proposal_retries - 1)
        if lease_requests[index] and node.member:
            yield "requests leases", None, (proposals, _decremented(lease_requests, index), crashes, proposal_retries)
        for other in ids:
            peer = self._node_states[other]
            if (
                peer.me.name != name
                and name not in self.scenario.receives
                and (
                    peer.number > node.number
                    or (node.generation > 1 and peer.me.name not in node.agreement.exchanged_with)
                )
            ):
                known = (
                    peer.agreement.write_counts | {peer.me.name: peer.write_count} if self.scenario.write_counts else {}
                )
                yield "exchanges", (peer.me.name, peer.agreement.view, tuple(sorted(known.items()))), remaining

    def _all_know(self, ids: tuple[int, ...], name: str, write_count: int) -> bool:
        """Whether all others know this node's latest write count. The relay doesn't claim to detect a rollback of which
        no other node can know."""
        return all(
            self._node_states[id_].agreement.write_counts.get(name, 0) >= write_count
            for id_ in ids
            if self._node_states[id_].me.name != name
        )

    def _check_invariants(self, state: State) -> State:
        """The state, with the views decided in it added. Raises InvariantViolation."""
        ids, sent, time, remaining, decided = state
        nodes = [self._node_states[id_] for id_ in ids]
        for node in nodes:
            if node.agreement.conflict:
                raise InvariantViolation(node.agreement.conflict)
            if node.digest is not None and node.digest not in decided:
                for other in decided:
                    if self.views[other].number == node.number:
                        raise InvariantViolation(f"view {node.number} is {self.views[other]} and {node.agreement.view}")
                decided |= {node.digest}
        if self.timing.lease:
            acting = [node for id_, node in zip(ids, nodes, strict=True) if self._may_act(id_, node, time)]
            for one in acting:
                for later in acting:
                    if later.number > one.number and one.me not in later.agreement.view.members:
                        raise InvariantViolation(
                            f"{one.me} acts in view {one.number} while {later.me} acts in {later.number}"
                        )
        return ids, sent, time, remaining, decided

    def _may_act(self, id_: int, node: NodeState, time: int) -> bool:
        found = self._may_act_cache.get((id_, time))
        if found is None:
            found = self._may_act_cache[id_, time] = node.agreement.may_act(self._at(time))
        return found

    def _describe(self, events: list[tuple]) -> str:
        return "; ".join(
            f"{name} {event} "
            + (
                f"{self._messages[argument].sender}'s {self._messages[argument].message}"
                if event == "receives"
                else str(argument or "")
            )
            for event, name, argument in events
        )


def _decremented(counts: tuple[int, ...], index: int) -> tuple[int, ...]:
    return (*counts[:index], counts[index] - 1, *counts[index + 1 :])


def removal_of(name: str) -> MembershipChange:
    return MembershipChange((name,), ())


# r1 and r2 each propose to remove the other; with three nodes r3's vote decides which.
CONFLICTING_REMOVALS = {("r1", 1): removal_of("r2"), ("r2", 1): removal_of("r1")}
# r1 proposes to remove r3, which holds a lease or requests one.
REMOVAL_OF_R3 = {("r1", 1): removal_of("r3")}
# The two proposers receive nothing from each other.
PROPOSERS_ISOLATED = {"r1": (Promise, Accepted), "r2": (Promise, Accepted)}
SCENARIOS = (
    Scenario("two proposers", 3, CONFLICTING_REMOVALS, {"r1": 1, "r2": 1}),
    Scenario("two of two, each without the other", 2, CONFLICTING_REMOVALS, {"r1": 1, "r2": 1}),
    Scenario(
        "two proposers apart, an acceptor starts anew",
        3,
        CONFLICTING_REMOVALS,
        {"r1": 1, "r2": 1},
        "r3",
        1,
        receives=PROPOSERS_ISOLATED,
    ),
    Scenario(
        "two proposers apart, an acceptor forgets",
        3,
        CONFLICTING_REMOVALS,
        {"r1": 1, "r2": 1},
        "r3",
        1,
        (OLDER_DISK, NO_DISK),
        receives=PROPOSERS_ISOLATED,
    ),
    Scenario(
        "a lease and a removal",
        3,
        REMOVAL_OF_R3,
        {"r1": 1},
        lease_requests={"r3": 1, "r1": 1},
        lease=1,
        time_steps=2,
        receives={"r1": (Promise, Accepted, LeaseGrant)},
    ),
    Scenario(
        "a lease that is asked for long after a removal was accepted",
        3,
        REMOVAL_OF_R3,
        {"r1": 1},
        lease_requests={"r3": 1, "r1": 1},
        lease=1,
        time_steps=1,
        units_per_step=3,
        receives={"r1": (Promise, Accepted, LeaseGrant)},
    ),
    Scenario(
        "a lease, a removal, a granter starts anew",
        3,
        REMOVAL_OF_R3,
        {"r1": 1},
        "r2",
        1,
        lease_requests={"r3": 1, "r1": 1},
        lease=1,
        time_steps=2,
        receives={"r3": (LeaseGrant,), "r1": (Promise, Accepted, LeaseGrant)},
    ),
    Scenario(
        "two removals, one that hears of neither",
        4,
        {("r1", 1): removal_of("r4"), ("r1", 2): removal_of("r3")},
        {"r1": 2},
        lease_requests={"r3": 1, "r1": 1},
        lease=1,
        time_steps=2,
        receives={
            "r3": (LeaseGrant,),
            "r4": (Prepare, Accept),
            "r1": (Promise, Accepted, LeaseRequest, LeaseGrant),
            "r2": (Prepare, Accept, Decided, LeaseRequest),
        },
    ),
)
QUICK = (*SCENARIOS[:4], SCENARIOS[5])  # seconds each; the others take minutes


def main() -> None:
    """``python -m lab.cluster.check [INDEX]``: all scenarios, or the one at that index; exit code 1 at the first
    violation."""
    import sys
    import time

    for scenario in SCENARIOS if len(sys.argv) < 2 else [SCENARIOS[int(sys.argv[1])]]:
        begun = time.monotonic()
        check = Check(scenario, max_states=20_000_000)
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
