"""The failover time when a primary is lost, on simulated disks: ``python -m lab.tier.failover_time``.

A group writes all the time; its primary is killed, loses its disk or is cut off, and what is measured is the time from
there until a write that began afterwards is committed. Each seed draws the instant, the delays of links and the loss.
"""

from __future__ import annotations

import argparse
import logging
import statistics
import sys
from dataclasses import dataclass
from random import Random

from lab.tier.control_group import ControlGroup
from lab.tier.world import World
from lynxscale.coordination.messages import address_of

DELAY_S = 0.0015
WRITE_INTERVAL_S = 0.005
WARM_UP_S = 2.0
MAX_FAILOVER_S = 8.0
FAULTS = ("kill", "power", "wipe", "cut", "deaf", "mute")


@dataclass(frozen=True)
class FailoverCase:
    """One loss of a primary. ``sync_s``: duration of one sync; ``busy``: whether the group writes meanwhile."""

    seed: int
    sync_s: float = 0.0092
    size: int = 5
    tolerated: int = 2
    how: str = "kill"
    busy: bool = True


def failover_time_s(case: FailoverCase) -> float:
    """Seconds from the loss until another primary has committed a write; ``MAX_FAILOVER_S`` where it takes longer."""
    world = World(case.seed, delay_s=DELAY_S)
    draws = Random(case.seed)
    group = ControlGroup(world, case.size, case.tolerated)
    for address in group.seeds:
        world.machine(address).sync_s = case.sync_s
    group.start_all()
    group.wait_for_leader(20.0)
    if case.busy:
        _keep_writing(group)
    world.run(world.time + WARM_UP_S + draws.uniform(0.0, 0.5))
    lost = address_of(group.wait_for_leader(5.0).member_id)
    begun = world.time
    _lose(group, lost, case.how)
    committed: list[bool] = []
    _try_to_write(group, lost, committed)
    world.run_until(lambda: True in committed, MAX_FAILOVER_S)
    return world.time - begun


def _lose(group: ControlGroup, address: str, how: str) -> None:
    if how in ("kill", "power", "wipe"):
        group.kill(address, power=how != "kill", wipe=how == "wipe")
        return
    for other in group.seeds:
        if other != address and how in ("cut", "mute"):
            group.world.partition(address, other, both_ways=False)
        if other != address and how in ("cut", "deaf"):
            group.world.partition(other, address, both_ways=False)


def _keep_writing(group: ControlGroup) -> None:
    for leader in group.leaders():
        for number in range(2):
            group.submit(leader, f"key{number}", group.world.time, lambda committed: None)
    group.world.call_at(group.world.time + 2 * WRITE_INTERVAL_S, lambda: _keep_writing(group))


def _try_to_write(group: ControlGroup, lost: str, committed: list[bool]) -> None:
    """Write at every primary but the lost one, until one commits."""
    for leader in group.leaders():
        if address_of(leader.member_id) != lost:
            group.submit(leader, "last", group.world.time, committed.append)
    group.world.call_at(group.world.time + WRITE_INTERVAL_S, lambda: _try_to_write(group, lost, committed))


@dataclass(frozen=True)
class Distribution:
    """Failover times in seconds: count, median, 95th percentile, maximum, and the seed of the maximum."""

    count: int
    median_s: float
    at_95_s: float
    longest_s: float
    longest_seed: int

    def __str__(self) -> str:
        times = f"p50 {self.median_s:.2f} p95 {self.at_95_s:.2f} longest {self.longest_s:.2f}"
        return f"n {self.count} {times} (seed {self.longest_seed})"


def measure(seeds: int, sync_ms: float, how: str) -> Distribution:
    """One loss of a primary with each seed from 1 on."""
    times = sorted(
        (failover_time_s(FailoverCase(seed, sync_ms / 1000.0, how=how)), seed) for seed in range(1, seeds + 1)
    )
    seconds = [time for time, _ in times]
    at_95 = seconds[min(seeds - 1, int(0.95 * seeds))]
    return Distribution(seeds, statistics.median(seconds), at_95, *times[-1])


def main() -> int:
    """Exit code 1 where a failover took more than ``--most`` seconds."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--sync-ms", default="0,9.2,30", help="by commas, of one sync")
    parser.add_argument("--hows", default=",".join(FAULTS), help="by commas, what becomes of the primary")
    parser.add_argument("--most", type=float, default=2.0, help="seconds")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    too_long = False
    for sync_ms in map(float, options.sync_ms.split(",")):
        for how in options.hows.split(","):
            found = measure(options.seeds, sync_ms, how)
            too_long |= found.longest_s > options.most
            print(f"sync {sync_ms} ms, {how}: {found}", flush=True)
    return int(too_long)


if __name__ == "__main__":
    sys.exit(main())
