"""Discrete-event simulation of a cluster: the relay's own state machines on a seeded network, disk and clocks.

Two invariants are checked at every event: no two views with one number differ, and no node may act in a view while
another acts in a later view that excludes it.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from time import process_time

from lab.model_checker import InvariantViolation
from lynxscale.relay.cluster import frame
from lynxscale.relay.cluster.core import Core
from lynxscale.relay.cluster.durable_state import WriteQueue
from lynxscale.relay.cluster.frame import Message, view_body
from lynxscale.relay.cluster.instructions import (
    FetchView,
    PersistState,
    RemovedFromView,
    SendDatagram,
    SendViewMessage,
    StartExchange,
    StartGeneration,
)
from lynxscale.relay.cluster.membership_table import Identity, State
from lynxscale.relay.cluster.messages import DurableState, View
from lynxscale.relay.cluster.timing import DetectorTiming, ViewTiming

SECOND = 1_000_000


@dataclass
class SimulatedLink:
    """The network from one node to another, in one direction."""

    cut: bool = False
    loss: float = 0.0


@dataclass
class Process:
    """One incarnation of a node's process."""

    core: Core
    boot: int
    started_at: int
    paused: bool = False
    deferred: list = field(default_factory=list)  # calls that arrived while the process was paused
    pending: WriteQueue = field(default_factory=WriteQueue)
    renewing: bool = False
    tick_at: int = -1  # simulated time of the next tick; -1: none is scheduled


@dataclass
class Machine:
    """A node, whose disk outlasts its processes. Its clock starts at ``offset`` and runs at ``rate``."""

    name: str
    rate: float
    offset: int
    disk: tuple[int, DurableState | None] | None = None  # generation and durable state
    process: Process | None = None

    def to_local_time(self, at: int) -> int:
        return int(at * self.rate) + self.offset

    def to_simulated_time(self, local: float) -> int:
        return int((local - self.offset) / self.rate) + 1


DISK_WRITE_US = 200, 8000  # bounds of the duration of one write
CORE_METHODS = (
    "tick",
    "receive",
    "receive_own",
    "message",
    "full_state",
    "exchange_finished",
    "state_persisted",
)  # methods of Core whose CPU time is measured


def _encode_frame(message: Message) -> bytes:
    """The encoded frame; it is decoded as well, since the receiver's cost is measured too."""
    data = frame.encode(0, message)
    frame.decode(0, data)
    return data


