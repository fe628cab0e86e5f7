"""Measures the failover time after the loss of a primary, on simulated disks: ``python -m lab.tier.failover_time``.

A group writes continuously; its primary is killed, loses its disk or is partitioned. The failover time lasts from the
fault until a write that began after it is committed. Each seed draws the time of the fault and the delays of messages.
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
    """One loss of a primary by ``fault``. ``sync_s``: duration of one sync; ``busy``: the group writes meanwhile."""

    seed: int
    sync_s: float = 0.0092
    size: int = 5
    tolerated: int = 2
    fault: str = "kill"
    busy: bool = True


def failover_time_s(case: FailoverCase) -> float:
    """Seconds from the fault until another primary has committed a write, at most ``MAX_FAILOVER_S``."""
    world = World(case.seed, delay_s=DELAY_S)
    random = Random(case.seed)
    group = ControlGroup(world, case.size, case.tolerated)
    for address in group.seeds:
        world.machine(address).sync_s = case.sync_s
    group.start_all()
    group.wait_for_leader(20.0)
    if case.busy:
        _keep_writing(group)
    world.run(world.time + WARM_UP_S + random.uniform(0.0, 0.5))
    lost_primary = address_of(group.wait_for_leader(5.0).member_id)
    lost_at = world.time
    _inject_fault(group, lost_primary, case.fault)
    committed: list[bool] = []
    _try_to_write(group, lost_primary, committed)
    world.run_until(lambda: True in committed, MAX_FAILOVER_S)
    return world.time - lost_at


def _inject_fault(group: ControlGroup, address: str, fault: str) -> None:
    if fault in ("kill", "power", "wipe"):
        group.kill(address, power=fault != "kill", wipe=fault == "wipe")
        return
    for other in group.seeds:
        if other != address and fault in ("cut", "mute"):
            group.world.partition(address, other, both_ways=False)
        if other != address and fault in ("cut", "deaf"):
            group.world.partition(other, address, both_ways=False)


def _keep_writing(group: ControlGroup) -> None:
    for leader in group.leaders():
        for number in range(2):
            group.submit(leader, f"key{number}", group.world.time, lambda committed: None)
    group.world.call_at(group.world.time + 2 * WRITE_INTERVAL_S, lambda: _keep_writing(group))


def _try_to_write(group: ControlGroup, lost_primary: str, committed: list[bool]) -> None:
    """Write through every primary but the lost one, until a write commits."""
    for leader in group.leaders():
        if address_of(leader.member_id) != lost_primary:
            group.submit(leader, "last", group.world.time, committed.append)
    group.world.call_at(group.world.time + WRITE_INTERVAL_S, lambda: _try_to_write(group, lost_primary, committed))


@dataclass(frozen=True)
class Distribution:
    """Failover times in seconds: count, median, 95th percentile, maximum, and the seed of the maximum."""

    count: int
    median_s: float
    p95_s: float
    longest_s: float
    longest_seed: int

    def __str__(self) -> str:
        times = f"p50 {self.median_s:.2f} p95 {self.p95_s:.2f} longest {self.longest_s:.2f}"
        return f"n {self.count} {times} (seed {self.longest_seed})"


def measure(seeds: int, sync_ms: float, fault: str) -> Distribution:
    """Measure one loss of a primary for each seed from 1 to ``seeds``."""
    times = sorted(
        (failover_time_s(FailoverCase(seed, sync_ms / 1000.0, fault=fault)), seed) for seed in range(1, seeds + 1)
    )
    seconds = [time for time, _ in times]
    p95 = seconds[min(seeds - 1, int(0.95 * seeds))]
    return Distribution(seeds, statistics.median(seconds), p95, *times[-1])


def main() -> int:
    """Exit code 1 if a failover took more than ``--most`` seconds."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=40)
    parser.add_argument("--sync-ms", default="0,9.2,30", help="durations of one sync, separated by commas")
    parser.add_argument("--hows", default=",".join(FAULTS), help="faults of the primary, separated by commas")
    parser.add_argument("--most", type=float, default=2.0, help="longest failover that passes, in seconds")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    too_long = False
    for sync_ms in map(float, options.sync_ms.split(",")):
        for fault in options.hows.split(","):
            distribution = measure(options.seeds, sync_ms, fault)
            too_long |= distribution.longest_s > options.most
            print(f"sync {sync_ms} ms, {fault}: {distribution}", flush=True)
    return int(too_long)


if __name__ == "__main__":
    sys.exit(main())
