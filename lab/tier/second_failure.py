"""A second failure at every step of a repair, a replacement, a retirement, an addition or a rolling restart.

Each change of the group is run once without a failure, to count its steps: every message handled and every sync done.
Then it is run again for each step and each member, which loses its power or its disk at that step. Checked: nothing
acknowledged is lost, and the group has a primary that commits as soon as the tolerance allows it.

Single changes, and two of them at once (``TWO_CHANGES``), while two writers race for the same keys.

``python -m lab.tier.second_failure [EVERY]``: every step, or each EVERYth.
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
WRITERS = 2
RESTART_S = 0.5
SECOND_NEWCOMER = "10.0.0.91:7000"
OVERLAP_S, RETRY_S = 0.06, 0.02
"""Between the beginnings of two changes, and until a change that finds no primary is tried again."""


@dataclass(frozen=True)
class Size:
    """A group's members at its start, those that have joined since, and how many may be lost at once."""

    founders: int
    spares: int
    tolerated: int

    @property
    def replaceable(self) -> bool:
        """Whether enough members for the tolerance remain once one has left for good."""
        return self.founders + self.spares > 2 * self.tolerated + 1


@dataclass(frozen=True)
class Change:
    """What the operators do to a group. ``lost``: machines lost by it, which count until they are replaced."""

    name: str
    begin: Callable[[ControlGroup], None]
    lost: int = 0
    removes_one: bool = False  # for good, without a machine in its place

    def lost_in(self, size: Size) -> int:
        """Machines lost by it in a group of that size: one that leaves counts where none can replace it."""
        return self.lost + (self.removes_one and not size.replaceable)


@dataclass(frozen=True)
class SecondFailure:
    """At which step a member fails, by its index from the initial primary, with its disk or not."""

    step: int
    index: int
    wipe: bool


@dataclass
class Result:
    """Of one run. ``problem`` is empty where every check passed."""

    steps: int
    problem: str


SIZES = (Size(3, 0, 1), Size(3, 1, 1), Size(4, 1, 1), Size(5, 0, 2), Size(5, 2, 2))


def leave(index: int) -> Callable[[ControlGroup], None]:
    """The member of that index, 0 for the primary, is asked to stop and does not come back."""

    def begin(group: ControlGroup) -> None:
        group.leave(member_of_rank(group, index))

    return begin


def restart(index: int) -> Callable[[ControlGroup], None]:
    """The member of that index is asked to stop, and starts again."""

    def begin(group: ControlGroup) -> None:
        address = member_of_rank(group, index)
        group.leave(
            address, then=lambda: group.world.call_at(group.world.time + RESTART_S, lambda: group.start(address))
        )

    return begin


def replace(index: int) -> Callable[[ControlGroup], None]:
    """The member of that index is gone with its disk; an empty one comes at another address."""

    def begin(group: ControlGroup) -> None:
        group.kill(member_of_rank(group, index), power=True, wipe=True)
        group.world.call_at(group.world.time + 0.3, lambda: group.start(NEWCOMER))

    return begin


def replace_as_planned(group: ControlGroup) -> None:
    """An empty member comes, then a backup is asked to stop for good."""
    backup = members_by_rank(group)[1]
    group.start(NEWCOMER)
    group.world.call_at(group.world.time + 0.3, lambda: group.leave(backup) if backup in group.members else None)


def wipe(index: int) -> Callable[[ControlGroup], None]:
    """The member of that index comes back without its disk."""

    def begin(group: ControlGroup) -> None:
        address = member_of_rank(group, index)
        group.kill(address, power=True, wipe=True)
        group.world.call_at(group.world.time + 0.3, lambda: group.start(address))

    return begin


def retire(group: ControlGroup) -> None:
    """A backup's machine is to be emptied."""
    node = f"node-{members_by_rank(group)[1]}"
    for member in group.members.values():
        member.retiring = frozenset({node})
    group.retiring = frozenset({node})


def add(group: ControlGroup) -> None:
    """An empty member is added."""
    group.start(NEWCOMER)


