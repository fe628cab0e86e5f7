"""Model of election and lease: acceptors, proposers and leases of three members as they run in service.

Messages of one link arrive in order; a link may never deliver them, or drop those in flight. Rejections are left out,
as a member may stand again at any time. Promises are stored in advance, and given once the grant has ended. A member
stands, is primary once its record is decided, requests its lease, may restart at any step with its stored acceptor
state; time passes in steps shorter than a lease.

Invariants: no two records are accepted under one epoch; one member at most holds a lease; no later epoch was accepted
by a majority while a member holds one.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Hashable, Mapping
from dataclasses import dataclass

from lab.model_checker import Event, InvariantViolation, frozen
from lab.tier.world import World
from lynxscale.coordination.acceptor import Acceptor, DeferredPromise
from lynxscale.coordination.acceptor_state import AcceptorStateFile, MemberIdentity
from lynxscale.coordination.eligibility import decide_candidacy
from lynxscale.coordination.lease import LEASE_S, LeaderLease
from lynxscale.coordination.messages import (
    Accept,
    Accepted,
    EpochRecord,
    LeaseGrant,
    LeaseRequest,
    Message,
    Position,
    Prepare,
    PrepareRejected,
    Promise,
    address_of,
    encode,
    member_id,
)
from lynxscale.coordination.proposal import Proposal
from lynxscale.coordination.proposer import Proposer
from lynxscale.coordination.quorum import is_majority
from lynxscale.coordination.version_files import INITIAL_POSITION

ADDRESSES = ("a:1", "b:1", "c:1")
TOLERATED = 1
STEP_S = 0.25  # two of them are longer than a lease
ADVANCE_S = 0.2  # more than in service: after one step promises are stored in advance while the holder's lease runs


@dataclass(frozen=True)
class ElectionBounds:
    """How often each event may happen, for each member where it is a member's own."""

    stands: tuple[int, ...] = (1, 1, 0)
    leases: tuple[int, ...] = (1, 1, 0)
    ends: tuple[int, ...] = (0, 0, 0)
    steps: int = 2
    partitions: int = 0
    begun: tuple[Event, ...] = ()  # applied before the search begins


class Node:
    """One member's process on its disk. Implements the Network port for its proposer."""

    def __init__(self, world: World, address: str) -> None:
        machine = world.machine(address)
        self.sent: list[tuple[str, Message]] = []
        self.primary = False
        register = AcceptorStateFile(MemberIdentity(address, True, ADDRESSES), machine.files, world.random)
        self.acceptor = Acceptor(register, machine.clock(), LEASE_S, ADVANCE_S)
        self.deferred: Prepare | None = None  # promised in advance, and not answered yet
        self.lease = LeaderLease(machine.clock())
        self.proposer = Proposer(self.acceptor, machine.clock(), self, self._position, self._choose, self._decided, 0.0)

    def send(self, address: str, message: Message) -> None:
        """Part of the Network port."""
        self.sent.append((address, message))

    def _position(self) -> Position:
        return INITIAL_POSITION

    def _choose(self, proposal: Proposal) -> EpochRecord | None:
        return decide_candidacy(self.acceptor.member, INITIAL_POSITION, proposal, TOLERATED).record

    def _decided(self, record: EpochRecord, positions: Mapping[str, Position]) -> None:
        self.primary = True
        self.lease.discard_rounds()

    def stand(self) -> None:
        """Stand for an epoch."""
        self.primary = False
        self.lease.relinquish()
        self.proposer.propose()

    def request_lease(self) -> None:
        """Send one heartbeat, which requests the lease."""
        record = self.acceptor.record
        request = LeaseRequest(record, self.lease.begin_round())
        for one in record.voters:
            if one != self.acceptor.member:
                self.send(address_of(one), request)
        if self.acceptor.grant(request):
            self.lease.on_grant(request.round, self.acceptor.member, record.voters)

    def receive(self, message: Message) -> None:
        """As ControlMember does."""
        if isinstance(message, Prepare):
            self._on_prepare(message)
        elif isinstance(message, Promise):
            self.proposer.on_promise(message)
        elif isinstance(message, PrepareRejected):
            self.proposer.on_prepare_rejected(message)
        elif isinstance(message, Accept):
            answer = self.acceptor.accept(message.record)
            if answer is not None:
                self.send(address_of(message.record.primary), answer)
        elif isinstance(message, Accepted):
            self.proposer.on_accepted(message)
        elif isinstance(message, LeaseRequest):
            self._on_lease_request(message)
        elif isinstance(message, LeaseGrant) and message.granted and message.epoch == self.acceptor.record.epoch:
            self.lease.on_grant(message.round, message.member, self.acceptor.record.voters)

    def _on_prepare(self, message: Prepare) -> None:
        answer = self.acceptor.prepare(message, INITIAL_POSITION)
        if isinstance(answer, DeferredPromise):
            self.deferred = message
            return
        if isinstance(answer, Promise):
            self._step_down()
        self.send(address_of(message.candidate), answer)

    @property
    def may_answer_deferred(self) -> bool:
        """Is there a deferred promise whose timer has expired? It may fire at any time from then on."""
        return self.deferred is not None and not self.acceptor.lease_left_for_other(self.deferred.candidate)

    def answer_deferred(self) -> None:
        """The timer of a deferred promise fires."""
        message, self.deferred = self.deferred, None
        if message is not None:
            self._on_prepare(message)

    def _on_lease_request(self, message: LeaseRequest) -> None:
        if message.record.epoch < self.acceptor.record.epoch:
            return
        self.acceptor.learn(message.record)
        self._step_down()
        granted = self.acceptor.grant(message)
        me = self.acceptor.member
        answer = LeaseGrant(message.record.epoch, message.round, me, "", granted, 0, INITIAL_POSITION)
        self.send(address_of(message.record.primary), answer)

    def _step_down(self) -> None:
        if self.primary:
            self.primary = False
            self.lease.relinquish()
        self.proposer.cancel()


