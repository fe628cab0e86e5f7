"""Simulated time, network and disks, all drawn from one seed. No sockets, no threads, no sleeps."""

from __future__ import annotations

import contextlib
import heapq
from collections.abc import Callable
from itertools import count
from random import Random

from lynxscale.coordination.messages import Message, decode, encode

START_WALL = 1_800_000_000.0


class ProcessEnded(BaseException):
    """The process that was running ends in this instant; nothing of what it was doing goes on."""


class Event:
    """A call that is due at a time; it can be cancelled."""

    __slots__ = ("call", "owner")

    def __init__(self, call: Callable[[], None], owner: Machine | None) -> None:
        self.call: Callable[[], None] | None = call
        self.owner = owner

    def cancel(self) -> None:
        """The call will not be made."""
        self.call = None


class World:
    """The clock of all machines, and the links between them."""

    def __init__(self, seed: int, delay_s: float = 0.002, loss: float = 0.0) -> None:
        self.random = Random(seed)
        self.delay_s = delay_s
        self.loss = loss
        self.time = 0.0
        self.machines: dict[str, Machine] = {}
        self.partitions: set[tuple[str, str]] = set()
        self.steps = 0  # messages handled and syncs done, of all machines
        self._calls_at_step: dict[int, Callable[[], None]] = {}
        self._events: list[tuple[float, int, Event]] = []
        self._order = count().__next__
        self._last_arrival: dict[tuple[str, str], float] = {}
        self._wire_free_at: dict[tuple[str, str], float] = {}

    def machine(self, address: str) -> Machine:
        """The machine at an address, made on first use."""
        if address not in self.machines:
            self.machines[address] = Machine(self, address)
        return self.machines[address]

    def call_at(self, time: float, call: Callable[[], None], owner: Machine | None = None) -> Event:
        """Make a call at a time."""
        event = Event(call, owner)
        heapq.heappush(self._events, (time, self._order(), event))
        return event

    def run(self, until: float) -> None:
        """Let everything happen that is due up to a time."""
        while self._events and self._events[0][0] <= until:
            self.time, _, event = heapq.heappop(self._events)
            self._dispatch(event)
        self.time = until

    def run_until(self, condition: Callable[[], bool], within: float) -> bool:
        """Run until the condition holds; False where it does not ``within`` so many seconds."""
        end = self.time + within
        while not condition():
            if not self._events or self._events[0][0] > end:
                self.time = end
                return condition()
            self.time, _, event = heapq.heappop(self._events)
            self._dispatch(event)
        return True

    def call_at_step(self, number: int, call: Callable[[], None]) -> None:
        """Make a call right after so many messages were handled and syncs done."""
        self._calls_at_step[number] = call

    def count_step(self, machine: Machine) -> None:
        """A message was handled or a sync done on a machine. Raises ProcessEnded where that has ended its process."""
        self.steps += 1
        call = self._calls_at_step.pop(self.steps, None)
        if call is not None:
            incarnation = machine.incarnation
            call()
            if machine.incarnation != incarnation:
                raise ProcessEnded

    def partition(self, one: str, other: str, both_ways: bool = True) -> None:
        """Nothing passes from one to the other any more."""
        self.partitions.add((one, other))
        if both_ways:
            self.partitions.add((other, one))

    def heal(self) -> None:
        """All links pass again."""
        self.partitions.clear()

    def deliver(self, source: str, target: str, message: Message) -> None:
        """Carry a message over the link, in order, unless it is lost."""
        if (source, target) in self.partitions or self.random.random() < self.loss:
            return
        link = (source, target)
        payload = encode(message)
        machine, sender = self.machine(target), self.machine(source)
        begun = max(self.time, sender.frozen_until)
        if speed := min(machine.bytes_per_s, sender.bytes_per_s):
            begun = max(begun, self._wire_free_at.get(link, 0.0)) + len(payload) / speed
            self._wire_free_at[link] = begun
        arrival = max(begun + self.delay_s * self.random.uniform(0.7, 1.5), self._last_arrival.get(link, 0.0))
        self._last_arrival[link] = arrival
        incarnation = machine.incarnation
        self.call_at(arrival, lambda: machine.on_arrival(incarnation, source, target, payload), machine)

    def _dispatch(self, event: Event) -> None:
        if event.call is None:
            return
        if event.owner is not None and event.owner.frozen_until > self.time:
            self.call_at(event.owner.frozen_until, event.call, event.owner)
            return
        with contextlib.suppress(ProcessEnded):
            event.call()


