"""A simulated machine: the clock, the network and the files of its present process, and the events that it owns."""

from __future__ import annotations

from collections.abc import Callable
from math import floor
from typing import TYPE_CHECKING

from attrs import frozen

from lab.tier.simulated_files import SimulatedFiles
from lynxscale.coordination.messages import Message, decode

if TYPE_CHECKING:
    from lab.tier.world import World

QUOTA_MARGIN_S = 1e-6  # so that an event that was put off is not, by rounding, within the same period again
START_WALL = 1_800_000_000.0
"""Unix time at the start of a simulation, in seconds."""


class ProcessEnded(BaseException):
    """The running process ends at this instant; nothing of what it was doing goes on."""


class Event:
    """A scheduled call that can be cancelled. Implements the Timer port."""

    __slots__ = ("call", "owner")

    def __init__(self, call: Callable[[], object], owner: Machine | None) -> None:
        self.call: Callable[[], object] | None = call
        self.owner = owner

    def cancel(self) -> None:
        """Drop the call."""
        self.call = None


@frozen
class ProcessorQuota:
    """A process runs at full speed for a share of each period, and not at all for the rest of it.

    ``share``: of the period; ``phase``: of it, by which the periods of this machine begin later.
    """

    share: float
    phase: float = 0.0
    period_s: float = 0.1

    def runs_at(self, time: float) -> float:
        """The first time from then on at which it runs."""
        periods = time / self.period_s - self.phase
        begun = floor(periods)
        if periods - begun < self.share:
            return time
        # The same to the last bit for all that was put off within this period: their order stays.
        return (begun + 1 + self.phase) * self.period_s + QUOTA_MARGIN_S


class Machine:
    """One machine: its files outlast its processes. ``receive`` is the message handler of its present process."""

    def __init__(self, world: World, address: str) -> None:
        self.world = world
        self.address = address
        self.files = SimulatedFiles(self)
        self.receive: Callable[[Message], object] | None = None
        self.incarnation = 0  # of its process
        self.frozen_until = 0.0
        self.bytes_per_s = float("inf")  # of its links
        self.quota: ProcessorQuota | None = None
        self.sync_s = 0.0  # of one sync, for which the process blocks
        self.synced_at = 0.0  # when its last sync is done
        self.clock_step_s = 0.0  # of its Unix time

    def clock(self) -> MachineClock:
        """The clock of the machine's present process."""
        return MachineClock(self)

    def network(self) -> MachineNetwork:
        """The network of the machine's present process."""
        return MachineNetwork(self)

    def on_arrival(self, incarnation: int, source: str, target: str, payload: bytes) -> None:
        """A message arrives, unless its receiver has ended or been partitioned from the sender meanwhile."""
        if incarnation != self.incarnation or (source, target) in self.world.partitions:
            return
        if self.receive is not None:
            self.receive(decode(payload))
            self.world.count_step(self)

    def kill(self, power: bool = False, wipe: bool = False) -> None:
        """End the process; ``power``: the machine's power fails too, ``wipe``: its disk is lost."""
        self.incarnation += 1
        self.receive = None
        if power:
            self.files.lose_power(self.world.random)
        if wipe:
            self.files = SimulatedFiles(self)

    def sync(self, times: int) -> None:
        """Block for so many syncs of the disk."""
        if self.sync_s:
            begun = max(self.frozen_until, self.world.time)
            self.frozen_until = self.synced_at = begun + times * self.sync_s

    def runs_at(self, time: float) -> float:
        """The first time from then on at which its process may run."""
        thawed = max(time, self.frozen_until)
        return thawed if self.quota is None else self.quota.runs_at(thawed)

    def freeze(self, seconds: float) -> None:
        """Suspend the process; events due meanwhile happen at the end."""
        self.frozen_until = self.world.time + seconds


class MachineClock:
    """Implements the Clock port for one process of one machine."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._incarnation = machine.incarnation

    def now(self) -> float:
        """Steady time in seconds. Within a call that has written, the time at which its syncs are done."""
        machine = self._machine
        return max(machine.world.time, machine.synced_at)

    def wall(self) -> float:
        """Unix time in seconds."""
        return START_WALL + self._machine.world.time + self._machine.clock_step_s

    def call_later(self, delay: float, call: Callable[[], None]) -> Event:
        """Schedule a call, which is dropped should the process end first."""
        machine, incarnation = self._machine, self._incarnation

        def call_if_alive() -> None:
            if machine.incarnation == incarnation:
                call()

        return machine.world.call_at(self.now() + max(0.0, delay), call_if_alive, machine)


class MachineNetwork:
    """Implements the Network port for one process of one machine."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._incarnation = machine.incarnation

    def send(self, address: str, message: Message) -> None:
        """Send, unless the process has ended."""
        if self._machine.incarnation == self._incarnation:
            self._machine.world.deliver(self._machine.address, address, message)
