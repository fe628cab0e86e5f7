"""A second failure at every step of a repair, a replacement, a retirement, an addition or a rolling restart.

Each change of the group is run once without a failure, to count its steps: messages handled and syncs done. Then it
is run again for each step and each member, which loses its power or its disk at that step. No acknowledged write may be
lost, and the group must have a primary that commits as soon as the number of failures allows it.

There are single changes and pairs of overlapping changes (``TWO_CHANGES``). Two writers write the same keys meanwhile.
Where backups die and keep their disks, the members that died, by the change and by the second failure, then run alone:
a voter may die between its promise and its accept, and later be one half of a group whose other half went on.

``python -m lab.tier.second_failure [EVERY]`` injects failures at every step, or at each EVERYth step.
"""

from __future__ import annotations

import logging
import sys
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import msgspec

from lab.tier.control_group import ControlGroup
from lab.tier.world import World
from lynxscale.coordination.member import ControlMember
from lynxscale.coordination.messages import address_of

NEWCOMER = "10.0.0.90:7000"
WARM_UP_S, CHANGE_DURATION_S, RECOVERY_TIMEOUT_S = 1.0, 1.6, 12.0
WRITE_COUNT = 12
CONCURRENT_WRITERS = 2
RESTART_DELAY_S = 0.5
HALF_S = 2.5  # how long the members that died run alone
SECOND_NEWCOMER = "10.0.0.91:7000"
CHANGE_OFFSET_S, RETRY_INTERVAL_S = 0.06, 0.02
"""Time between the beginnings of two changes; delay until a change that found no primary is tried again."""


@dataclass(frozen=True)
class Size:
    """The size of a group: its founders, members that joined later, and how many members may be lost at a time."""

    founders: int
    spares: int
    tolerated: int

    @property
    def replaceable(self) -> bool:
        """Whether enough members remain for the tolerance after one has left permanently."""
        return self.founders + self.spares > 2 * self.tolerated + 1


@dataclass(frozen=True)
class Change:
    """A change of a group by its operators, or the death of its backups.

    ``lost_machines``: machines that it loses; they count until replaced. ``kills_tolerated``: whether as many backups
    die as are tolerated, which keep their disks.
    """

    name: str
    begin: Callable[[ControlGroup], None]
    lost_machines: int = 0
    removes_one: bool = False  # permanently, without a replacement
    kills_tolerated: bool = False

    def lost_machines_in(self, size: Size) -> int:
        """Machines lost in a group of a size; a member that leaves counts if no other can replace it."""
        if self.kills_tolerated:
            return size.tolerated
        return self.lost_machines + (self.removes_one and not size.replaceable)


@dataclass(frozen=True)
class SecondFailure:
    """The step at which a member fails, the member's rank (0: the initial primary), and whether its disk is lost."""

    step: int
    rank: int
    wipe: bool


@dataclass
class Result:
    """The result of one run. ``problem`` is empty if all checks passed."""

    steps: int
    problem: str


SIZES = (Size(3, 0, 1), Size(3, 1, 1), Size(4, 1, 1), Size(5, 0, 2), Size(5, 2, 2))


def leave(rank: int) -> Callable[[ControlGroup], None]:
    """Ask a member to stop permanently; rank 0 is the primary."""

    def begin(group: ControlGroup) -> None:
        group.leave(member_of_rank(group, rank))

    return begin


def restart(rank: int) -> Callable[[ControlGroup], None]:
    """Ask a member to stop, and start it again."""

    def begin(group: ControlGroup) -> None:
        address = member_of_rank(group, rank)
        group.leave(
            address, then=lambda: group.world.call_at(group.world.time + RESTART_DELAY_S, lambda: group.start(address))
        )

    return begin


def replace(rank: int) -> Callable[[ControlGroup], None]:
    """Lose a member with its disk, and start an empty one at another address."""

    def begin(group: ControlGroup) -> None:
        group.kill(member_of_rank(group, rank), power=True, wipe=True)
        group.world.call_at(group.world.time + 0.3, lambda: group.start(NEWCOMER))

    return begin


def replace_as_planned(group: ControlGroup) -> None:
    """Start an empty member, then ask a backup to stop permanently."""
    backup = members_by_rank(group)[1]
    group.start(NEWCOMER)
    group.world.call_at(group.world.time + 0.3, lambda: group.leave(backup) if backup in group.members else None)


def wipe(rank: int) -> Callable[[ControlGroup], None]:
    """Lose the disk of a member and start it again."""

    def begin(group: ControlGroup) -> None:
        address = member_of_rank(group, rank)
        group.kill(address, power=True, wipe=True)
        group.world.call_at(group.world.time + 0.3, lambda: group.start(address))

    return begin


def retire(group: ControlGroup) -> None:
    """Request the retirement of a backup's node."""
    node = f"node-{members_by_rank(group)[1]}"
    for member in group.members.values():
        member.retiring = frozenset({node})
    group.retiring = frozenset({node})