CHANGES = (
    Change("primary leaves", leave(0), removes_one=True),
    Change("backup leaves", leave(1), removes_one=True),
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


def add_another(group: ControlGroup) -> None:
    """A second empty member is added."""
    group.start(SECOND_NEWCOMER)


def transfer(group: ControlGroup) -> None:
    """The primary hands its leadership over, and stays."""
    leader = group.wait_for_leader()
    leader._transfer_leadership()


def together(*changes: Callable[[ControlGroup], None]) -> Callable[[ControlGroup], None]:
    """Changes that begin one shortly after the other, each before the one before it is over."""

    def begin(group: ControlGroup) -> None:
        for number, change in enumerate(changes):
            group.world.call_at(
                group.world.time + number * OVERLAP_S, lambda change=change: _begin_if_led(group, change)
            )

    return begin


def _begin_if_led(group: ControlGroup, change: Callable[[ControlGroup], None]) -> None:
    """Begin a change; where nobody leads just then, as soon as somebody does."""
    if group.leaders():
        change(group)
    else:
        group.world.call_at(group.world.time + RETRY_S, lambda: _begin_if_led(group, change))


TWO_CHANGES = (
    Change("backup leaves during a retirement", together(retire, leave(2)), lost=1, removes_one=True),
    Change("primary leaves during a retirement", together(retire, leave(0)), lost=1, removes_one=True),
    Change("backup restarts during a retirement", together(retire, restart(2)), lost=1),
    Change("backup is replaced during an addition", together(add_another, replace(1)), lost=1),
    Change("primary is replaced during an addition", together(add_another, replace(0)), lost=1),
    Change("two members are added", together(add, add_another)),
    Change("leadership moves during a retirement", together(retire, transfer)),
    Change("leadership moves during an addition", together(add, transfer)),
    Change("leadership moves during a leave", together(leave(1), transfer), removes_one=True),
    Change("leadership moves during a replacement", together(replace_as_planned, transfer)),
    Change("leadership moves twice", together(transfer, transfer)),
)


def member_of_rank(group: ControlGroup, index: int) -> str:
    """The present voter of that index, 0 for the primary; the last one where there are fewer."""
    ranked = members_by_rank(group)
    return ranked[min(index, len(ranked) - 1)]


def members_by_rank(group: ControlGroup) -> list[str]:
    """Addresses of the present voters, the primary first."""
    leader = group.wait_for_leader()
    voters = [address_of(one) for one in leader.record.voters]
    own = address_of(leader.member_id)
    return [own, *(one for one in voters if one != own and one in group.members)]


class Run:
    """One group through one change, with a second failure or none."""

    def __init__(self, size: Size, change: Change, failure: SecondFailure | None, seed: int) -> None:
        self.group = ControlGroup(World(seed), size.founders, size.tolerated)
        self.world = self.group.world
        self.change = change
        self.size = size
        self.failure = failure
        self.acknowledged: dict[str, int] = {}
        self._victim = ""
        self._number = 0

    def run(self) -> Result:
        """Run it to its end."""
        self._prepare()
        ranked = members_by_rank(self.group)
        first = self.world.steps
        if self.failure is not None:
            self._victim = ranked[self.failure.index]
            self.world.call_at_step(first + self.failure.step, self._lose)
        for number in range(WRITES):
            self.world.call_at(self.world.time + number * CHANGE_S / WRITES, self._write)
        self.change.begin(self.group)
        self.world.run(self.world.time + CHANGE_S)
        steps = self.world.steps - first
        if self.failure is not None and self.failure.step > steps:
            return Result(steps, "")
        return Result(steps, self._problem())

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
            for _ in range(WRITERS):  # they race: what one is told of the key holds for both
                self.group.submit(leader, key, value, lambda committed: self._written(key, value, committed))

    def _written(self, key: str, value: int, committed: bool) -> None:
        if committed:
            self.acknowledged[key] = max(value, self.acknowledged.get(key, 0))

    def _lose(self) -> None:
        self.group.kill(self._victim, power=True, wipe=self.failure.wipe)

    def _problem(self) -> str:
        if not self._recovers():
            return "no primary that commits"
        for key, value in self.acknowledged.items():
            held = self.group.value(key)
            if held is None or held < value:
                return f"{key} is {held}, {value} was acknowledged"
        return ""

    def _recovers(self) -> bool:
        """Unaided while within the tolerance; else once the second failed member is back with its disk."""
        within = self.failure is None or self.change.lost_in(self.size) + 1 <= self.size.tolerated
        if not within and not self.failure.wipe and self._victim not in self.group.members:
            self.group.start(self._victim)
        if not within and self.failure.wipe:
            return self._commits_or_stops()
        return self._commits()

    def _commits_or_stops(self) -> bool:
        """Two disks are lost where one is tolerated: it may stop for good, but must not show an older state."""
        if not self._commits():
            self.acknowledged.clear()
        return True

    def _commits(self) -> bool:
        try:
            return self.group.put("last", 1, within=RECOVERY_S)
        except AssertionError:
            return False


def second_failures(size: Size, change: Change, steps: int, every: int) -> Iterator[SecondFailure]:
    """All second failures to be run."""
    for step in range(1, steps + 1, every):
        for index in range(min(3, size.founders)):
            for wiped in (False, True):
                beyond = change.lost_in(size) + 1 > size.tolerated
                if not (wiped and beyond):
                    yield SecondFailure(step, index, wiped)


def problems(size: Size, change: Change, every: int = 1, seed: int = 1) -> Iterator[str]:
    """A line for every run of a change that fails a check."""
    undisturbed = Run(size, change, None, seed).run()
    if undisturbed.problem:
        yield f"{size} {change.name}, no second failure: {undisturbed.problem}"
    for failure in second_failures(size, change, undisturbed.steps, every):
        result = Run(size, change, failure, seed).run()
        if result.problem:
            yield f"{size} {change.name}, {failure}: {result.problem}"


def main() -> int:
    """Exit code 1 where anything was lost or the group did not go on."""
    logging.disable(logging.CRITICAL)
    every = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    found = 0
    for size in SIZES:
        for change in (*CHANGES, *TWO_CHANGES):
            broken = list(problems(size, change, every))
            found += len(broken)
            for line in broken[:5]:
                print(line, flush=True)
            print(f"{size} {change.name}: {len(broken)} problems", flush=True)
    return int(found > 0)


if __name__ == "__main__":
    sys.exit(main())
