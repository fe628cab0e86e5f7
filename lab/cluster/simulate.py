"""The state machines that run in service, many nodes in one process: simulated network, disk and clocks, by a seed.

A history is a few seconds of faults and a calm after them. Judged at every event: no two views of one number differ;
nobody may act in a view while somebody acts in a later one without it. And at its end: one view of all that are there.
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
FORM, CALM = 20, 25  # seconds until the first view; after the last fault, for all to be one view again
EACH = 1.0  # seconds more for each node beyond sixteen: a view takes in a few at a time
SHOWN = 8  # nodes that a breach tells of


@dataclass
class Path:
    """One direction between two nodes."""

    cut: bool = False
    loss: float = 0.0


@dataclass
class Process:
    """One life of a node's process."""

    core: Core
    boot: int
    began: int
    paused: bool = False
    waiting: list = field(default_factory=list)  # what came while it was stopped
    pending: WriteQueue = field(default_factory=WriteQueue)
    renewing: bool = False
    tick_at: int = -1  # when it is looked at next; -1: not planned


@dataclass
class Machine:
    """A node: its disk outlasts its processes. Its clock runs at ``rate`` from ``offset``."""

    name: str
    rate: float
    offset: int
    disk: tuple[int, DurableState | None] | None = None  # life and memory
    process: Process | None = None

    def local(self, at: int) -> int:
        return int(at * self.rate) + self.offset

    def world(self, local: float) -> int:
        return int((local - self.offset) / self.rate) + 1


DISK_US = 200, 8000  # of one write
STEPS = (
    "due",
    "tick",
    "heard",
    "receive_own",
    "message",
    "full_state",
    "exchange_finished",
    "state_persisted",
)  # of a core


def _over_the_wire(message: Message) -> bytes:
    """The frame, read as the far end does."""
    data = frame.encode(0, message)
    frame.decode(0, data)
    return data