def kill_tolerated(group: ControlGroup) -> None:
    """Cut the power of as many backups as are tolerated."""
    for address in members_by_rank(group)[1 : 1 + group.tolerated]:
        group.kill(address, power=True)


def add(group: ControlGroup) -> None:
    """Add an empty member."""
    group.start(NEWCOMER)


BACKUPS_DIE = Change("backups die", kill_tolerated, kills_tolerated=True)
CHANGES = (
    Change("primary leaves", leave(0), removes_one=True),
    Change("backup leaves", leave(1), removes_one=True),
    Change("primary restarts", restart(0), lost_machines=1),
    Change("backup restarts", restart(1), lost_machines=1),
    Change("primary is replaced", replace(0), lost_machines=1),
    Change("backup is replaced", replace(1), lost_machines=1),
    Change("backup is replaced as planned", replace_as_planned),
    Change("primary comes back empty", wipe(0), lost_machines=1),
    Change("backup comes back empty", wipe(1), lost_machines=1),
    Change("backup is retired", retire),
    Change("member is added", add),
    BACKUPS_DIE,
)


def add_another(group: ControlGroup) -> None:
    """Add a second empty member."""
    group.start(SECOND_NEWCOMER)


def transfer(group: ControlGroup) -> None:
    """Transfer the leadership; the former primary remains a member."""
    leader = group.wait_for_leader()
    leader._transfer_leadership()


def overlapping(*changes: Callable[[ControlGroup], None]) -> Callable[[ControlGroup], None]:
    """Begin several changes shortly after each other, so that they overlap."""

    def begin(group: ControlGroup) -> None:
        for number, change in enumerate(changes):
            group.world.call_at(
                group.world.time + number * CHANGE_OFFSET_S, lambda change=change: _begin_if_led(group, change)
            )

    return begin


def _begin_if_led(group: ControlGroup, change: Callable[[ControlGroup], None]) -> None:
    """Begin a change, as soon as the group has a primary."""
    if group.leaders():
        change(group)
    else:
        group.world.call_at(group.world.time + RETRY_INTERVAL_S, lambda: _begin_if_led(group, change))


TWO_CHANGES = (
    Change("backup leaves during a retirement", overlapping(retire, leave(2)), lost_machines=1, removes_one=True),
    Change("primary leaves during a retirement", overlapping(retire, leave(0)), lost_machines=1, removes_one=True),
    Change("backup restarts during a retirement", overlapping(retire, restart(2)), lost_machines=1),
    Change("backup is replaced during an addition", overlapping(add_another, replace(1)), lost_machines=1),
    Change("primary is replaced during an addition", overlapping(add_another, replace(0)), lost_machines=1),
    Change("two members are added", overlapping(add, add_another)),
    Change("leadership moves during a retirement", overlapping(retire, transfer)),
    Change("leadership moves during an addition", overlapping(add, transfer)),
    Change("leadership moves during a leave", overlapping(leave(1), transfer), removes_one=True),
    Change("leadership moves during a replacement", overlapping(replace_as_planned, transfer)),
    Change("leadership moves twice", overlapping(transfer, transfer)),
)


def member_of_rank(group: ControlGroup, rank: int) -> str:
    """The address of the present voter of a rank, 0 for the primary; of the last voter if there are fewer."""
    ranked = members_by_rank(group)
    return ranked[min(rank, len(ranked) - 1)]


def members_by_rank(group: ControlGroup) -> list[str]:
    """The addresses of the present voters, the primary first."""
    leader = group.wait_for_leader()
    voters = [address_of(voter) for voter in leader.record.voters]
    primary = address_of(leader.member_id)
    return [primary, *(address for address in voters if address != primary and address in group.members)]


