"""Model of election and lease: the acceptors, proposers and leases of three members, with the production classes.

In some bounds a primary also replaces a voter by a spare while it holds its lease.

Messages of one link arrive in order; a link may never deliver them, or drop those in flight. Rejections are left out,
as a member may become candidate again at any time. Promises are stored in advance, and sent once the granted lease has
ended. A member becomes candidate, is primary once its record is decided, requests its lease, and may restart at any
step with its stored acceptor state. Time passes in steps shorter than a lease. With slow writes, each write begins and
ends in two steps; a member that restarts in between may or may not have stored what it was writing.

Invariants: no two records are accepted under one epoch; at most one member holds a lease; while a member holds a lease,
no later epoch of another member is accepted by a majority.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Hashable, Mapping
from random import Random

from lab.model_checker import Event, InvariantViolation, frozen
from lab.tier.models.election_bounds import ADDRESSES, ElectionBounds
from lab.tier.models.held_messages import HoldRule, Sent, WriteQueue
from lab.tier.world import World
from lynxscale.coordination.acceptor import Acceptor, DeferredPromise
from lynxscale.coordination.acceptor_state import INCARNATION_BITS, AcceptorStateFile, MemberIdentity
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
from lynxscale.coordination.quorum import DecidedRecord, quorum_of
from lynxscale.coordination.version_files import INITIAL_POSITION

SPARE, REPLACED = "d:1", "b:1"
SPARE_ID = member_id(SPARE, f"{Random(SPARE).getrandbits(INCARNATION_BITS):x}")
TOLERATED = 1
TIME_STEP_S = 0.25  # two steps are longer than a lease
DEFERRAL_S = 0.2  # longer than in production: after one step, promises are stored in advance while a lease is held


class Node:
    """The process of one member, with its disk. Implements the Network port of its proposer."""

    def __init__(self, world: World, address: str) -> None:
        machine = world.machine(address)
        self.sent: Sent = []
        self.writes: WriteQueue | None = None  # None while writes take no time
        self.primary = False
        identity = MemberIdentity(address, address in ADDRESSES, ADDRESSES)
        stored_state = AcceptorStateFile(identity, machine.files, Random(address))
        self.acceptor = Acceptor(stored_state, machine.clock(), LEASE_S, DEFERRAL_S)
        self.deferred: Prepare | None = None  # the promise is stored, and not sent yet
        self.lease = LeaderLease(machine.clock())
        self.proposer = Proposer(
            self.acceptor, machine.clock(), self, self._position, self._choose_record, self._on_decided, 0.0
        )

    @property
    def stored_record(self) -> EpochRecord:
        """The record that is durable."""
        return self.acceptor.record if self.writes is None else self.writes.stored_record

    def run(self, handler: Callable[[], None]) -> None:
        """Call a handler, whose messages wait for the writes that they depend on."""
        if self.writes is None:
            handler()
        else:
            self.writes.run(handler, self.sent)

    def send(self, address: str, message: Message) -> None:
        """Part of the Network port."""
        self.sent.append((address, message))

    def _position(self) -> Position:
        return INITIAL_POSITION

    def _choose_record(self, proposal: Proposal) -> EpochRecord | None:
        if self.primary and proposal.base.primary == self.acceptor.member:
            return _replacement(proposal)
        return decide_candidacy(self.acceptor.member, INITIAL_POSITION, proposal, TOLERATED).record

    def _on_decided(self, decided: DecidedRecord, positions: Mapping[str, Position]) -> None:
        self.primary = True
        self.lease.discard_rounds()

    def become_candidate(self) -> None:
        """Become candidate for a new epoch."""
        self.primary = False
        self.lease.relinquish()
        self.proposer.propose()

    def request_lease(self) -> None:
        """Send one heartbeat, which requests the lease."""
        record = self.acceptor.record
        request = LeaseRequest(record, self.lease.begin_round())
        for voter in quorum_of(self.proposer.known_record).members:
            if voter != self.acceptor.member:
                self.send(address_of(voter), request)
        if self.acceptor.grant(request):
            self.lease.on_grant(request.round, self.acceptor.member, quorum_of(self.proposer.known_record))

    def receive(self, message: Message) -> None:
        """Handle a message as ControlMember does."""
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
            self.lease.on_grant(message.round, message.member, quorum_of(self.proposer.known_record))

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
        """Whether there is a deferred promise whose timer may fire now."""
        return self.deferred is not None and not self.acceptor.lease_left_for_other(self.deferred.candidate)

    def answer_deferred(self) -> None:
        """Handle the timer of a deferred promise."""
        message, self.deferred = self.deferred, None
        if message is not None:
            self._on_prepare(message)

    def _on_lease_request(self, message: LeaseRequest) -> None:
        if message.record.epoch < self.acceptor.record.epoch:
            return
        self.acceptor.adopt(message.record)
        self._step_down()
        granted = self.acceptor.grant(message)
        member = self.acceptor.member
        answer = LeaseGrant(message.record.epoch, message.round, member, "", granted, 0, INITIAL_POSITION)
        self.send(address_of(message.record.primary), answer)

    def _step_down(self) -> None:
        if self.primary:
            self.primary = False
            self.lease.relinquish()
        self.proposer.cancel()


class Election:
    """The state machine of the model."""

    def __init__(self, bounds: ElectionBounds) -> None:
        self.world = World(1)
        addresses = (*ADDRESSES, SPARE) if bounds.plans else ADDRESSES
        self.nodes = {address: Node(self.world, address) for address in addresses}
        self._rule: HoldRule | None = None
        self._plans = bounds.plans
        self._remaining_events = {
            "becomes candidate": list(bounds.candidacies),
            "requests its lease": list(bounds.lease_requests),
            "restarts": list(bounds.restarts),
        }
        self._steps = bounds.time_steps
        self._partitions = bounds.partitions
        self._links: dict[tuple[str, str], deque[Message]] = {}
        self._accepted: dict[int, dict[str, set[str]]] = {}  # accepting members, by epoch and record
        self._records: dict[str, EpochRecord] = {}
        for event in bounds.initial_events:
            self.apply(event)
        self._rule = bounds.slow_writes
        for address in addresses:
            self._slow_down(address)
        for event in bounds.slow_events:
            self.apply(event)

    def _slow_down(self, address: str) -> None:
        """Let the writes of a member's process take time, if they do so in this model."""
        node = self.nodes[address]
        if self._rule is not None:
            node.writes = WriteQueue(self.world.machine(address).files, node.acceptor, self._rule)

    def _writing(self) -> list[str]:
        """The members that are writing."""
        return [address for address, node in self.nodes.items() if node.writes is not None and node.writes.pending]

    def events(self) -> list[Event]:
        """Part of StateMachine."""
        possible_events: list[Event] = [("receives", link) for link in self._links]
        if self._partitions:
            possible_events += [("drops", link) for link in self._links]
        for action, remaining in self._remaining_events.items():
            for index, address in enumerate(ADDRESSES):
                if remaining[index] and (action != "requests its lease" or self.nodes[address].primary):
                    possible_events.append((action, address))
        if self._plans:
            possible_events += [("plans", address) for address, node in self.nodes.items() if node.primary]
        writing = self._writing()
        possible_events += [("ends a write", address) for address in writing]
        restarts = self._remaining_events["restarts"]
        possible_events += [("restarts stored", address) for address in writing if restarts[ADDRESSES.index(address)]]
        possible_events += [("answers", address) for address, node in self.nodes.items() if node.may_answer_deferred]
        if self._steps:
            possible_events.append(("time passes", ""))
        return possible_events

    def apply(self, event: Event) -> None:
        """Part of StateMachine."""
        action, target = event
        if action == "receives":
            node, message = self.nodes[target[1]], self._links[target].popleft()
            node.run(lambda: node.receive(message))
        elif action == "drops":
            self._partitions -= 1
            self._links.get(target, deque()).clear()
        elif action == "plans":
            self._plans -= 1
            self._propose(self.nodes[target])
        elif action == "answers":
            self.nodes[target].run(self.nodes[target].answer_deferred)
        elif action == "ends a write":
            self._end_write(self.nodes[target])
        elif action == "time passes":
            self._steps -= 1
            self.world.time += TIME_STEP_S
        elif action in ("restarts", "restarts stored"):
            self._remaining_events["restarts"][ADDRESSES.index(target)] -= 1
            self._restart(target, stored=action == "restarts stored")
        else:
            self._remaining_events[action][ADDRESSES.index(target)] -= 1
            node = self.nodes[target]
            node.run(node.become_candidate if action == "becomes candidate" else node.request_lease)
        self._collect()

    @staticmethod
    def _propose(node: Node) -> None:
        node.run(lambda: node.proposer.propose() and None)

    @staticmethod
    def _end_write(node: Node) -> None:
        assert node.writes is not None
        node.sent += node.writes.end_first()

    def _restart(self, address: str, stored: bool) -> None:
        """Start a new process; ``stored``: the disk has what the process before was writing."""
        writes = self.nodes[address].writes
        if writes is not None and not stored:
            self.world.machine(address).files.restore(writes.stored_content)
        self._links.pop((address, address), None)  # messages of a process to itself end with it
        self.nodes[address] = Node(self.world, address)
        self._slow_down(address)

    def _collect(self) -> None:
        for address, node in self.nodes.items():
            for target, message in node.sent:
                if not isinstance(message, PrepareRejected):
                    self._links.setdefault((address, target), deque()).append(message)
            node.sent.clear()
            record = node.stored_record
            if record.epoch:
                name = encode(Accept(record)).decode()
                self._records[name] = record
                self._accepted.setdefault(record.epoch, {}).setdefault(name, set()).add(node.acceptor.member)
        self._links = {link: messages for link, messages in sorted(self._links.items()) if messages}

    def key(self) -> Hashable:
        """Part of StateMachine. Times are relative to the current time."""
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
                frozen(node.proposer._decided),
                node.writes.key() if node.writes else None,
            )
            for node in self.nodes.values()
        )
        links = tuple((link, *(encode(message) for message in messages)) for link, messages in self._links.items())
        remaining = frozen(self._remaining_events), self._steps, self._partitions, self._plans
        return nodes, links, remaining, frozen(self._accepted)

    def check(self) -> None:
        """Part of StateMachine. Raises InvariantViolation."""
        for epoch, records in self._accepted.items():
            if len(records) > 1:
                raise InvariantViolation(f"two records under epoch {epoch}: {sorted(records)}")
        holders = [address for address, node in self.nodes.items() if node.primary and node.lease.valid]
        if len(holders) > 1:
            raise InvariantViolation(f"{holders} hold the lease at the same time")
        for holder in holders:
            own_epoch = self.nodes[holder].acceptor.record.epoch
            for records in self._accepted.values():
                for name, accepted in records.items():
                    record = self._records[name]
                    is_decided = record.epoch > own_epoch and quorum_of(record).is_reached(accepted)
                    if is_decided and record.primary != founder_id(holder):
                        raise InvariantViolation(
                            f"{holder} holds the lease of epoch {own_epoch} while {record.epoch} is decided"
                        )


def _replacement(proposal: Proposal) -> EpochRecord:
    """The record that replaces a voter by the spare, or settles this."""
    base, quorum = proposal.base, proposal.base_quorum
    voters = base.voters
    if not quorum.is_joint:
        voters = tuple(SPARE_ID if voter == founder_id(REPLACED) else voter for voter in voters)
    in_sync = tuple(member for member in voters if member != SPARE_ID)
    return EpochRecord(proposal.epoch, proposal.candidate, in_sync, voters, quorum.decided_voters)


def founder_id(address: str) -> str:
    """The id of the founding member at an address."""
    return member_id(address, "0")
