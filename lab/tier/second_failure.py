"""A further loss in every instant of a repair, a replacement, a retirement, an addition or a rolling restart.

Each change of the group is played once without a further loss, to count its instants: every message handled and every
sync done. Then it is played again for each instant and each member, which loses its power or its disk right there.
Judged: nothing acknowledged is lost, and the group has a primary that commits as soon as the tolerance allows it.

``python -m lab.tier.second_failure [EVERY]``: every instant, or each EVERYth.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass

from lab.tier.control_group import ControlGroup
from lab.tier.world import World
from lynxscale.coordination.messages import address_of

NEWCOMER = "10.0.0.90:7000"
BEFORE_S, CHANGE_S, RECOVERY_S = 1.0, 1.6, 12.0
WRITES = 12
RESTART_S = 0.5


@dataclass(frozen=True)
class Size:
    """A group's members at its start, those that have joined since, and how many may be lost at once."""

    founders: int
    spares: int
    tolerated: int

    @property
    def replaceable(self) -> bool:
        """May one go for good, and enough for the tolerance remain?"""
        return self.founders + self.spares > 2 * self.tolerated + 1


@dataclass(frozen=True)
class Change:
    """What the operators do to a group. ``lost``: machines that are gone by it, and count until they are replaced."""

    name: str
    begin: Callable[[ControlGroup], None]
    lost: int = 0
    takes_one: bool = False  # for good, without a machine that comes for it

    def lost_in(self, size: Size) -> int:
        """Machines that are gone by it in a group of that size: one that leaves counts where nobody takes its place."""
        return self.lost + (self.takes_one and not size.replaceable)


@dataclass(frozen=True)
class Loss:
    """Which member is lost, counted from the primary of the start, with its disk or not, and in which instant."""

    step: int
    place: int
    wipe: bool


@dataclass
class Played:
    """One play. ``problem`` is empty where all held."""

    steps: int
    problem: str


SIZES = (Size(3, 0, 1), Size(3, 1, 1), Size(4, 1, 1), Size(5, 0, 2), Size(5, 2, 2))


def leave(place: int) -> Callable[[ControlGroup], None]:
    """The member at a place, 0 for the primary, is asked to stop and does not come back."""

    def begin(group: ControlGroup) -> None:
        group.leave(members_by_place(group)[place])

    return begin


def restart(place: int) -> Callable[[ControlGroup], None]:
    """The member at a place is asked to stop, and starts again."""

    def begin(group: ControlGroup) -> None:
        address = members_by_place(group)[place]
        group.leave(
            address, then=lambda: group.world.call_at(group.world.time + RESTART_S, lambda: group.start(address))
        )

    return begin


def replace(place: int) -> Callable[[ControlGroup], None]:
    """The member at a place is gone with its disk; an empty one comes at another address."""

    def begin(group: ControlGroup) -> None:
        group.kill(members_by_place(group)[place], power=True, wipe=True)
        group.world.call_at(group.world.time + 0.3, lambda: group.start(NEWCOMER))

    return begin


def replace_as_planned(group: ControlGroup) -> None:
    """An empty member comes, then a backup is asked to stop for good."""
    backup = members_by_place(group)[1]
    group.start(NEWCOMER)
    group.world.call_at(group.world.time + 0.3, lambda: group.leave(backup) if backup in group.members else None)


def wipe(place: int) -> Callable[[ControlGroup], None]:
    """The member at a place comes back without its disk."""

    def begin(group: ControlGroup) -> None:
        address = members_by_place(group)[place]
        group.kill(address, power=True, wipe=True)
        group.world.call_at(group.world.time + 0.3, lambda: group.start(address))

    return begin


def retire(group: ControlGroup) -> None:
    """A backup's machine is to be emptied."""
    node = f"node-{members_by_place(group)[1]}"
    for member in group.members.values():
        member.retiring = frozenset({node})
    group.retiring = frozenset({node})


def add(group: ControlGroup) -> None:
    """An empty member is added."""
    group.start(NEWCOMER)


CHANGES = (
    Change("primary leaves", leave(0), takes_one=True),
    Change("backup leaves", leave(1), takes_one=True),
    Change("primary restarts", restart(0), lost=1),
    Change("backup restarts", restart(1), lost=1),
    Change("primary is replaced", replace(0), lost=1),
    Change("backup is replaced", replace(1), lost=1),
    Change("backup is replaced as planned", replace_as_planned),
    Change("primary comes back empty", wipe(0), lost=1),
    Change("backup comes back empty", wipe(1), lost=1),
    Change("backup is retired", retire),
    Change("member is added", add),
)


