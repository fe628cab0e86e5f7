"""Benchmark of the cluster membership against two baselines in the same run: ``make bench-cluster``.

The baselines are all-to-all heartbeats with a fixed timeout, and the relay without a cluster. Up to sixteen nodes run
as real processes; larger clusters run as state machines in simulated time.
"""

from __future__ import annotations

import argparse
import asyncio
import os
import random
import re
import signal
import statistics
import time
from collections.abc import Callable
from pathlib import Path

from lab.clients import LoadGenerator
from lab.cluster.links import LinkConditions
from lab.cluster.nodes import Cluster
from lab.cluster.world import SECOND, World
from lab.demo import DESTINATIONS
from lab.traffic import fresh_folder, usage
from lynxscale.relay.cluster.membership_table import State

SECTIONS = ("sim", "false", "kills", "rest", "loss", "core", "cost")
HEARTBEAT_INTERVAL_S, FAILURE_TIMEOUT_S, HEARTBEAT_BYTES = 0.5, 2.0, 40


class Heartbeats:
    """The baseline: every node sends heartbeats to every other, and a node without one for the timeout has failed."""

    def __init__(self, nodes: int, seed: int, loss: float) -> None:
        self.nodes, self.loss, self.rng = nodes, loss, random.Random(seed)

    def false_failures(self, seconds: float) -> int:
        """How often a running node is believed to have failed, over all pairs."""
        found = 0
        silent = int(FAILURE_TIMEOUT_S / HEARTBEAT_INTERVAL_S)
        for _ in range(self.nodes * (self.nodes - 1)):
            missed = 0
            for _ in range(int(seconds / HEARTBEAT_INTERVAL_S)):
                missed = missed + 1 if self.rng.random() < self.loss else 0
                found += missed == silent
        return found

    def bytes_per_s(self) -> float:
        return (self.nodes - 1) * HEARTBEAT_BYTES / HEARTBEAT_INTERVAL_S


def simulated(nodes: int, seed: int, loss: float, seconds: int, measure: bool = False) -> World:
    """A simulated cluster that has formed, and then has run under this loss for that many seconds."""
    world = World(nodes, seed, measure=measure)
    for name in world.names:
        world.at(world.rng.randrange(SECOND), world.start, name)
    if not world.run_until_agreed(world.names, 300 * SECOND):
        raise RuntimeError(f"{nodes} nodes did not form a view")
    for link in world.network.values():
        link.loss = loss
    world.bytes = world.datagrams = world.false_failures = 0
    world.cpu_s = 0.0
    world.run(world.now + seconds * SECOND)
    return world


def pauses(world: World, until: int) -> list[tuple[str, int, int]]:
    """Every 20 s one node is paused for 4 s; returns each pause as (node, start, end)."""
    found, at = [], world.now + SECOND
    while at < until - 10 * SECOND:
        name = world.rng.choice(world.names)
        found.append((name, at, at + 4 * SECOND))
        world.at(at, world.pause, name)
        world.at(at + 4 * SECOND, world.resume, name)
        at += 20 * SECOND
    return found