class Run:
    """Runs one change of one group, with a second failure or without."""

    def __init__(self, size: Size, change: Change, failure: SecondFailure | None, seed: int) -> None:
        self.group = ControlGroup(World(seed), size.founders, size.tolerated)
        self.world = self.group.world
        self.change = change
        self.size = size
        self.failure = failure
        self.acknowledged: dict[str, int] = {}
        self._failed_member = ""
        self._write_number = 0

    def run(self) -> Result:
        """Run the change and check the group."""
        self._prepare()
        ranked = members_by_rank(self.group)
        present = set(self.group.members)
        steps_before = self.world.steps
        if self.failure is not None:
            self._failed_member = ranked[self.failure.rank]
            self.world.call_at_step(steps_before + self.failure.step, self._inject_failure)
        self._schedule_writes(CHANGE_DURATION_S)
        self.change.begin(self.group)
        self.world.run(self.world.time + CHANGE_DURATION_S)
        steps = self.world.steps - steps_before
        if self.failure is not None and self.failure.step > steps:
            return Result(steps, "")
        problem = ""
        if self.failure is not None and self.change.kills_tolerated:
            problem = self._run_alone(present - set(self.group.members))
        return Result(steps, problem or self._find_problem())

    def _run_alone(self, dead: set[str]) -> str:
        """Cut the power of the members that run, let those that died run alone, and then start all.

        Returns what the latter showed that is older than what was acknowledged.
        """
        others = set(self.group.members)
        for address in sorted(others):
            self.group.kill(address, power=True)
        for address in sorted(dead):
            self.group.start(address)
        self._schedule_writes(HALF_S)
        self.world.run(self.world.time + HALF_S)
        problems = [self._older_value(leader) for leader in self.group.leaders()]
        for address in sorted(others):
            self.group.start(address)
        return "".join(problems)

    def _schedule_writes(self, seconds: float) -> None:
        for number in range(WRITE_COUNT):
            self.world.call_at(self.world.time + number * seconds / WRITE_COUNT, self._write)

    def _prepare(self) -> None:
        self.group.start_all()
        for number in range(self.size.spares):
            self.group.start(f"10.0.0.{80 + number}:7000")
        assert self.group.put("first", 0)
        self.acknowledged["first"] = 0
        self.world.run(self.world.time + WARM_UP_S)

    def _write(self) -> None:
        self._write_number += 1
        key, value = f"k{self._write_number % 3}", self._write_number
        for leader in self.group.leaders():
            for _ in range(CONCURRENT_WRITERS):  # both write the same value: the acknowledgement of one holds for both
                self.group.submit(leader, key, value, lambda committed: self._written(key, value, committed))

    def _written(self, key: str, value: int, committed: bool) -> None:
        if committed:
            self.acknowledged[key] = max(value, self.acknowledged.get(key, 0))

    def _inject_failure(self) -> None:
        self.group.kill(self._failed_member, power=True, wipe=self.failure.wipe)

    def _find_problem(self) -> str:
        if not self._recovers():
            return "no primary that commits"
        return self._older_value(self.group.wait_for_leader())

    def _older_value(self, leader: ControlMember) -> str:
        """What a primary shows that is older than what was acknowledged; empty if nothing is."""
        for key, value in self.acknowledged.items():
            raw = leader.store.values.get(key)
            stored = None if raw is None else msgspec.json.decode(raw)
            if stored is None or stored < value:
                return f"{key} is {stored}, but {value} was acknowledged"
        return ""

    def _recovers(self) -> bool:
        """Whether the group commits: unaided if the losses are tolerated, else once the failed member is back."""
        is_tolerated = self.failure is None or self.change.lost_machines_in(self.size) + 1 <= self.size.tolerated
        if not is_tolerated and not self.failure.wipe and self._failed_member not in self.group.members:
            self.group.start(self._failed_member)
        if not is_tolerated and self.failure.wipe:
            return self._commits_or_stops()
        return self._commits()

    def _commits_or_stops(self) -> bool:
        """More disks are lost than tolerated: the group may stop forever, but must not go back to an older state."""
        if not self._commits():
            self.acknowledged.clear()
        return True

    def _commits(self) -> bool:
        try:
            return self.group.put("last", 1, within=RECOVERY_TIMEOUT_S)
        except AssertionError:
            return False


def second_failures(size: Size, change: Change, steps: int, every: int) -> Iterator[SecondFailure]:
    """The second failures to run: each ``every``th step, up to three members, with and without loss of the disk."""
    for step in range(1, steps + 1, every):
        for rank in range(min(3, size.founders)):
            for wipe_disk in (False, True):
                exceeds_tolerance = change.lost_machines_in(size) + 1 > size.tolerated
                if not (wipe_disk and exceeds_tolerance):
                    yield SecondFailure(step, rank, wipe_disk)


def problems(size: Size, change: Change, every: int = 1, seed: int = 1) -> Iterator[str]:
    """One line for each run of a change that fails a check."""
    baseline = Run(size, change, None, seed).run()
    if baseline.problem:
        yield f"{size} {change.name}, no second failure: {baseline.problem}"
    for failure in second_failures(size, change, baseline.steps, every):
        result = Run(size, change, failure, seed).run()
        if result.problem:
            yield f"{size} {change.name}, {failure}: {result.problem}"


def main() -> int:
    """Exit code 1 if a write was lost or a group did not recover."""
    logging.disable(logging.CRITICAL)
    every = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    problem_count = 0
    for size in SIZES:
        for change in (*CHANGES, *TWO_CHANGES):
            change_problems = list(problems(size, change, every))
            problem_count += len(change_problems)
            for line in change_problems[:5]:
                print(line, flush=True)
            print(f"{size} {change.name}: {len(change_problems)} problems", flush=True)
    return int(problem_count > 0)


if __name__ == "__main__":
    sys.exit(main())
