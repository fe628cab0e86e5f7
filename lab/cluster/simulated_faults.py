"""Random faults of a simulated cluster, drawn from its own generator."""

from __future__ import annotations

from collections.abc import Callable

from lab.cluster.world import DISK_WRITE_US, SECOND, Machine, World

DURATIONS_S = (0.3, 1, 3, 7)
DURATION_FACTORS = (0.7, 1.4)
PAUSE_FACTORS = (0.3, 1.5)  # of a fault's duration, until the next fault begins
SLOW_SYNCS_S = (0.3, 1.0, 2.0)
LOSSES = (0.1, 0.3, 0.6)
STATE_LOSS_INTERVAL_S = 14  # after a lost or older disk, until the next one
KINDS = (
    "kill", "kill", "pause", "leave", "cut", "one_way", "halves", "ring", "loss", "all", "forget", "older", "bridge",
    "disk",
)  # fmt: skip


class FaultSchedule:
    """Schedules faults: kills, pauses, partitions of several shapes, loss, slow disks, and durable state that is lost
    or rolled back. Times are in simulated microseconds."""

    def __init__(self, world: World) -> None:
        self._world = world
        self._random = world.rng
        self._names = world.names
        self._max_targets = max(1, (len(world.names) - 1) // 2)
        self._state_loss_allowed_at = world.now

    def inject(self, seconds: int) -> None:
        """Schedule faults that begin within so many seconds from now."""
        at = self._world.now
        end = at + seconds * SECOND
        while at < end:
            duration = int(self._random.choice(DURATIONS_S) * self._random.uniform(*DURATION_FACTORS) * SECOND)
            target = self._random.choice(self._names)
            self._schedule(self._random.choice(KINDS), target, at, duration)
            at += int(duration * self._random.uniform(*PAUSE_FACTORS))

    def _schedule(self, kind: str, target: str, at: int, duration: int) -> None:
        if kind in ("kill", "pause", "leave"):
            self._stop_some(kind, at, duration)
        elif kind == "all":
            self._kill_all(at, duration)
        elif kind in ("forget", "older"):
            self._lose_disk(kind, target, at, duration)
        elif kind == "disk":
            self._slow_disks(at, duration)
        elif kind == "loss":
            self._lose_messages(at, duration)
        else:
            self._partition(kind, target, at, duration)

    def _stop_some(self, kind: str, at: int, duration: int) -> None:
        world = self._world
        stop: dict[str, Callable[[str], None]] = {"kill": world.kill, "pause": world.pause, "leave": world.leave}
        for name in self._random.sample(self._names, self._random.randint(1, self._max_targets)):
            world.at(at, stop[kind], name)
            world.at(at + duration, world.resume if kind == "pause" else world.start, name)

    def _kill_all(self, at: int, duration: int) -> None:
        for name in self._names:
            self._world.at(at, self._world.kill, name)
            self._world.at(at + self._random.randrange(1, duration + 2), self._world.start, name)

    def _lose_disk(self, kind: str, target: str, at: int, duration: int) -> None:
        if at >= self._state_loss_allowed_at:
            self._state_loss_allowed_at = at + duration + STATE_LOSS_INTERVAL_S * SECOND
            self._world.at(at, lose_state, self._world, self._world.machines[target], kind, duration)

    def _slow_disks(self, at: int, duration: int) -> None:
        sync = self._random.choice(SLOW_SYNCS_S) * SECOND
        self._world.at(at, setattr, self._world, "disk_us", (int(0.9 * sync), int(1.1 * sync)))
        self._world.at(at + duration, setattr, self._world, "disk_us", DISK_WRITE_US)

    def _lose_messages(self, at: int, duration: int) -> None:
        for link in self._world.network.values():
            self._world.at(at, setattr, link, "loss", self._random.choice(LOSSES))
            self._world.at(at + duration, setattr, link, "loss", 0.0)

    def _partition(self, kind: str, target: str, at: int, duration: int) -> None:
        half = set(self._random.sample(self._names, (len(self._names) + 1) // 2))
        pairs = [pair for pair in self._world.network if self._is_cut(kind, target, half, *pair)]
        self._world.at(at, self._cut, pairs, True)
        self._world.at(at + duration, self._cut, pairs, False)

    def _is_cut(self, kind: str, target: str, half: set[str], sender: str, receiver: str) -> bool:
        """Whether a partition cuts the link from one node to another; ``half``: half of the nodes."""
        between_halves = (sender in half) != (receiver in half)
        if kind == "cut":
            return target in (sender, receiver)
        if kind == "one_way":
            return sender == target and receiver != self._names[0]
        if kind == "halves":
            return between_halves
        if kind == "bridge":
            return target not in (sender, receiver) and between_halves
        distance = (self._names.index(sender) - self._names.index(receiver)) % len(self._names)
        return distance not in (1, len(self._names) - 1)

    def _cut(self, pairs: list[tuple[str, str]], cut: bool) -> None:
        for pair in pairs:
            self._world.network[pair].cut = cut


def lose_state(world: World, machine: Machine, kind: str, duration: int) -> None:
    """Lose the disk now, or (``older``) run on for the duration and then restore the disk's present content.

    The process is killed. The disk stays as it is if no majority of other nodes has its state.
    """
    copy = machine.disk if kind == "older" else None

    def restore() -> None:
        world.kill(machine.name)
        if majority_has_state(world, machine.name):
            machine.disk = copy
        if kind == "older":
            world.start(machine.name)
        else:
            world.at(world.now + duration, world.start, machine.name)

    world.at(world.now + (duration if kind == "older" else 0), restore)


def majority_has_state(world: World, name: str) -> bool:
    """Whether a majority of the newest view, without this node, has its durable state. Without one no view can be
    decided any more; that is by design, and such histories are counted separately."""
    if not world.digests:
        return False
    names = world.digests[max(world.digests)].names
    intact = [
        one
        for one in names
        if one != name
        and (disk := world.machines[one].disk) is not None
        and disk[1] is not None
        and disk[1].votes
        and disk[1].view is not None
    ]
    return 2 * len(intact) > len(names)