class World:
    """``mistake`` is a hook for the laboratory's own check: it may change each core that is made."""

    def __init__(
        self,
        nodes: int,
        seed: int,
        timing: DetectorTiming | None = None,
        terms: ViewTiming | None = None,
        mistake: Callable[[Core], None] | None = None,
        measure: bool = False,
    ) -> None:
        self.seed, self.chance = seed, random.Random(f"{seed} world")
        self.timing, self.terms, self.mistake, self.measure = timing, terms, mistake, measure
        self.now = 0
        self._heap: list = []
        self._order = count()
        self.names = [f"r{place + 1}" for place in range(nodes)]
        self.machines = {
            name: Machine(name, self.chance.uniform(0.99, 1.01), self.chance.randrange(SECOND * 10_000))
            for name in self.names
        }
        self.paths = {(a, b): Path() for a in self.names for b in self.names if a != b}
        self.disk_us = DISK_US
        self.digests: dict[int, View] = {}
        self.acted: dict[int, int] = {}  # by number of the view: when somebody first could act in it
        self.log: list[tuple[int, str, str, dict]] = []
        self.bytes = self.datagrams = 0
        self.cpu_s = 0.0  # of the nodes' own steps and frames, where it is measured
        self._clocked = False
        self.false_failures = 0
        self.undecidable = False  # at its end no majority remembers what it has promised

    # Events --------------------------------------------------------------------------------------

    def at(self, when: int, act: Callable, *args: object) -> None:
        heappush(self._heap, (max(when, self.now), next(self._order), act, args))

    def run(self, until: int) -> None:
        """Go on until then. Raises InvariantViolation."""
        while self._heap and self._heap[0][0] <= until:
            self.now, _, act, args = heappop(self._heap)
            act(*args)
        self.now = until

    def _clock(self, call: Callable) -> Callable:
        """The same, its CPU time added to ``cpu_s``, once where one such step is taken within another."""

        def clocked(*args: object, **more: object) -> object:
            if self._clocked:
                return call(*args, **more)
            self._clocked, begun = True, process_time()
            try:
                return call(*args, **more)
            finally:
                self.cpu_s += process_time() - begun
                self._clocked = False

        return clocked

    # Processes -----------------------------------------------------------------------------------

    def start(self, name: str) -> None:
        machine = self.machines[name]
        if machine.process is not None:
            return
        life, kept = machine.disk or (0, None)
        machine.disk = life + 1, kept
        boot = self.chance.getrandbits(62)
        now = machine.local(self.now)
        core = Core(Identity(name, life + 1, boot), self.names, str(self.seed), now, kept, self.timing, self.terms)
        if self.mistake is not None:
            self.mistake(core)
        for step in STEPS if self.measure else ():
            setattr(core, step, self._clock(getattr(core, step)))
        process = machine.process = Process(core, boot, self.now)
        self._go(machine, process, core.tick(now))

    def kill(self, name: str) -> None:
        self.machines[name].process = None

    def leave(self, name: str) -> None:
        """Told to stop: it says so and is gone."""
        machine = self.machines[name]
        process = machine.process
        if process is not None and not process.paused:
            self._go(machine, process, process.core.leave(machine.local(self.now)))
            machine.process = None

    def pause(self, name: str) -> None:
        process = self.machines[name].process
        if process is not None:
            process.paused = True

    def go_on(self, name: str) -> None:
        machine = self.machines[name]
        process = machine.process
        if process is not None and process.paused:
            process.paused = False
            waiting, process.waiting = process.waiting, []
            for act, args in waiting:
                act(*args)
            process.tick_at = -1
            self._plan(machine, process)

    def _alive(self, machine: Machine, process: Process, act: Callable, *args: object) -> bool:
        """Is it there to do this? A stopped process does it once it goes on."""
        if machine.process is not process:
            return False
        if process.paused:
            if len(process.waiting) < 500:
                process.waiting.append((act, args))
            return False
        return True

    def _plan(self, machine: Machine, process: Process) -> None:
        due = max(self.now, machine.world(process.core.next_deadline()))
        if process.tick_at < self.now or due < process.tick_at:
            process.tick_at = due
            self.at(due, self._tick, machine, process, due)

    def _tick(self, machine: Machine, process: Process, planned: int) -> None:
        if machine.process is not process or process.paused or process.tick_at != planned:
            return
        process.tick_at = -1
        self._go(machine, process, process.core.tick(machine.local(self.now)))

    # Orders --------------------------------------------------------------------------------------

    def _go(self, machine: Machine, process: Process, orders: list) -> None:
        queue = list(orders)
        while queue:
            order = queue.pop(0)
            if isinstance(order, SendDatagram):
                self._send(machine, order.to, process.core.message(order.body, order.updates))
            elif isinstance(order, SendViewMessage):
                if order.to == machine.name:
                    queue += process.core.receive_own(machine.local(self.now), order.message)
                else:
                    self._send(machine, order.to, process.core.message(view_body(order.message)))
            elif isinstance(order, PersistState):
                self._write(machine, process, order.durable, lambda order=order: self._kept(machine, process, order))
            elif isinstance(order, (StartExchange, FetchView)):
                to = order.to if isinstance(order, StartExchange) else order.peer
                self._swap(machine, process, to)
            elif isinstance(order, (StartGeneration, RemovedFromView)):
                above = order.generation if isinstance(order, StartGeneration) else process.core.me.generation
                self._renew(machine, process, above)
            else:
                self.log.append((self.now, machine.name, order.event, order.fields))
                if order.event == "node" and order.fields["state"] == "failed":
                    self._false(order.fields["node"])
        self._judge(machine, process)
        self._plan(machine, process)

    def _false(self, name: str) -> None:
        process = self.machines[name].process
        self.false_failures += process is not None and not process.paused

    def _send(self, machine: Machine, to: str, message: Message) -> None:
        if self.measure:
            self.bytes += len(self._clock(_over_the_wire)(message))
            self.datagrams += 1
        path = self.paths[machine.name, to]
        if path.cut or self.chance.random() < path.loss:
            return
        self.at(self.now + self.chance.randrange(100, 4000), self._deliver, to, message, True)

    def _deliver(self, to: str, message: Message, reached: bool) -> None:
        machine = self.machines[to]
        process = machine.process
        if process is not None and self._alive(machine, process, self._deliver, to, message, reached):
            self._go(machine, process, process.core.receive(machine.local(self.now), message, reached))

    def _swap(self, machine: Machine, process: Process, to: str) -> None:
        """An exchange: there and back, unless either way is cut."""
        there, back = self.paths[machine.name, to], self.paths[to, machine.name]
        far = self.machines[to].process
        if there.cut or back.cut or far is None or far.paused:
            self.at(self.now + SECOND, self._swapped, machine, process, None)
            return
        asked = process.core.full_state(answer=False)
        if self.measure:
            self.bytes += 2 * len(self._clock(_over_the_wire)(asked))
        answer = far.core.full_state(answer=True)
        late = self.chance.randrange(300, 9000)
        self.at(self.now + late, self._deliver, to, asked, True)
        self.at(self.now + 2 * late, self._swapped, machine, process, answer)

    def _swapped(self, machine: Machine, process: Process, answer: Message | None) -> None:
        if not self._alive(machine, process, self._swapped, machine, process, answer):
            return
        now = machine.local(self.now)
        if answer is not None:
            self._go(machine, process, process.core.receive(now, answer, False))
        self._go(machine, process, process.core.exchange_finished(now, answer is None))

    def _write(self, machine: Machine, process: Process, kept: DurableState, then: Callable[[], None]) -> None:
        self._begin(machine, process, process.pending.put(kept, then))

    def _begin(self, machine: Machine, process: Process, kept: DurableState | None) -> None:
        if kept is not None:
            self.at(self.now + self.chance.randrange(*self.disk_us), self._written, machine, process, kept)

    def _written(self, machine: Machine, process: Process, kept: DurableState) -> None:
        if machine.process is not process:
            return  # it died before: nothing of this is on disk
        machine.disk = max(machine.disk[0], process.core.me.generation), kept
        after = process.pending.done(True)
        self._begin(machine, process, process.pending.begin())
        for then in after:
            then()

    def _kept(self, machine: Machine, process: Process, order: PersistState) -> None:
        if self._alive(machine, process, self._kept, machine, process, order):
            process.core.state_persisted(order.durable)
            self._go(machine, process, list(order.then))

    def _renew(self, machine: Machine, process: Process, above: int) -> None:
        if process.renewing or above < process.core.me.generation:
            return
        process.renewing = True

        def renewed() -> None:
            if machine.process is process:
                process.renewing = False
                machine.disk = above + 1, machine.disk[1]
                self._go(machine, process, process.core.renew(machine.local(self.now), above + 1))

        self.at(self.now + self.chance.randrange(*self.disk_us), renewed)

    # Judging -------------------------------------------------------------------------------------

    def _judge(self, machine: Machine, process: Process) -> None:
        """Hold what this node has now against all others, at this moment."""
        views = process.core.agreement
        view = views.view
        if views.conflict:
            raise InvariantViolation(f"{machine.name}: {views.conflict}")
        if view is None:
            return
        known = self.digests.setdefault(view.number, view)
        if known != view:
            raise InvariantViolation(f"view {view.number} is {view} at {machine.name}, and was {known}")
        now = machine.local(self.now)
        if not views.may_act(now):
            return
        until = machine.world(views.lease_until(now))
        if view.number not in self.acted:
            self.acted[view.number] = self.now
            self._without(view)
        for number, when in self.acted.items():
            if number > view.number and process.core.me not in self.digests[number].members:
                raise InvariantViolation(
                    f"{machine.name} may act in view {view.number} until {until}, and someone acted in view "
                    f"{number}, which is without it, at {when}"
                )

    def _without(self, view: View) -> None:
        """Somebody acts in this view for the first time: may one that it is without act yet?"""
        for other in self.machines.values():
            process = other.process
            if process is None:
                continue
            theirs = process.core.agreement
            if (
                theirs.number < view.number
                and process.core.me not in view.members
                and theirs.may_act(other.local(self.now))
            ):
                raise InvariantViolation(
                    f"{other.name} may act in view {theirs.number} while view {view.number} is acted in"
                )

    def agreed(self, names: list[str]) -> bool:
        """Are these, and no others, one view, and members with a lease each?"""
        found = set()
        for name in names:
            machine = self.machines[name]
            process = machine.process
            if process is None or process.paused:
                return False
            views = process.core.agreement
            if (
                views.view is None
                or views.view.identity_of(name) != process.core.me
                or not views.may_act(machine.local(self.now))
                or sorted(views.view.names) != sorted(names)
            ):
                return False
            found.add(views.view.digest)
        return len(found) == 1

    def until_agreed(self, names: list[str], within: int, step: int = SECOND // 10) -> bool:
        """Go on until they are, or that much time has passed."""
        end = self.now + within
        while self.now < end:
            self.run(self.now + step)
            if self.agreed(names):
                return True
        return False

    def believes(self, who: str, of: str) -> State | None:
        process = self.machines[who].process
        return process.core.detector.membership.state(of) if process is not None else None


def trouble(world: World, seconds: int) -> None:
    """Draw faults for that long, as events of the world: kills, stops, cuts of all shapes, loss, slow disks, memory
    that is lost or old."""
    chance, at = world.chance, world.now
    end = at + seconds * SECOND
    names = world.names
    forgets_at = at
    most = max(1, (len(names) - 1) // 2)

    def cut(pairs: list[tuple[str, str]], value: bool) -> None:
        for way in pairs:
            world.paths[way].cut = value

    while at < end:
        lasts = int(chance.choice((0.3, 1, 3, 7)) * chance.uniform(0.7, 1.4) * SECOND)
        one = chance.choice(names)
        kind = chance.choice(
            (
                "kill",
                "kill",
                "pause",
                "leave",
                "cut",
                "one_way",
                "halves",
                "ring",
                "loss",
                "all",
                "forget",
                "older",
                "bridge",
                "disk",
            )
        )
        if kind in ("kill", "pause", "leave"):
            struck = chance.sample(names, chance.randint(1, most))
            for name in struck:
                world.at(at, {"kill": world.kill, "pause": world.pause, "leave": world.leave}[kind], name)
                world.at(at + lasts, world.go_on if kind == "pause" else world.start, name)
        elif kind == "all":
            for name in names:
                world.at(at, world.kill, name)
                world.at(at + chance.randrange(1, lasts + 2), world.start, name)
        elif kind in ("forget", "older") and at >= forgets_at:
            forgets_at = at + lasts + 14 * SECOND
            machine = world.machines[one]
            world.at(at, _take_memory, world, machine, kind, lasts)
        elif kind == "disk":
            sync = chance.choice((0.3, 1.0, 2.0)) * SECOND
            world.at(at, setattr, world, "disk_us", (int(0.9 * sync), int(1.1 * sync)))
            world.at(at + lasts, setattr, world, "disk_us", DISK_US)
        elif kind == "loss":
            for path in world.paths.values():
                world.at(at, setattr, path, "loss", chance.choice((0.1, 0.3, 0.6)))
                world.at(at + lasts, setattr, path, "loss", 0.0)
        elif kind in ("cut", "one_way", "halves", "ring", "bridge"):
            place = {name: k for k, name in enumerate(names)}
            half = set(chance.sample(names, (len(names) + 1) // 2))
            pairs = [
                (a, b)
                for a, b in world.paths
                if {
                    "cut": one in (a, b),
                    "one_way": a == one and b != names[0],
                    "halves": (a in half) != (b in half),
                    "bridge": one not in (a, b) and (a in half) != (b in half),
                    "ring": (place[a] - place[b]) % len(names) not in (1, len(names) - 1),
                }[kind]
            ]
            world.at(at, cut, pairs, True)
            world.at(at + lasts, cut, pairs, False)
        at += int(lasts * chance.uniform(0.3, 1.5))


def _take_memory(world: World, machine: Machine, kind: str, lasts: int) -> None:
    """Its disk is lost, or set back to what it held at this moment, while the process goes on for some time."""
    copy = machine.disk if kind == "older" else None

    def back() -> None:
        world.kill(machine.name)
        if _others_remember(world, machine.name):
            machine.disk = copy
        if kind == "older":
            world.start(machine.name)
        else:
            world.at(world.now + lasts, world.start, machine.name)

    world.at(world.now + (lasts if kind == "older" else 0), back)


def _others_remember(world: World, name: str) -> bool:
    """Is there a majority of the newest view whose memory is whole, without this node? Else nobody may decide any more:
    so by design, and counted apart."""
    if not world.digests:
        return False
    names = world.digests[max(world.digests)].names
    whole = [
        one
        for one in names
        if one != name
        and (disk := world.machines[one].disk) is not None
        and disk[1] is not None
        and disk[1].votes
        and disk[1].view is not None
    ]
    return 2 * len(whole) > len(names)


def history(nodes: int, seed: int, seconds: int = 15, mistake: Callable[[Core], None] | None = None) -> World:
    """One seeded history, to its end. Raises InvariantViolation, with the seed."""
    world = World(nodes, seed, mistake=mistake)
    more = EACH * max(0, nodes - 16)
    try:
        for name in world.names:
            world.at(world.chance.randrange(SECOND), world.start, name)
        if not world.until_agreed(world.names, int((FORM + more) * SECOND)):
            raise InvariantViolation(f"no first view: {_said(world)}")
        trouble(world, seconds)
        world.run(world.now + (seconds + 12) * SECOND)
        for path in world.paths.values():
            path.cut, path.loss = False, 0.0
        for name in world.names:
            world.go_on(name)
            world.start(name)
        if not world.until_agreed(world.names, int((CALM + more) * SECOND)):
            world.undecidable = not _others_remember(world, "")
            if not world.undecidable:
                raise InvariantViolation(f"not one view after the calm: {_said(world)}")
    except InvariantViolation as breach:
        raise InvariantViolation(f"seed {seed}, {nodes} nodes, at {world.now / SECOND:.3f} s: {breach}") from breach
    return world


def _said(world: World) -> str:
    """The newest view, and some of the nodes that are not in it or may not act."""
    newest = max(world.digests, default=0)
    rows = []
    for name, machine in world.machines.items():
        process = machine.process
        if process is None:
            rows.append(f"{name} is down")
            continue
        views = process.core.agreement
        if views.number == newest and views.may_act(machine.local(world.now)):
            continue
        rows.append(
            f"{name}/{process.core.me.generation} {views.status.value} in view {views.number} "
            f"of {' '.join(f'{one.name}/{one.generation}' for one in views.view.members) if views.view else '-'} "
            f"votes {views.durable.votes} checked {sorted(views.exchanged_with)} "
            f"sees {' '.join(process.core.detector.reachable())}"
        )
    rows[SHOWN:] = [f"and {len(rows) - SHOWN} more"] if len(rows) > SHOWN else []
    head = f"view {newest} has {len(world.digests[newest].members)} members" if newest else "no view"
    return "; ".join([head, *rows])


def main() -> None:
    """``python -m lab.cluster.simulate FIRST LAST [NODES]``: play these seeds; exit code 1 with the first breach."""
    import sys

    first, last = int(sys.argv[1]), int(sys.argv[2])
    undecidable = 0
    for seed in range(first, last + 1):
        nodes = int(sys.argv[3]) if len(sys.argv) > 3 else 3 + seed % 5
        try:
            undecidable += history(nodes, seed).undecidable
        except InvariantViolation as breach:
            print(f"breach: {breach}")
            sys.exit(1)
    print(f"{last - first + 1} histories, seeds {first} to {last}: no breach; in {undecidable} no majority remembered")


if __name__ == "__main__":
    main()
