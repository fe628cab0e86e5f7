"""Cost of control at several numbers of relays: ``python -m lab.tier.scale``.

Simulated relays and control members at rest, one configuration change, one relay that is lost; messages and bytes a
second by role, spread of the change, and processor time of the whole simulation for each relay and second.
"""

from __future__ import annotations

import argparse
import logging
import statistics
import time
from collections import Counter
from dataclasses import dataclass

from lab.tier.cluster import INTERNAL_PORT, Tier, default_configuration
from lab.tier.world import World
from lynxscale.coordination.messages import Message, encode

REST_S = 10.0
SPREAD_WITHIN_S = 18.0


class CountingWorld(World):
    """Counts messages and bytes by sender and receiver."""

    def __init__(self, seed: int) -> None:
        super().__init__(seed)
        self.counting = False
        self.messages: Counter[str] = Counter()
        self.bytes: Counter[str] = Counter()

    def deliver(self, source: str, target: str, message: Message) -> None:
        """Part of World."""
        if self.counting:
            size = len(encode(message))
            for address in (source, target):
                self.messages[address] += 1
                self.bytes[address] += size
        super().deliver(source, target, message)


@dataclass
class Row:
    """One number of relays. Rates are messages and bytes in and out a second."""

    relays: int
    relay_messages: float
    relay_bytes: float
    busiest_relay_bytes: float
    primary_messages: float
    primary_bytes: float
    spread_ms: list[float]
    spread_lost_ms: list[float]
    cpu_us: float

    def line(self) -> str:
        """As a row of a table."""
        plain, lost = (f"{statistics.median(s):.0f} / {max(s):.0f}" for s in (self.spread_ms, self.spread_lost_ms))
        return (
            f"| {self.relays} | {self.relay_messages:.1f} | {self.relay_bytes:.0f} | {self.busiest_relay_bytes:.0f} |"
            f" {self.primary_messages:.0f} | {self.primary_bytes:.0f} | {plain} | {lost} | {self.cpu_us:.0f} |"
        )


def spread(tier: Tier, version: int, base: int) -> list[float]:
    """Milliseconds from the acknowledgement of a change until each relay holds it."""
    answer = tier.push(default_configuration(version), base)
    assert answer.status == 200, answer.status
    begun = tier.world.time
    times: dict[str, float] = {}

    def all_there() -> bool:
        for host, relay in tier.relays.items():
            if host not in times and relay._table.generation == version:
                times[host] = (tier.world.time - begun) * 1000.0
        return len(times) == len(tier.relays)

    assert tier.world.run_until(all_there, SPREAD_WITHIN_S), f"{len(times)} of {len(tier.relays)} in time"
    return list(times.values())


def measure(relays: int, seed: int) -> Row:
    """Run a tier of so many relays."""
    world = CountingWorld(seed)
    tier = Tier(world, relays=0)
    tier.relay_hosts = [f"10.1.{number // 250}.{number % 250 + 1}" for number in range(relays)]
    for host in tier.relay_hosts:
        tier.start_relay(host)
    tier.settle()
    world.run(world.time + 4.0)
    world.counting, cpu = True, time.process_time()
    world.run(world.time + REST_S)
    world.counting, cpu = False, time.process_time() - cpu
    primary = tier.primary().publisher.address
    own = [f"{host}:{INTERNAL_PORT}" for host in tier.relay_hosts]
    plain = spread(tier, 5, 1)
    parents = Counter(relay.tree._parent for relay in tier.relays.values())
    inner = [host for host in tier.relay_hosts if f"{host}:{INTERNAL_PORT}" in parents]
    if inner:
        tier.kill_relay(inner[0])
    lost = spread(tier, 9, 5)
    return Row(
        relays,
        statistics.mean(world.messages[one] for one in own) / REST_S,
        statistics.mean(world.bytes[one] for one in own) / REST_S,
        max(world.bytes[one] for one in own) / REST_S,
        world.messages[primary] / REST_S,
        world.bytes[primary] / REST_S,
        plain,
        lost,
        cpu / REST_S / relays * 1e6,
    )


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("relays", type=int, nargs="*", default=[8, 64, 320])
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    print(f"seed {options.seed}, {REST_S:.0f} s at rest")
    print(
        "| relays | msg/s | B/s | B/s busiest | msg/s primary | B/s primary | spread ms | parent lost ms | CPU us/s |"
    )
    for relays in options.relays:
        print(measure(relays, options.seed).line(), flush=True)


if __name__ == "__main__":
    main()
