"""Measures how soon a dead voter is replaced and how soon a second loss is borne, on simulated disks.

``python -m lab.tier.voter_replacement``. Three voters and a spare hold some state. A backup is killed. It is replaced
once the primary's record is decided and needs no majority of a set that includes the dead member. A second loss after a
delay is borne if the two members that live commit a write in time.
"""

from __future__ import annotations

import argparse
import logging
import statistics
import sys
from dataclasses import dataclass

from lab.tier.control_group import ControlGroup
from lab.tier.world import World
from lynxscale.coordination.messages import address_of

SPARE = "10.0.0.80:7000"
LINK_DELAY_S = 0.0015
STATE_VALUES, VALUE_BYTES = 100, 20_000
WARM_UP_S = 3.0
LONGEST_REPLACEMENT_S = 5.0
WRITE_TIMEOUT_S = 3.0
FIRST_DELAY_S, LAST_DELAY_S, DELAY_STEP_S = 0.3, 1.0, 0.02


@dataclass(frozen=True)
class ReplacementCase:
    """One loss of a backup. ``sync_s``: duration of one disk sync."""

    seed: int
    sync_s: float

    def group(self) -> ControlGroup:
        """A running group with a spare and some state."""
        group = ControlGroup(World(self.seed, delay_s=LINK_DELAY_S), 3, 1)
        for address in (*group.seeds, SPARE):
            group.world.machine(address).sync_s = self.sync_s
        group.start_all()
        group.wait_for_leader(20.0)
        group.start(SPARE)
        for number in range(STATE_VALUES):
            assert group.put(f"key{number}", "x" * VALUE_BYTES, within=20.0)
        group.world.run(group.world.time + WARM_UP_S + group.world.random.uniform(0.0, 0.5))
        return group


def backups(group: ControlGroup) -> list[str]:
    """The addresses of the voters other than the primary."""
    leader = group.wait_for_leader()
    return [address_of(voter) for voter in leader.record.voters if voter != leader.member_id]


def replacement_time_s(case: ReplacementCase) -> float:
    """Seconds from the loss of a backup until no quorum counts it, at most ``LONGEST_REPLACEMENT_S``."""
    group = case.group()
    lost = backups(group)[0]
    lost_at = group.world.time
    group.kill(lost)
    group.world.run_until(lambda: _is_replaced(group, lost), LONGEST_REPLACEMENT_S)
    return group.world.time - lost_at


def _is_replaced(group: ControlGroup, lost: str) -> bool:
    for leader in group.leaders():
        record = leader.record
        counted = (*record.voters, *(getattr(record, "previous_voters", ()) or ()))
        if not leader._proposer.active and lost not in {address_of(member) for member in counted}:
            return True
    return False


def bears_second_loss(case: ReplacementCase, delay_s: float, primary: bool) -> bool:
    """Do the two that live commit, if the primary or the other backup is lost ``delay_s`` after a backup?"""
    group = case.group()
    first, second = backups(group)
    if primary:
        second = address_of(group.wait_for_leader().member_id)
    group.kill(first)
    group.world.run(group.world.time + delay_s)
    group.kill(second)
    try:
        return group.put("last", 1, within=WRITE_TIMEOUT_S)
    except AssertionError:
        return False


def bearable_delay_s(sync_s: float, seeds: int, primary: bool) -> float:
    """The shortest delay from which on each second loss is borne with every seed."""
    delay_s = LAST_DELAY_S
    while delay_s >= FIRST_DELAY_S:
        if not all(bears_second_loss(ReplacementCase(seed, sync_s), delay_s, primary) for seed in range(1, seeds + 1)):
            return delay_s + DELAY_STEP_S
        delay_s -= DELAY_STEP_S
    return delay_s + DELAY_STEP_S


def main() -> int:
    """Exit code 0."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--sync-ms", default="0.5,9.2", help="durations of one sync, separated by commas")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    for sync_s in (float(text) / 1000.0 for text in options.sync_ms.split(",")):
        times = sorted(replacement_time_s(ReplacementCase(seed, sync_s)) for seed in range(1, options.seeds + 1))
        p95 = times[min(len(times) - 1, int(0.95 * len(times)))]
        spread = f"p50 {statistics.median(times):.3f} p95 {p95:.3f} longest {times[-1]:.3f}"
        print(f"sync {1000 * sync_s:g} ms: replaced after {spread} s", flush=True)
        for name, primary in (("backup", False), ("primary", True)):
            delay_s = bearable_delay_s(sync_s, options.seeds, primary)
            print(f"sync {1000 * sync_s:g} ms: loss of the {name} too is borne from {delay_s:.2f} s on", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
