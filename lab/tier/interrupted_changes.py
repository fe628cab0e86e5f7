"""Deaths of voters between the messages of a change of voters, then each half of the group alone.

A voter dies and is to be replaced by a spare. Other voters die at drawn steps (handled messages and disk syncs), also
between a promise and the accept that follows; most return at once. What lives writes. Then all lose power, those that
had died start alone and write, and at last all run. No disk is lost, so no acknowledged write may be missing from what
a primary shows, whoever leads. ``python -m lab.tier.interrupted_changes FIRST LAST`` plays seeds; with ``--steps`` it
plays the death of a further voter at every FIRSTth step of the replacement, up to step LAST.
"""

from __future__ import annotations

import argparse
import logging
import sys
import time
from collections.abc import Iterator
from dataclasses import dataclass

from lab.tier.control_group import ControlGroup
from lab.tier.world import World
from lynxscale.coordination.member import ControlMember
from lynxscale.coordination.messages import address_of

LINK_DELAY_S = 0.0015
SYNC_CHOICES_S = (0.0, 0.0005, 0.0092)
SIZES = ((3, 1, 1), (3, 1, 2), (5, 2, 2))  # founders, tolerated losses, spares
SETTLE_S = 2.0
CHANGE_S = 1.6  # a voter counts as unresponsive after 0.32 s, and the replacement follows
HALF_S = 2.5  # how long one half of the group runs alone
COMPLETE_S = 5.0
WRITE_INTERVAL_S = 0.05
LAST_STEP = 120  # steps of the change within which a death is drawn
MAX_DEATHS = 3


@dataclass(frozen=True)
class Death:
    """A process dies ``step`` steps after the loss of the first voter; it returns at once, or only at the end."""

    step: int
    address: str
    returns: bool


class InterruptedChange:
    """One play. ``broken``: what was wrong, as text."""

    def __init__(self, seed: int, size: tuple[int, int, int], sync_s: float) -> None:
        founders, tolerated, spares = size
        self.group = ControlGroup(World(seed, delay_s=LINK_DELAY_S), founders, tolerated)
        self.world = self.group.world
        self.broken: list[str] = []
        self.steps = 0  # steps of the change
        self._acknowledged: dict[str, int] = {}
        self._write_number = 0
        spare_addresses = [f"10.0.0.{80 + number}:7000" for number in range(spares)]
        self.addresses = [*self.group.seeds, *spare_addresses]
        for address in self.addresses:
            self.world.machine(address).sync_s = sync_s
        self.group.start_all()
        self.group.wait_for_leader(20.0)
        for address in spare_addresses:
            self.group.start(address)
        self.world.run(self.world.time + SETTLE_S)
        self._watch()

    def backups(self) -> list[str]:
        """The addresses of the voters other than the primary."""
        leader = self.group.wait_for_leader()
        return [address_of(voter) for voter in leader.record.voters if voter != leader.member_id]

    def play(self, first_lost: list[str], deaths: list[Death], dead_half: set[str]) -> None:
        """Lose voters, let processes die at their steps, then run the halves alone, then all.

        ``dead_half``: the members that run alone after the others have lost power.
        """
        begin = self.world.steps
        for address in first_lost:
            self.group.kill(address)
        for death in deaths:
            self.world.call_at_step(begin + death.step, lambda death=death: self._die(death))
        self.world.run(self.world.time + CHANGE_S)
        self.steps = self.world.steps - begin
        for address in self.addresses:
            self.group.kill(address, power=True)
        for address in sorted(dead_half):
            self.group.start(address)
        self.world.run(self.world.time + HALF_S)
        for address in self.addresses:
            if address not in self.group.members:
                self.group.start(address)
        self.world.run(self.world.time + COMPLETE_S)
        if not self.group.leaders():
            self.broken.append("all run, and there is no primary")

    def _die(self, death: Death) -> None:
        if death.address not in self.group.members:
            return
        self.group.kill(death.address)
        if death.returns:
            self.world.call_at(self.world.time, lambda: self._return(death.address))

    def _return(self, address: str) -> None:
        if address not in self.group.members:
            self.group.start(address)

    def _watch(self) -> None:
        """Write through each primary and compare what it shows, again and again."""
        for leader in self.group.leaders():
            self._write_number += 1
            key = f"write{self._write_number}"
            self.group.submit(leader, key, 1, lambda committed, key=key: self._written(key, committed))
            self._read(leader)
        self.world.call_at(self.world.time + WRITE_INTERVAL_S, self._watch)

    def _written(self, key: str, committed: bool) -> None:
        if committed:
            self._acknowledged[key] = self._write_number

    def _read(self, leader: ControlMember) -> None:
        expected = list(self._acknowledged)

        def check(outcome) -> None:  # noqa: ANN001
            missing = [key for key in expected if key not in leader.store.values] if outcome.committed else []
            if missing:
                self.broken.append(f"{leader.member_id} shows no {missing[0]} of {len(missing)} acknowledged writes")

        leader.barrier(check)


def play_drawn(seed: int) -> list[str]:
    """Play what a seed draws; returns what was broken."""
    draw = World(seed).random
    play = InterruptedChange(seed, draw.choice(SIZES), draw.choice(SYNC_CHOICES_S))
    backups = play.backups()
    draw.shuffle(backups)
    count = play.group.tolerated
    lost, others = backups[:count], backups[count:]
    if draw.random() < 0.3:
        others.append(address_of(play.group.wait_for_leader().member_id))
    deaths = [
        Death(draw.randint(1, LAST_STEP), address, returns)
        for address in others
        for returns in [True] * draw.randint(0, MAX_DEATHS - 1) + [draw.random() < 0.5]
    ]
    dead_half = {*lost, *(death.address for death in deaths if not death.returns)}
    play.play(lost, deaths, dead_half or set(lost))
    return play.broken


def play_steps(size: tuple[int, int, int], sync_s: float, every: int = 1, last: int = LAST_STEP) -> Iterator[str]:
    """Play the death of one further backup at each ``every``th step; yields what was broken."""
    for step in range(1, last, every):
        play = InterruptedChange(1, size, sync_s)
        backups = play.backups()
        count = play.group.tolerated
        lost, second = backups[:count], backups[count]
        play.play(lost, [Death(step, second, False)], {*lost, second})
        if play.broken:
            yield f"{size}, sync {sync_s}, step {step}: {play.broken[0]}"
        if step > play.steps:
            return


def main() -> int:
    """Exit code 1 if an acknowledged write was missing."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("first", type=int)
    parser.add_argument("last", type=int, help="last seed, or last step with --steps")
    parser.add_argument("--steps", action="store_true", help="play each step from the first on, every FIRST steps")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    started_at = time.monotonic()
    broken = 0
    if options.steps:
        for size in SIZES:
            for sync_s in SYNC_CHOICES_S:
                for line in play_steps(size, sync_s, options.first, options.last):
                    broken += 1
                    print(line, flush=True)
    else:
        for seed in range(options.first, options.last + 1):
            found = play_drawn(seed)
            broken += bool(found)
            if found:
                print(f"seed {seed}: {found[0]}", flush=True)
    print(f"{broken} plays broken, {time.monotonic() - started_at:.0f} s", flush=True)
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