class World:
    """The simulated cluster and its event queue. Times are in microseconds of simulated time.

    ``mistake`` is called with each new core and may change it, for tests that a checker detects faults. ``measure``
    records bytes, datagrams and CPU time.
    """

    def __init__(
        self,
        nodes: int,
        seed: int,
        detector_timing: DetectorTiming | None = None,
        view_timing: ViewTiming | None = None,
        mistake: Callable[[Core], None] | None = None,
        measure: bool = False,
    ) -> None:
        self.seed, self.rng = seed, random.Random(f"{seed} world")
        self.detector_timing, self.view_timing, self.mistake, self.measure = (
            detector_timing,
            view_timing,
            mistake,
            measure,
        )
        self.now = 0
        self._heap: list = []
        self._event_numbers = count()
        self.names = [f"r{place + 1}" for place in range(nodes)]
        self.machines = {
            name: Machine(name, self.rng.uniform(0.99, 1.01), self.rng.randrange(SECOND * 10_000))
            for name in self.names
        }
        self.network = {(a, b): SimulatedLink() for a in self.names for b in self.names if a != b}
        self.disk_us = DISK_WRITE_US
        self.digests: dict[int, View] = {}
        self.first_acted_at: dict[int, int] = {}  # by view number: when a node first could act in it
        self.log: list[tuple[int, str, str, dict]] = []
        self.bytes = self.datagrams = 0
        self.cpu_s = 0.0  # CPU time of the nodes' steps and frames, if measured
        self._measuring = False
        self.false_failures = 0
        self.undecidable = False  # at the end no majority has its durable state, so no view can be decided

    # Events --------------------------------------------------------------------------------------

    def at(self, when: int, act: Callable, *args: object) -> None:
        heappush(self._heap, (max(when, self.now), next(self._event_numbers), act, args))

    def run(self, until: int) -> None:
        """Run all events up to that time. Raises InvariantViolation."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, act, args = heappop(self._heap)
            act(*args)
        self.now = until

    def _measured(self, call: Callable) -> Callable:
        """Wraps a call so that its CPU time is added to ``cpu_s``; time of nested calls counts once."""

        def measured(*args: object, **keywords: object) -> object:
            if self._measuring:
                return call(*args, **keywords)
            self._measuring, started = True, process_time()
            try:
                return call(*args, **keywords)
            finally:
                self.cpu_s += process_time() - started
                self._measuring = False

        return measured

    # Processes -----------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        machine = self.machines[name]
        if machine.process is not None:
            return
        life, durable = machine.disk or (0, None)
        machine.disk = life + 1, durable
        boot = self.rng.getrandbits(62)
        now = machine.to_local_time(self.now)
        core = Core(
            Identity(name, life + 1, boot),
            self.names,
            str(self.seed),
            now,
            durable,
            self.detector_timing,
            self.view_timing,
        )
        if self.mistake is not None:
            self.mistake(core)
        for step in CORE_METHODS if self.measure else ():
            setattr(core, step, self._measured(getattr(core, step)))
        process = machine.process = Process(core, boot, self.now)
        self._execute(machine, process, core.tick(now))

    def kill(self, name: str) -> None:
        self.machines[name].process = None

    def leave(self, name: str) -> None:
        """Shut the node down: it announces that it leaves, and its process ends."""
        machine = self.machines[name]
        process = machine.process
        if process is not None and not process.paused:
            self._execute(machine, process, process.core.leave(machine.to_local_time(self.now)))
            machine.process = None

    def pause(self, name: str) -> None:
        process = self.machines[name].process
        if process is not None:
            process.paused = True

    def resume(self, name: str) -> None:
        machine = self.machines[name]
        process = machine.process
        if process is not None and process.paused:
            process.paused = False
            deferred, process.deferred = process.deferred, []
            for act, args in deferred:
                act(*args)
            process.tick_at = -1
            self._schedule_tick(machine, process)

    def _can_run(self, machine: Machine, process: Process, act: Callable, *args: object) -> bool:
        """Whether the process can take this call now. A paused process takes it when it resumes."""
        if machine.process is not process:
            return False
        if process.paused:
            if len(process.deferred) < 500:
                process.deferred.append((act, args))
            return False
        return True

    def _schedule_tick(self, machine: Machine, process: Process) -> None:
        due = max(self.now, machine.to_simulated_time(process.core.next_deadline()))
        if process.tick_at < self.now or due < process.tick_at:
            process.tick_at = due
            self.at(due, self._tick, machine, process, due)

    def _tick(self, machine: Machine, process: Process, planned: int) -> None:
        if machine.process is not process or process.paused or process.tick_at != planned:
            return
        process.tick_at = -1
        self._execute(machine, process, process.core.tick(machine.to_local_time(self.now)))

    # Instructions --------------------------------------------------------------------------------

    def _execute(self, machine: Machine, process: Process, instructions: list) -> None:
        queue = list(instructions)
        while queue:
            instruction = queue.pop(0)
            if isinstance(instruction, SendDatagram):
                self._send(machine, instruction.to, process.core.message(instruction.body, instruction.updates))
            elif isinstance(instruction, SendViewMessage):
                if instruction.to == machine.name:
                    queue += process.core.receive_own(machine.to_local_time(self.now), instruction.message)
                else:
                    self._send(machine, instruction.to, process.core.message(view_body(instruction.message)))
            elif isinstance(instruction, PersistState):
                self._write(
                    machine,
                    process,
                    instruction.durable,
                    lambda instruction=instruction: self._persisted(machine, process, instruction),
                )
            elif isinstance(instruction, (StartExchange, FetchView)):
                to = instruction.to if isinstance(instruction, StartExchange) else instruction.peer
                self._exchange(machine, process, to)
            elif isinstance(instruction, (StartGeneration, RemovedFromView)):
                above = (
                    instruction.generation if isinstance(instruction, StartGeneration) else process.core.me.generation
                )
                self._renew(machine, process, above)
            else:
                self.log.append((self.now, machine.name, instruction.event, instruction.fields))
                if instruction.event == "node" and instruction.fields["state"] == "failed":
                    self._count_false_failure(instruction.fields["node"])
        self._check_invariants(machine, process)
        self._schedule_tick(machine, process)

    def _count_false_failure(self, name: str) -> None:
        process = self.machines[name].process
        self.false_failures += process is not None and not process.paused

    def _send(self, machine: Machine, to: str, message: Message) -> None:
        if self.measure:
            self.bytes += len(self._measured(_encode_frame)(message))
            self.datagrams += 1
        link = self.network[machine.name, to]
        if link.cut or self.rng.random() < link.loss:
            return
        self.at(self.now + self.rng.randrange(100, 4000), self._deliver, to, message, True)

    def _deliver(self, to: str, message: Message, reached: bool) -> None:
        machine = self.machines[to]
        process = machine.process
        if process is not None and self._can_run(machine, process, self._deliver, to, message, reached):
            self._execute(machine, process, process.core.receive(machine.to_local_time(self.now), message, reached))

    def _exchange(self, machine: Machine, process: Process, to: str) -> None:
        """Exchange full states with a peer; fails if either direction is cut."""
        outbound, inbound = self.network[machine.name, to], self.network[to, machine.name]
        remote = self.machines[to].process
        if outbound.cut or inbound.cut or remote is None or remote.paused:
            self.at(self.now + SECOND, self._exchange_done, machine, process, None)
            return
        request = process.core.full_state(answer=False)
        if self.measure:
            self.bytes += 2 * len(self._measured(_encode_frame)(request))
        answer = remote.core.full_state(answer=True)
        delay = self.rng.randrange(300, 9000)
        self.at(self.now + delay, self._deliver, to, request, True)
        self.at(self.now + 2 * delay, self._exchange_done, machine, process, answer)

    def _exchange_done(self, machine: Machine, process: Process, answer: Message | None) -> None:
        if not self._can_run(machine, process, self._exchange_done, machine, process, answer):
            return
        now = machine.to_local_time(self.now)
        if answer is not None:
            self._execute(machine, process, process.core.receive(now, answer, False))
        self._execute(machine, process, process.core.exchange_finished(now, answer is None))

    def _write(self, machine: Machine, process: Process, durable: DurableState, then: Callable[[], None]) -> None:
        self._start_write(machine, process, process.pending.put(durable, then))

    def _start_write(self, machine: Machine, process: Process, durable: DurableState | None) -> None:
        if durable is not None:
            self.at(self.now + self.rng.randrange(*self.disk_us), self._write_done, machine, process, durable)

    def _write_done(self, machine: Machine, process: Process, durable: DurableState) -> None:
        if machine.process is not process:
            return  # the process ended before the write did: nothing is on disk
        machine.disk = max(machine.disk[0], process.core.me.generation), durable
        after = process.pending.done(True)
        self._start_write(machine, process, process.pending.begin())
        for then in after:
            then()

    def _persisted(self, machine: Machine, process: Process, instruction: PersistState) -> None:
        if self._can_run(machine, process, self._persisted, machine, process, instruction):
            process.core.state_persisted(instruction.durable)
            self._execute(machine, process, list(instruction.then))

    def _renew(self, machine: Machine, process: Process, above: int) -> None:
        if process.renewing or above < process.core.me.generation:
            return
        process.renewing = True

        def renewed() -> None:
            if machine.process is process:
                process.renewing = False
                machine.disk = above + 1, machine.disk[1]
                self._execute(machine, process, process.core.renew(machine.to_local_time(self.now), above + 1))

        self.at(self.now + self.rng.randrange(*self.disk_us), renewed)

    # Invariants ----------------------------------------------------------------------------------

    def _check_invariants(self, machine: Machine, process: Process) -> None:
        """Check this node's view and lease against those of all others."""
        agreement = process.core.agreement
        view = agreement.view
        if agreement.conflict:
            raise InvariantViolation(f"{machine.name}: {agreement.conflict}")
        if view is None:
            return
        known = self.digests.setdefault(view.number, view)
        if known != view:
            raise InvariantViolation(f"view {view.number} is {view} at {machine.name}, and was {known}")
        now = machine.to_local_time(self.now)
        if not agreement.may_act(now):
            return
        until = machine.to_simulated_time(agreement.lease_until(now))
        if view.number not in self.first_acted_at:
            self.first_acted_at[view.number] = self.now
            self._check_removed_nodes(view)
        for number, when in self.first_acted_at.items():
            if number > view.number and process.core.me not in self.digests[number].members:
                raise InvariantViolation(
                    f"{machine.name} may act in view {view.number} until {until}, and someone acted in view "
                    f"{number}, which is without it, at {when}"
                )

    def _check_removed_nodes(self, view: View) -> None:
        """When a node first acts in a view: check that no node which the view excludes may still act."""
        for other in self.machines.values():
            process = other.process
            if process is None:
                continue
            theirs = process.core.agreement
            if (
                theirs.number < view.number
                and process.core.me not in view.members
                and theirs.may_act(other.to_local_time(self.now))
            ):
                raise InvariantViolation(
                    f"{other.name} may act in view {theirs.number} while view {view.number} is acted in"
                )

    def agreed(self, names: list[str]) -> bool:
        """Whether these nodes share one view with no other members, and each holds a lease."""
        found = set()
        for name in names:
            machine = self.machines[name]
            process = machine.process
            if process is None or process.paused:
                return False
            agreement = process.core.agreement
            if (
                agreement.view is None
                or agreement.view.identity_of(name) != process.core.me
                or not agreement.may_act(machine.to_local_time(self.now))
                or sorted(agreement.view.names) != sorted(names)
            ):
                return False
            found.add(agreement.view.digest)
        return len(found) == 1

    def run_until_agreed(self, names: list[str], timeout_us: int, step: int = SECOND // 10) -> bool:
        """Run until these nodes agree; False if they don't within the timeout."""
        end = self.now + timeout_us
        while self.now < end:
            self.run(self.now + step)
            if self.agreed(names):
                return True
        return False

    def believes(self, who: str, of: str) -> State | None:
        process = self.machines[who].process
        return process.core.detector.membership.state(of) if process is not None else None
