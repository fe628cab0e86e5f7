"""Conditions of a simulated tier, drawn from a seed: disks, links and processors that differ from machine to machine.

``World`` and ``Machine`` carry them; here they are drawn. The draws have a generator of their own, so that a history's
other draws stay those of its seed.
"""

from __future__ import annotations

from itertools import permutations
from random import Random

from attrs import frozen

from lab.tier.machine import ProcessorQuota
from lab.tier.world import Link, World

SYNC_S = (0.0005, 0.030)  # of one sync, by disk
DELAY_S = (0.0003, 0.012)  # one way, by link and direction
BYTES_PER_S = (400_000.0, 20_000_000.0)  # by link and direction
ONE_WAY_LOSS = 0.04  # at most, by link and direction
LOSSY_LINKS = 0.25  # share of the links that lose messages of their own
QUOTA_SHARE = (0.35, 0.9)  # of each period at full speed
THROTTLED_MACHINES = 0.3  # share of the machines with a quota


@frozen
class Conditions:
    """What was drawn. ``sync_s`` and ``quotas`` by machine, ``links`` by sender and receiver."""

    sync_s: dict[str, float]
    links: dict[tuple[str, str], Link]
    quotas: dict[str, ProcessorQuota]


def draw_conditions(seed: int, storage: list[str], others: list[str]) -> Conditions:
    """Draw for the machines with disks (``storage``), and for links and processors of these and all others."""
    random = Random(f"conditions {seed}")
    everyone = [*storage, *others]
    links = {}
    for link in permutations(everyone, 2):
        loss = random.uniform(0.0, ONE_WAY_LOSS) if random.random() < LOSSY_LINKS else 0.0
        links[link] = Link(random.uniform(*DELAY_S), random.uniform(*BYTES_PER_S), loss)
    quotas = {
        machine: ProcessorQuota(random.uniform(*QUOTA_SHARE), random.random())
        for machine in everyone
        if random.random() < THROTTLED_MACHINES
    }
    return Conditions({machine: random.uniform(*SYNC_S) for machine in storage}, links, quotas)


def apply_conditions(world: World, conditions: Conditions) -> None:
    """Set disks, links and processors of a world."""
    world.links.update(conditions.links)
    for address, sync_s in conditions.sync_s.items():
        world.machine(address).sync_s = sync_s
    for address, quota in conditions.quotas.items():
        world.machine(address).quota = quota
