"""A simulated machine: the clock, network and files of its current process, and its scheduled events."""

from __future__ import annotations

from collections.abc import Callable, Hashable
from math import floor
from typing import TYPE_CHECKING

from attrs import frozen

from lab.tier.simulated_files import SimulatedFiles
from lynxscale.coordination.messages import Message, decode
from lynxscale.coordination.ports import Result

if TYPE_CHECKING:
    from lab.tier.world import World

COMPUTE_S = 0.3  # duration of a computation of the worker: nearly a lease
QUOTA_MARGIN_S = 1e-6  # each period begins later by this: a postponed event is in the next period, in spite of rounding
START_UNIX_TIME_S = 1_800_000_000.0
"""Unix time at the start of a simulation, in seconds."""


class ProcessEnded(BaseException):
    """The running process ends now: unwinds the call in progress."""


class Event:
    """A scheduled call that can be cancelled. Implements the Timer port.

    ``stream``: the connection or link on which it arrives; events of one stream keep their order. None for a timer.
    ``order``: the time for which it was scheduled, and its number; events that are postponed keep this order.
    """

    __slots__ = ("call", "order", "owner", "stream")

    def __init__(
        self,
        call: Callable[[], object],
        owner: Machine | None,
        stream: Hashable | None,
        order: tuple[float, int],
    ) -> None:
        self.call: Callable[[], object] | None = call
        self.owner = owner
        self.stream = stream
        self.order = order

    def cancel(self) -> None:
        """Cancel the call."""
        self.call = None


@frozen
class ProcessorQuota:
    """Limits a process to a share of each period: it runs at full speed first, then not at all until the period ends.

    ``share`` and ``phase`` are fractions of the period; the periods of this machine begin later by ``phase``.
    """

    share: float
    phase: float = 0.0
    period_s: float = 0.1

    def runs_at(self, time: float) -> float:
        """The earliest time, not before ``time``, at which the process runs."""
        periods = time / self.period_s - self.phase
        current_period = floor(periods)
        begin = self._begin(current_period)
        if time < begin:
            return begin  # otherwise it would overtake the events that are postponed until then
        if periods - current_period < self.share:
            return time
        return self._begin(current_period + 1)

    def _begin(self, period: int) -> float:
        """When the process begins to run in a period: bit for bit the same for all events, so they keep their order."""
        return (period + self.phase) * self.period_s + QUOTA_MARGIN_S


class Machine:
    """One machine. Its files outlive its processes. ``receive`` is the message handler of its current process."""

    def __init__(self, world: World, address: str) -> None:
        self.world = world
        self.address = address
        self.files = SimulatedFiles(self)
        self.receive: Callable[[Message], object] | None = None
        self.incarnation = 0  # number of the current process
        self.frozen_until = 0.0
        self.bytes_per_s = float("inf")  # bandwidth of its links
        self.quota: ProcessorQuota | None = None
        self.sync_s = 0.0  # duration of one sync, which blocks the process
        self.synced_at = 0.0  # when its latest sync completes
        self.clock_step_s = 0.0  # added to its Unix time

    def clock(self) -> MachineClock:
        """The clock of the machine's current process."""
        return MachineClock(self)

    def worker(self) -> MachineWorker:
        """The worker of the machine's current process."""
        return MachineWorker(self)

    def network(self) -> MachineNetwork:
        """The network of the machine's current process."""
        return MachineNetwork(self)

    def on_arrival(self, incarnation: int, source: str, target: str, payload: bytes) -> None:
        """Handle a message, unless the receiving process has ended or is partitioned from the sender by now."""
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
        """Block the process for ``times`` syncs of the disk."""
        if self.sync_s:
            started_at = max(self.frozen_until, self.world.time)
            self.frozen_until = self.synced_at = started_at + times * self.sync_s

    def runs_at(self, time: float) -> float:
        """The earliest time, not before ``time``, at which the process may run."""
        resumes_at = max(time, self.frozen_until)
        return resumes_at if self.quota is None else self.quota.runs_at(resumes_at)

    def freeze(self, seconds: float) -> None:
        """Suspend the process; events that become due meanwhile run when it resumes. Never shortens another freeze."""
        self.frozen_until = max(self.frozen_until, self.world.time + seconds)


class MachineClock:
    """Implements the Clock port for one process of one machine."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._incarnation = machine.incarnation

    def now(self) -> float:
        """Monotonic time in seconds. Within a call that has written files, the time at which its syncs complete."""
        machine = self._machine
        return max(machine.world.time, machine.synced_at)

    def wall(self) -> float:
        """Unix time in seconds."""
        return START_UNIX_TIME_S + self._machine.world.time + self._machine.clock_step_s

    def call_later(self, delay: float, call: Callable[[], None]) -> Event:
        """Schedule a call; it is dropped if the process ends first."""
        machine, incarnation = self._machine, self._incarnation

        def call_if_alive() -> None:
            if machine.incarnation == incarnation:
                call()

        return machine.world.call_at(self.now() + max(0.0, delay), call_if_alive, machine)


class MachineWorker:
    """Implements the Worker port for one process of one machine: each computation takes ``COMPUTE_S``."""

    def __init__(self, machine: Machine) -> None:
        self._clock = machine.clock()
        self._busy_until = 0.0

    def run(self, compute: Callable[[], Result], on_result: Callable[[Result], None]) -> None:
        """Part of Worker."""
        self._busy_until = max(self._busy_until, self._clock.now()) + COMPUTE_S
        result = compute()
        self._clock.call_later(self._busy_until - self._clock.now(), lambda: on_result(result))


class MachineNetwork:
    """Implements the Network port for one process of one machine."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._incarnation = machine.incarnation

    def connection_id(self, address: str) -> int:
        """The number of the process at an address, as a connection ends with it."""
        return self._machine.world.machine(address).incarnation + 1

    def send(self, address: str, message: Message) -> None:
        """Send a message, unless the process has ended."""
        if self._machine.incarnation == self._incarnation:
            self._machine.world.deliver(self._machine.address, address, message)