class Election:
    """The state machine that is searched."""

    def __init__(self, bounds: ElectionBounds) -> None:
        self.world = World(1)
        self.nodes = {address: Node(self.world, address) for address in ADDRESSES}
        self._left = {
            "stands": list(bounds.stands),
            "requests its lease": list(bounds.leases),
            "restarts": list(bounds.ends),
        }
        self._steps = bounds.steps
        self._partitions = bounds.partitions
        self._links: dict[tuple[str, str], deque[Message]] = {}
        self._accepted: dict[int, dict[str, set[str]]] = {}  # by epoch and record: who accepted it
        self._records: dict[str, EpochRecord] = {}
        for event in bounds.begun:
            self.apply(event)

    def events(self) -> list[Event]:
        """Part of StateMachine."""
        found: list[Event] = [("receives", link) for link in self._links]
        if self._partitions:
            found += [("drops", link) for link in self._links]
        for what, left in self._left.items():
            for index, address in enumerate(ADDRESSES):
                if left[index] and (what != "requests its lease" or self.nodes[address].primary):
                    found.append((what, address))
        found += [("answers", address) for address, node in self.nodes.items() if node.may_answer_deferred]
        if self._steps:
            found.append(("time passes", ""))
        return found

    def apply(self, event: Event) -> None:
        """Part of StateMachine."""
        what, which = event
        if what == "receives":
            self.nodes[which[1]].receive(self._links[which].popleft())
        elif what == "drops":
            self._partitions -= 1
            self._links[which].clear()
        elif what == "answers":
            self.nodes[which].answer_deferred()
        elif what == "time passes":
            self._steps -= 1
            self.world.time += STEP_S
        else:
            self._left[what][ADDRESSES.index(which)] -= 1
            if what == "stands":
                self.nodes[which].stand()
            elif what == "requests its lease":
                self.nodes[which].request_lease()
            else:
                self._links.pop((which, which), None)  # messages of a process to itself end with it
                self.nodes[which] = Node(self.world, which)
        self._collect()

    def _collect(self) -> None:
        for address, node in self.nodes.items():
            for target, message in node.sent:
                if not isinstance(message, PrepareRejected):
                    self._links.setdefault((address, target), deque()).append(message)
            node.sent.clear()
            record = node.acceptor.record
            if record.epoch:
                name = encode(Accept(record)).decode()
                self._records[name] = record
                self._accepted.setdefault(record.epoch, {}).setdefault(name, set()).add(founder(address))
        self._links = {link: messages for link, messages in sorted(self._links.items()) if messages}

    def key(self) -> Hashable:
        """Part of StateMachine. Times count relative to the present."""
        nodes = tuple(
            (
                frozen(node.acceptor.state),
                round(node.acceptor.lease_left, 3),
                node.acceptor._lease_holder if node.acceptor.lease_left else "",
                node.primary,
                frozen(node.deferred),
                round(max(0.0, node.lease.expires_at - self.world.time), 3),
                frozen(node.lease._granted),
                frozen(node.lease._sent),
                frozen(node.proposer._proposal),
                node.proposer._highest_rejected,
                node.proposer._open_epoch,
            )
            for node in self.nodes.values()
        )
        links = tuple((link, *(encode(one) for one in messages)) for link, messages in self._links.items())
        return nodes, links, frozen(self._left), self._steps, self._partitions, frozen(self._accepted)

    def check(self) -> None:
        """Part of StateMachine. Raises InvariantViolation."""
        for epoch, records in self._accepted.items():
            if len(records) > 1:
                raise InvariantViolation(f"two records under epoch {epoch}: {sorted(records)}")
        holders = [address for address, node in self.nodes.items() if node.primary and node.lease.valid]
        if len(holders) > 1:
            raise InvariantViolation(f"{holders} hold the lease at once")
        for holder in holders:
            own = self.nodes[holder].acceptor.record.epoch
            for records in self._accepted.values():
                for name, accepted in records.items():
                    record = self._records[name]
                    passed = record.epoch > own and is_majority(record.voters, accepted)
                    if passed and record.primary != founder(holder):
                        raise InvariantViolation(
                            f"{holder} holds the lease of epoch {own} while {record.epoch} is decided"
                        )


