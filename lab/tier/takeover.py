"""How long nobody serves when a primary is lost, on simulated disks: ``python -m lab.tier.takeover``.

A group writes all the time; its primary is killed, loses its disk or is cut off, and what is measured is the time from
there until a write that began afterwards is committed. Each seed draws the instant, the delays of links and the loss.
"""

from __future__ import annotations

import argparse
import logging
import statistics
import sys
from collections.abc import Iterator
from dataclasses import dataclass
from random import Random

from lab.tier.group import Group
from lab.tier.world import World
from lynxscale.coordination.messages import address_of

WAY_S = 0.0015
WRITE_EVERY_S = 0.005
WARM_S = 2.0
LONGEST_S = 8.0
HOWS = ("kill", "power", "wipe", "cut", "deaf", "mute")


@dataclass(frozen=True)
class Case:
    """One loss of a primary. ``sync_s``: of one sync; ``busy``: does the group write meanwhile?"""

    seed: int
    sync_s: float = 0.0092
    size: int = 5
    tolerated: int = 2
    how: str = "kill"
    busy: bool = True


def silence(case: Case) -> float:
    """Seconds from the loss until another primary has committed a write; ``LONGEST_S`` where it takes longer."""
    world = World(case.seed, delay_s=WAY_S)
    draws = Random(case.seed)
    group = Group(world, case.size, case.tolerated)
    for address in group.seeds:
        world.machine(address).sync_s = case.sync_s
    group.start_all()
    group.wait_for_leader(20.0)
    if case.busy:
        _keep_writing(group)
    world.run(world.time + WARM_S + draws.uniform(0.0, 0.5))
    lost = address_of(group.wait_for_leader(5.0).me)
    begun = world.time
    _lose(group, lost, case.how)
    committed: list[bool] = []
    _try_to_write(group, lost, committed)
    world.run_until(lambda: True in committed, LONGEST_S)
    return world.time - begun


def _lose(group: Group, address: str, how: str) -> None:
    if how in ("kill", "power", "wipe"):
        group.kill(address, power=how != "kill", wipe=how == "wipe")
        return
    for other in group.seeds:
        if other != address and how in ("cut", "mute"):
            group.world.cut(address, other, both_ways=False)
        if other != address and how in ("cut", "deaf"):
            group.world.cut(other, address, both_ways=False)


def _keep_writing(group: Group) -> None:
    for leader in group.leaders():
        for number in range(2):
            group.submit(leader, f"key{number}", group.world.time, lambda committed: None)
    group.world.at(group.world.time + 2 * WRITE_EVERY_S, lambda: _keep_writing(group))


def _try_to_write(group: Group, lost: str, committed: list[bool]) -> None:
    """Ask every primary but the lost one, again and again."""
    for leader in group.leaders():
        if address_of(leader.me) != lost:
            group.submit(leader, "last", group.world.time, committed.append)
    group.world.at(group.world.time + WRITE_EVERY_S, lambda: _try_to_write(group, lost, committed))


def report(cases: list[Case]) -> str:
    """One line: the number of cases, the median, the 95th percentile and the longest, in seconds."""
    times = sorted(silence(case) for case in cases)
    at_95 = times[min(len(times) - 1, int(0.95 * len(times)))]
    slowest = max(cases, key=silence) if times[-1] > 1.0 and len(cases) < 500 else None
    worst = f" (seed {slowest.seed})" if slowest else ""
    return f"n {len(times)} p50 {statistics.median(times):.2f} p95 {at_95:.2f} longest {times[-1]:.2f}{worst}"


def cases(seeds: int, sync_ms: float, how: str) -> Iterator[Case]:
    """The cases of one row."""
    return (Case(seed, sync_ms / 1000.0, how=how) for seed in range(1, seeds + 1))


def main() -> int:
    """Exit code 1 where a case took over ``--most`` seconds."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--sync-ms", default="0,9.2,30")
    parser.add_argument("--hows", default=",".join(HOWS))
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    for sync_ms in map(float, options.sync_ms.split(",")):
        for how in options.hows.split(","):
            print(f"sync {sync_ms} ms, {how}: {report(list(cases(options.seeds, sync_ms, how)))}", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