class Machine:
    """One machine: its files outlast its processes; a process is whatever ``receive`` was set to."""

    def __init__(self, world: World, address: str) -> None:
        self.world = world
        self.address = address
        self.files = SimulatedFiles(self)
        self.receive: Callable[[Message], None] | None = None
        self.incarnation = 0
        self.frozen_until = 0.0
        self.bytes_per_s = float("inf")  # of its links
        self.sync_s = 0.0  # of one sync; the process stands still meanwhile
        self.synced_at = 0.0  # when its last sync is done
        self.clock_step_s = 0.0  # of its time of day

    def clock(self) -> MachineClock:
        """The clock of the machine's present process."""
        return MachineClock(self)

    def network(self) -> MachineNetwork:
        """The network of the machine's present process."""
        return MachineNetwork(self)

    def on_arrival(self, incarnation: int, source: str, target: str, payload: bytes) -> None:
        """A message comes in, unless its process has ended or the link was cut meanwhile."""
        if (
            incarnation == self.incarnation
            and self.receive is not None
            and (source, target) not in self.world.partitions
        ):
            self.receive(decode(payload))
            self.world.count_step(self)

    def kill(self, power: bool = False, wipe: bool = False) -> None:
        """End the process, with the machine's power or its disk too."""
        self.incarnation += 1
        self.receive = None
        if power:
            self.files.lose_power(self.world.random)
        if wipe:
            self.files = SimulatedFiles(self)

    def sync(self, times: int) -> None:
        """Wait for the disk."""
        if self.sync_s:
            begun = max(self.frozen_until, self.world.time)
            self.frozen_until = self.synced_at = begun + times * self.sync_s

    def freeze(self, seconds: float) -> None:
        """Stand still; what is due meanwhile happens at the end."""
        self.frozen_until = self.world.time + seconds


class MachineClock:
    """Steady time, counted by one process of one machine."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._incarnation = machine.incarnation

    def now(self) -> float:
        """Seconds. Within a call that has written, the time at which its syncs are done."""
        machine = self._machine
        return max(machine.world.time, machine.synced_at)

    def wall(self) -> float:
        """Unix time."""
        return START_WALL + self._machine.world.time + self._machine.clock_step_s

    def call_later(self, delay: float, call: Callable[[], None]) -> Event:
        """A call that is not made once the process has ended."""
        machine, incarnation = self._machine, self._incarnation
        return machine.world.call_at(
            self.now() + max(0.0, delay), lambda: call() if machine.incarnation == incarnation else None, machine
        )


class MachineNetwork:
    """Messages of one process."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._incarnation = machine.incarnation

    def send(self, address: str, message: Message) -> None:
        """Send, unless the process has ended."""
        if self._machine.incarnation == self._incarnation:
            self._machine.world.deliver(self._machine.address, address, message)


class SimulatedFiles:
    """Files whose writes are stable; a removal is so only once a later write has synced the folder."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._files: dict[str, bytes] = {}
        self._removed: dict[str, bytes] = {}
        self.full = False

    def check_space(self) -> None:
        """Raises OSError where the disk is full."""
        if self.full:
            raise OSError(28, "No space left on device")

    def write(self, name: str, content: bytes) -> None:
        """Store a file. Raises OSError where the disk is full."""
        self.write_all({name: content})

    def write_all(self, contents: dict[str, bytes]) -> None:
        """Store several files, one after the other. Raises OSError where the disk is full."""
        self.check_space()
        self._machine.sync(len(contents) + 1)
        for name, content in contents.items():
            self._files[name] = content
            self._removed.clear()
            self._machine.world.count_step(self._machine)

    def corrupt(self, name: str, random: Random) -> None:
        """Change one byte of a file."""
        content = bytearray(self._files[name])
        content[random.randrange(len(content))] ^= 1 << random.randrange(8)
        self._files[name] = bytes(content)

    def truncate(self, name: str, random: Random) -> None:
        """Cut a file short."""
        self._files[name] = self._files[name][: random.randrange(len(self._files[name]))]

    def create(self, name: str) -> SimulatedFile:
        """Begin a file."""
        return SimulatedFile(self, name)

    def read(self, name: str) -> bytes | None:
        """A file's content."""
        return self._files.get(name)

    def names(self) -> list[str]:
        """All files."""
        return sorted(self._files)

    def remove(self, name: str) -> None:
        """Take a file away; a loss of power may bring it back."""
        if name in self._files:
            self._removed[name] = self._files.pop(name)

    def lose_power(self, random: Random) -> None:
        """Each removal that was not synced may be undone."""
        for name, content in self._removed.items():
            if random.random() < 0.5:
                self._files.setdefault(name, content)
        self._removed.clear()


class SimulatedFile:
    """A file that is written in pieces."""

    def __init__(self, files: SimulatedFiles, name: str) -> None:
        self._files = files
        self._name = name
        self._content = bytearray()

    def append(self, content: bytes) -> None:
        """Add a piece. Raises OSError where the disk is full."""
        self._files.check_space()
        self._content += content

    def finish(self) -> None:
        """Store it. Raises OSError where the disk is full."""
        self._files.write(self._name, bytes(self._content))

    def discard(self) -> None:
        """Leave nothing behind."""
        self._content.clear()