def members_by_place(group: ControlGroup) -> list[str]:
    """Addresses of the present voters, the primary first."""
    leader = group.wait_for_leader()
    voters = [address_of(one) for one in leader.record.voters]
    own = address_of(leader.member_id)
    return [own, *(one for one in voters if one != own and one in group.members)]


class Play:
    """One group through one change, with one further loss or none."""

    def __init__(self, size: Size, change: Change, loss: Loss | None, seed: int) -> None:
        self.group = ControlGroup(World(seed), size.founders, size.tolerated)
        self.world = self.group.world
        self.change = change
        self.size = size
        self.loss = loss
        self.acknowledged: dict[str, int] = {}
        self._victim = ""
        self._number = 0

    def run(self) -> Played:
        """Play it."""
        self._prepare()
        places = members_by_place(self.group)
        first = self.world.steps
        if self.loss is not None:
            self._victim = places[self.loss.place]
            self.world.call_at_step(first + self.loss.step, self._lose)
        for number in range(WRITES):
            self.world.call_at(self.world.time + number * CHANGE_S / WRITES, self._write)
        self.change.begin(self.group)
        self.world.run(self.world.time + CHANGE_S)
        steps = self.world.steps - first
        if self.loss is not None and self.loss.step > steps:
            return Played(steps, "")
        return Played(steps, self._problem())

    def _prepare(self) -> None:
        self.group.start_all()
        for number in range(self.size.spares):
            self.group.start(f"10.0.0.{80 + number}:7000")
        assert self.group.put("first", 0)
        self.acknowledged["first"] = 0
        self.world.run(self.world.time + BEFORE_S)

    def _write(self) -> None:
        self._number += 1
        key, value = f"k{self._number % 3}", self._number
        for leader in self.group.leaders():
            self.group.submit(leader, key, value, lambda committed: self._written(key, value, committed))

    def _written(self, key: str, value: int, committed: bool) -> None:
        if committed:
            self.acknowledged[key] = max(value, self.acknowledged.get(key, 0))

    def _lose(self) -> None:
        self.group.kill(self._victim, power=True, wipe=self.loss.wipe)

    def _problem(self) -> str:
        if not self._recovers():
            return "no primary that commits"
        for key, value in self.acknowledged.items():
            held = self.group.value(key)
            if held is None or held < value:
                return f"{key} is {held}, {value} was acknowledged"
        return ""

    def _recovers(self) -> bool:
        """Alone while that is within the tolerance; else once the further loss is back with its disk."""
        within = self.loss is None or self.change.lost_in(self.size) + 1 <= self.size.tolerated
        if not within and not self.loss.wipe and self._victim not in self.group.members:
            self.group.start(self._victim)
        if not within and self.loss.wipe:
            return self._writes_or_rests()
        return self._commits()

    def _writes_or_rests(self) -> bool:
        """Two disks are gone where one is tolerated: it may rest for good, but must not show an older state."""
        if not self._commits():
            self.acknowledged.clear()
        return True

    def _commits(self) -> bool:
        try:
            return self.group.put("last", 1, within=RECOVERY_S)
        except AssertionError:
            return False


def losses(size: Size, change: Change, steps: int, every: int) -> Iterator[Loss]:
    """All further losses to be played."""
    for step in range(1, steps + 1, every):
        for place in range(min(3, size.founders)):
            for wiped in (False, True):
                beyond = change.lost_in(size) + 1 > size.tolerated
                if not (wiped and beyond):
                    yield Loss(step, place, wiped)


def problems(size: Size, change: Change, every: int = 1, seed: int = 1) -> Iterator[str]:
    """Every play of a change that breaks what must hold; the last line counts the plays."""
    quiet = Play(size, change, None, seed).run()
    if quiet.problem:
        yield f"{size} {change.name}, no further loss: {quiet.problem}"
    for loss in losses(size, change, quiet.steps, every):
        played = Play(size, change, loss, seed).run()
        if played.problem:
            yield f"{size} {change.name}, {loss}: {played.problem}"


def main() -> int:
    """Exit code 1 where anything was lost or the group did not go on."""
    logging.disable(logging.CRITICAL)
    every = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    found = 0
    for size in SIZES:
        for change in CHANGES:
            broken = list(problems(size, change, every))
            found += len(broken)
            for line in broken[:5]:
                print(line, flush=True)
            print(f"{size} {change.name}: {len(broken)} problems", flush=True)
    return int(found > 0)


if __name__ == "__main__":
    sys.exit(main())