def founder(address: str) -> str:
    """The id of the member at an address."""
    return member_id(address, "0")


PROMISED = (  # a has asked, both others have promised, and its record is in flight
    ("stands", "a:1"),
    ("receives", ("a:1", "b:1")),
    ("receives", ("a:1", "c:1")),
    ("receives", ("b:1", "a:1")),
    ("receives", ("c:1", "a:1")),
)
LED = (  # a leads epoch 1, and b has granted its lease
    ("stands", "a:1"),
    ("receives", ("a:1", "b:1")),
    ("receives", ("b:1", "a:1")),
    ("receives", ("a:1", "a:1")),
    ("receives", ("a:1", "b:1")),
    ("receives", ("a:1", "a:1")),
    ("receives", ("b:1", "a:1")),
    ("requests its lease", "a:1"),
    ("receives", ("a:1", "b:1")),
    ("receives", ("b:1", "a:1")),
)
LATE_GRANT = (  # as LED, but the grant takes a step of time to arrive, and another one passes
    *LED[:-1],
    ("time passes", ""),
    ("receives", ("b:1", "a:1")),
    ("time passes", ""),
)
BOUNDS = (
    ElectionBounds(stands=(1, 1, 0), leases=(0, 0, 0), steps=0),
    ElectionBounds(stands=(2, 0, 0), leases=(0, 0, 0), ends=(1, 0, 0), steps=0),
    ElectionBounds(stands=(1, 1, 0), leases=(1, 0, 0), steps=1),
    ElectionBounds(stands=(1, 1, 0), leases=(1, 0, 0), ends=(0, 0, 1), steps=1),
    ElectionBounds(stands=(2, 0, 0), leases=(0, 0, 0), ends=(1, 0, 0), steps=2, partitions=1, begun=PROMISED),
    ElectionBounds(stands=(1, 1, 0), leases=(1, 0, 0), steps=1, begun=LED),
    ElectionBounds(stands=(1, 1, 0), leases=(2, 0, 0), ends=(0, 1, 0), steps=1, begun=LED),
    ElectionBounds(stands=(0, 1, 0), leases=(0, 0, 0), steps=1, begun=LATE_GRANT),
)