def one_way_cuts(world: World, until: int) -> list[tuple[str, int, int]]:
    """For 10 s at a time, one node can't reach some others, fewer than half, though they reach it."""
    at = world.now + SECOND
    while at < until:
        name = world.rng.choice(world.names)
        others = [other for other in world.names if other != name]
        for other in world.rng.sample(others, (len(world.names) - 1) // 2):
            world.at(at, setattr, world.network[name, other], "cut", True)
            world.at(at + 10 * SECOND, setattr, world.network[name, other], "cut", False)
        at += 10 * SECOND
    return []


def constant_loss(share: float) -> Callable[[World, int], list]:
    def inject(world: World, _until: int) -> list:
        for link in world.network.values():
            link.loss = share
        return []

    return inject


def removals(nodes: int, seed: int, seconds: int, inject: Callable[[World, int], list]) -> tuple[int, int]:
    """Counts removals from the view: of nodes that were affected by a fault, until 5 s after it, and of all others."""
    world = simulated(nodes, seed, 0.0, 5)
    until = world.now + seconds * SECOND
    affected = inject(world, until)
    begun, numbers, found = len(world.log), set(world.digests), [0, 0]
    world.run(until)
    for at, _, event, fields in world.log[begun:]:
        if event == "view" and fields["number"] not in numbers:
            numbers.add(fields["number"])
            for one in fields["gone"].split():
                name = one.partition("/")[0]
                found[not any(node == name and start <= at < end + 5 * SECOND for node, start, end in affected)] += 1
    return found[0], found[1]


def kill_times(nodes: int, seeds: range) -> dict[str, list[float]]:
    """Seconds from a kill until the node is: suspected by a first node; failed at the first, the median and the last
    node; removed from the view at all nodes."""
    found: dict[str, list[float]] = {
        "suspected": [],
        "failed_first": [],
        "failed_median": [],
        "failed_last": [],
        "out": [],
    }
    for seed in seeds:
        world = simulated(nodes, seed, 0.0, 5)
        killed = world.now
        world.kill("r1")
        names = world.names[1:]
        marks: dict[str, float] = {}
        while world.now < killed + 60 * SECOND and "out" not in marks:
            world.run(world.now + SECOND // 50)
            at = (world.now - killed) / SECOND
            states = [world.believes(name, "r1") for name in names]
            if any(state is not State.ALIVE for state in states):
                marks.setdefault("suspected", at)
            gone = [state is State.FAILED for state in states]
            if any(gone):
                marks.setdefault("failed_first", at)
            if 2 * sum(gone) > len(gone):
                marks.setdefault("failed_median", at)
            if all(gone):
                marks.setdefault("failed_last", at)
            if world.agreed(names):
                marks.setdefault("out", at)
        for name, at in marks.items():
            found[name].append(at)
    return found


def describe(times: list[float]) -> str:
    return f"median {statistics.median(times):.2f}, worst {max(times):.2f}" if times else "never"


async def measure_kills(count: int, rounds: int, folder: Path) -> list[float]:
    """Seconds from SIGKILL until all others report a view without the node."""
    found = []
    async with Cluster(folder, count, 1) as cluster:
        await cluster.start()
        if await cluster.wait_for_agreement(cluster.names, 30) is None:
            raise RuntimeError("no view of all nodes")
        for round_number in range(rounds):
            name = cluster.names[round_number % count]
            await asyncio.sleep(3.0)
            await cluster.nodes[name].stop(signal.SIGKILL)
            killed = time.monotonic()
            if await cluster.wait_for_agreement([one for one in cluster.names if one != name], 30) is None:
                raise RuntimeError("the killed node was not removed from the view")
            found.append(time.monotonic() - killed)
            await cluster.nodes[name].start()
            if await cluster.wait_for_agreement(cluster.names, 60) is None:
                raise RuntimeError("the restarted node did not rejoin")
    return found


async def measure_running_cluster(
    count: int,
    seconds: float,
    folder: Path,
    loss: float = 0.0,
    rate: float = 0.0,
    without_cluster: bool = False,
    cores: set[int] | None = None,
) -> dict[str, float]:
    """Resources of one node: bytes and datagrams sent, CPU share, memory, and, with ``rate`` messages per second, CPU
    time per message. ``without_cluster``: the relay with an empty cluster configuration."""
    async with Cluster(folder, count, 1) as cluster:
        if without_cluster:
            for node in cluster.nodes.values():
                (node.folder / "cluster.conf").write_text("")
        await cluster.start()
        if not without_cluster and await cluster.wait_for_agreement(cluster.names, 30) is None:
            raise RuntimeError("no view of all nodes")
        for node in cluster.nodes.values() if cores else ():
            for task in Path(f"/proc/{node.process.pid}/task").iterdir():
                os.sched_setaffinity(int(task.name), cores)
        for link in cluster.mesh.links.values():
            link.conditions = LinkConditions(loss=loss)
        first = cluster.nodes[cluster.names[0]]
        sent, spent = cluster.mesh.sent_by(first.name), usage(first.process.pid, "VmRSS")[0]
        started_at = time.monotonic()
        generator = LoadGenerator(first.port, 1, DESTINATIONS, connections=8, left=12.0)
        if rate:
            await generator.run(range(int(rate * seconds)), rate)
        else:
            await asyncio.sleep(seconds)
        took = time.monotonic() - started_at
        cpu, memory = usage(first.process.pid, "VmRSS")
        after = cluster.mesh.sent_by(first.name)
        removals = sum(
            len(re.findall(r"\S+/", event["gone"]))
            for node in cluster.nodes.values()
            for event in node.events()
            if event["event"] == "cluster_view" and event["gone"]
        )
        return {
            "bytes_s": (after.bytes - sent.bytes) / took,
            "datagrams_s": (after.datagrams - sent.datagrams) / took,
            "cpu_share": (cpu - spent) / took,
            "rss_mb": memory / 1024,
            "removals": removals,
            "cpu_us_message": (cpu - spent) * 1e6 / max(1, len(generator.sent)),
        }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", default="", help="sections, separated by commas: " + ", ".join(SECTIONS))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rounds", type=int, default=6)
    options = parser.parse_args()
    sections = set(options.only.split(",") if options.only else SECTIONS)
    if "sim" in sections:
        for nodes in (3, 5, 16, 50):
            times = kill_times(nodes, range(10 if nodes < 50 else 2))
            print(f"simulated, {nodes} nodes, kill to: " + "; ".join(f"{k} {describe(v)} s" for k, v in times.items()))
        for nodes, seconds in ((5, 20), (50, 20), (200, 10)):
            world = simulated(nodes, 1, 0.0, seconds, measure=True)
            print(
                f"simulated, {nodes} nodes at rest: {world.bytes / seconds / nodes:.0f} bytes and "
                f"{world.datagrams / seconds / nodes:.1f} datagrams a second and node, steps and frames "
                f"{world.cpu_s / seconds / nodes:.2%} of a core; all to all heartbeats "
                f"{Heartbeats(nodes, 1, 0).bytes_per_s():.0f} bytes",
                flush=True,
            )
    if "false" in sections:
        for loss in (0.0, 0.1, 0.3):
            print(
                f"heartbeats, 5 nodes, one hour at {loss:.0%} loss: {Heartbeats(5, 1, loss).false_failures(3600)} "
                "believed failed in error"
            )
        for what, inject in (
            ("no loss", constant_loss(0.0)),
            ("10 % loss", constant_loss(0.1)),
            ("30 % loss", constant_loss(0.3)),
            ("one-way cuts", one_way_cuts),
            ("pauses of 4 s", pauses),
        ):
            of_paused, of_others = removals(5, 1, 3600, inject)
            print(
                f"simulated, 5 nodes, one hour of {what}: {of_others} removed in error, {of_paused} after a pause",
                flush=True,
            )
    for count in (3, 5, 16) if "kills" in sections else ():
        with fresh_folder() as folder:
            print(
                f"{count} processes, SIGKILL to the view without it: "
                f"{describe(asyncio.run(measure_kills(count, options.rounds if count < 16 else 3, Path(folder))))} s"
            )
    for count in (3, 5, 16) if "rest" in sections else ():
        with fresh_folder() as one, fresh_folder() as other:
            with_ = asyncio.run(measure_running_cluster(count, options.seconds, Path(one)))
            without = asyncio.run(measure_running_cluster(count, options.seconds, Path(other), without_cluster=True))
            print(
                f"{count} processes at rest: {with_['bytes_s']:.0f} bytes and {with_['datagrams_s']:.1f} datagrams a "
                f"second; CPU {with_['cpu_share']:.2%} of a core, without a cluster {without['cpu_share']:.2%}; "
                f"memory {with_['rss_mb']:.1f} MB, without {without['rss_mb']:.1f}"
            )
    if "loss" in sections:
        with fresh_folder() as folder:
            bad = asyncio.run(measure_running_cluster(5, options.seconds * 3, Path(folder), loss=0.3))
            print(
                f"5 processes, {options.seconds * 3:.0f} s at 30 % loss: {bad['removals']:.0f} removals, "
                f"{bad['bytes_s']:.0f} bytes a second"
            )
    if "core" in sections:
        with fresh_folder() as folder:
            crowded = asyncio.run(measure_running_cluster(5, options.seconds * 3, Path(folder), rate=50.0, cores={0}))
            print(
                f"5 processes on one core, {options.seconds * 3:.0f} s, 50 messages a second to one of them: "
                f"{crowded['removals']:.0f} removals"
            )
    if "cost" in sections:
        ratios = []
        for _ in range(3):
            with fresh_folder() as one, fresh_folder() as other:
                with_ = asyncio.run(measure_running_cluster(3, options.seconds, Path(one), rate=100.0))
                without = asyncio.run(
                    measure_running_cluster(3, options.seconds, Path(other), rate=100.0, without_cluster=True)
                )
                ratios.append(with_["cpu_us_message"] / without["cpu_us_message"])
        print(
            f"CPU a message with a cluster of 3 against without, 100 a second: median "
            f"{statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})"
        )


if __name__ == "__main__":
    main()
