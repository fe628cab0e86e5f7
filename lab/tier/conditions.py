"""Conditions of a simulated tier, drawn from a seed: disks, links and processors that differ from machine to machine.

``World`` and ``Machine`` apply them. Endpoints, simulated or on real sockets, may be full for a part of the time,
repeat earlier answers late and end streams within an event. All are drawn from separate generators, so that they don't
change the other draws of a history.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import permutations
from random import Random

from attrs import frozen

from lab.tier.fakes import FakeEndpoint
from lab.tier.machine import ProcessorQuota
from lab.tier.world import Link, World

SYNC_RANGE_S = (0.0005, 0.030)  # duration of one sync, drawn for each disk
DELAY_RANGE_S = (0.0003, 0.012)  # one-way delay, drawn for each direction of a link
BANDWIDTH_RANGE_BYTES_PER_S = (400_000.0, 20_000_000.0)  # bandwidth, drawn for each direction of a link
MAX_ONE_WAY_LOSS = 0.04  # probability, for each direction of a link
LOSSY_LINK_SHARE = 0.25  # share of the links that lose messages
QUOTA_SHARE_RANGE = (0.35, 0.9)  # share of each period in which a machine runs
THROTTLED_MACHINE_SHARE = 0.3  # share of the machines with a quota
FULL_PERIOD_RANGE_S = (0.04, 0.5)  # an endpoint is full in one half of each period
LATE_ANSWER_SHARE_RANGE = (0.02, 0.5)  # share of the answers that come once more where the next one is due
INCOMPLETE_STREAM_SHARE = 0.25  # share of the endpoints that end their streams within an event


@frozen
class Conditions:
    """The drawn conditions: ``sync_s`` and ``quotas`` by machine, ``links`` by sender and receiver."""

    sync_s: dict[str, float]
    links: dict[tuple[str, str], Link]
    quotas: dict[str, ProcessorQuota]


def draw_conditions(seed: int, storage: list[str], others: list[str]) -> Conditions:
    """Draw sync times for the machines of ``storage``, and links and quotas for these and the ``others``."""
    random = Random(f"conditions {seed}")
    machines = [*storage, *others]
    links = {}
    for link in permutations(machines, 2):
        loss = random.uniform(0.0, MAX_ONE_WAY_LOSS) if random.random() < LOSSY_LINK_SHARE else 0.0
        links[link] = Link(random.uniform(*DELAY_RANGE_S), random.uniform(*BANDWIDTH_RANGE_BYTES_PER_S), loss)
    quotas = {
        machine: ProcessorQuota(random.uniform(*QUOTA_SHARE_RANGE), random.random())
        for machine in machines
        if random.random() < THROTTLED_MACHINE_SHARE
    }
    return Conditions({machine: random.uniform(*SYNC_RANGE_S) for machine in storage}, links, quotas)


def apply_conditions(world: World, conditions: Conditions) -> None:
    """Apply drawn conditions to the machines and links of a world."""
    world.links.update(conditions.links)
    for address, sync_s in conditions.sync_s.items():
        world.machine(address).sync_s = sync_s
    for address, quota in conditions.quotas.items():
        world.machine(address).quota = quota


def overload_endpoints(endpoints: Iterable[FakeEndpoint], random: Random) -> None:
    """Let endpoints be full in one half of each period, repeat earlier answers late, and some end streams early."""
    for endpoint in endpoints:
        late_share = random.uniform(*LATE_ANSWER_SHARE_RANGE)
        endpoint.full_period_s = random.uniform(*FULL_PERIOD_RANGE_S)
        endpoint.repeats_late = lambda share=late_share: random.random() < share
        endpoint.ends_within_event = random.random() < INCOMPLETE_STREAM_SHARE


def relieve_endpoints(endpoints: Iterable[FakeEndpoint]) -> None:
    """End the conditions of ``overload_endpoints``."""
    for endpoint in endpoints:
        endpoint.full_period_s = 0.0
        endpoint.repeats_late = lambda: False
        endpoint.ends_within_event = False


def vary_framing(endpoints: Iterable[FakeEndpoint], random: Random) -> None:
    """Draw for each endpoint how its streams are framed: by chunks, by a length, or by the end of the connection."""
    for endpoint in endpoints:
        framing = random.choice(("chunks", "length", "connection"))
        endpoint.states_length = framing == "length"
        endpoint.ends_with_connection = framing == "connection"
