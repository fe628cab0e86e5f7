"""Figures of the cluster's membership, against two baselines in the same run: ``make bench-cluster``.

Baselines: plain heartbeats of all to all with a fixed time-out, and the program without a cluster. On real processes
up to sixteen nodes; beyond, the state machines in simulated time.
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

from lab.clients import Desk
from lab.cluster.links import Weather
from lab.cluster.nodes import Cluster
from lab.cluster.simulate import SECOND, World
from lab.demo import DESTINATIONS
from lab.traffic import fresh_folder, usage
from lynxscale.relay.cluster.membership_table import State

PARTS = ("sim", "false", "kills", "rest", "loss", "core", "cost")
HEARTBEAT_S, TIMEOUT_S, HEARTBEAT_BYTES = 0.5, 2.0, 40


class Heartbeats:
    """The baseline: each tells every other that it is there, and whoever is silent for so long has failed."""

    def __init__(self, nodes: int, seed: int, loss: float) -> None:
        self.nodes, self.loss, self.chance = nodes, loss, random.Random(seed)

    def false_failures(self, seconds: float) -> int:
        """How often one that is there is held to have failed, over all pairs."""
        found = 0
        silent = int(TIMEOUT_S / HEARTBEAT_S)
        for _ in range(self.nodes * (self.nodes - 1)):
            missed = 0
            for _ in range(int(seconds / HEARTBEAT_S)):
                missed = missed + 1 if self.chance.random() < self.loss else 0
                found += missed == silent
        return found

    def bytes_per_s(self) -> float:
        return (self.nodes - 1) * HEARTBEAT_BYTES / HEARTBEAT_S


def simulated(nodes: int, seed: int, loss: float, seconds: int, measure: bool = False) -> World:
    """A cluster that has formed, and has run under loss for so long."""
    world = World(nodes, seed, measure=measure)
    for name in world.names:
        world.at(world.chance.randrange(SECOND), world.start, name)
    if not world.until_agreed(world.names, 300 * SECOND):
        raise RuntimeError(f"{nodes} nodes did not form")
    for path in world.paths.values():
        path.loss = loss
    world.bytes = world.datagrams = world.false_failures = 0
    world.cpu_s = 0.0
    world.run(world.now + seconds * SECOND)
    return world


def stops(world: World, until: int) -> list[tuple[str, int, int]]:
    """Each 20 s one node stands still for 4 s; which, from when and until when."""
    found, at = [], world.now + SECOND
    while at < until - 10 * SECOND:
        name = world.chance.choice(world.names)
        found.append((name, at, at + 4 * SECOND))
        world.at(at, world.pause, name)
        world.at(at + 4 * SECOND, world.go_on, name)
        at += 20 * SECOND
    return found


def one_way(world: World, until: int) -> list[tuple[str, int, int]]:
    """Each 10 s another node cannot reach some others, fewer than half, which reach it."""
    at = world.now + SECOND
    while at < until:
        name = world.chance.choice(world.names)
        others = [other for other in world.names if other != name]
        for other in world.chance.sample(others, (len(world.names) - 1) // 2):
            world.at(at, setattr, world.paths[name, other], "cut", True)
            world.at(at + 10 * SECOND, setattr, world.paths[name, other], "cut", False)
        at += 10 * SECOND
    return []


def lossy(share: float) -> Callable[[World, int], list]:
    def strike(world: World, _until: int) -> list:
        for path in world.paths.values():
            path.loss = share
        return []

    return strike


def removals(nodes: int, seed: int, seconds: int, strike: Callable[[World, int], list]) -> tuple[int, int]:
    """How many a view went on without, of those that were struck (until 5 s behind it) and of those that were not."""
    world = simulated(nodes, seed, 0.0, 5)
    until = world.now + seconds * SECOND
    struck = strike(world, until)
    begun, numbers, found = len(world.log), set(world.digests), [0, 0]
    world.run(until)
    for at, _, event, fields in world.log[begun:]:
        if event == "view" and fields["number"] not in numbers:
            numbers.add(fields["number"])
            for one in fields["gone"].split():
                name = one.partition("/")[0]
                found[not any(who == name and frm <= at < to + 5 * SECOND for who, frm, to in struck)] += 1
    return found[0], found[1]


def kill_times(nodes: int, seeds: range) -> dict[str, list[float]]:
    """Seconds from a kill to: first suspicion; failed at the first, the median and the last node; out of the view at
    all."""
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


def row(times: list[float]) -> str:
    return f"median {statistics.median(times):.2f}, worst {max(times):.2f}" if times else "never"


async def real_kills(count: int, rounds: int, folder: Path) -> list[float]:
    """Seconds from SIGKILL to a view without the node at all others, by their doors."""
    found = []
    async with Cluster(folder, count, 1) as cluster:
        await cluster.start()
        if await cluster.agreed(cluster.names, 30) is None:
            raise RuntimeError("no view")
        for place in range(rounds):
            name = cluster.names[place % count]
            await asyncio.sleep(3.0)
            await cluster.nodes[name].stop(signal.SIGKILL)
            killed = time.monotonic()
            if await cluster.agreed([one for one in cluster.names if one != name], 30) is None:
                raise RuntimeError("not voted out")
            found.append(time.monotonic() - killed)
            await cluster.nodes[name].start()
            if await cluster.agreed(cluster.names, 60) is None:
                raise RuntimeError("not back")
    return found


async def real_rest(
    count: int,
    seconds: float,
    folder: Path,
    loss: float = 0.0,
    rate: float = 0.0,
    alone: bool = False,
    cores: set[int] | None = None,
) -> dict[str, float]:
    """What a node costs: bytes and datagrams it sends, CPU share, memory; with ``rate`` messages a second to the first,
    its CPU a message. ``alone``: the program without a cluster."""
    async with Cluster(folder, count, 1) as cluster:
        if alone:
            for node in cluster.nodes.values():
                (node.folder / "cluster.conf").write_text("")
        await cluster.start()
        if not alone and await cluster.agreed(cluster.names, 30) is None:
            raise RuntimeError("no view")
        for node in cluster.nodes.values() if cores else ():
            for task in Path(f"/proc/{node.process.pid}/task").iterdir():
                os.sched_setaffinity(int(task.name), cores)
        for link in cluster.mesh.links.values():
            link.weather = Weather(loss=loss)
        first = cluster.nodes[cluster.names[0]]
        sent, spent = cluster.mesh.sent_by(first.name), usage(first.process.pid, "VmRSS")[0]
        began = time.monotonic()
        desk = Desk(first.port, 1, DESTINATIONS, connections=8, left=12.0)
        if rate:
            await desk.run(range(int(rate * seconds)), rate)
        else:
            await asyncio.sleep(seconds)
        took = time.monotonic() - began
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
            "cpu_us_message": (cpu - spent) * 1e6 / max(1, len(desk.sent)),
        }


def main() -> None:
    parser = argparse.ArgumentParser()
    parser.add_argument("--only", default="", help="parts by comma: " + ", ".join(PARTS))
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rounds", type=int, default=6)
    told = parser.parse_args()
    parts = set(told.only.split(",") if told.only else PARTS)
    if "sim" in parts:
        for nodes in (3, 5, 16, 50):
            times = kill_times(nodes, range(10 if nodes < 50 else 2))
            print(f"simulated, {nodes} nodes, kill to: " + "; ".join(f"{k} {row(v)} s" for k, v in times.items()))
        for nodes, seconds in ((5, 20), (50, 20), (200, 10)):
            world = simulated(nodes, 1, 0.0, seconds, measure=True)
            print(
                f"simulated, {nodes} nodes at rest: {world.bytes / seconds / nodes:.0f} bytes and "
                f"{world.datagrams / seconds / nodes:.1f} datagrams a second and node, steps and frames "
                f"{world.cpu_s / seconds / nodes:.2%} of a core; all to all heartbeats "
                f"{Heartbeats(nodes, 1, 0).bytes_per_s():.0f} bytes",
                flush=True,
            )
    if "false" in parts:
        for loss in (0.0, 0.1, 0.3):
            print(
                f"heartbeats, 5 nodes, one hour at {loss:.0%} loss: {Heartbeats(5, 1, loss).false_failures(3600)} "
                "believed failed in error"
            )
        for what, strike in (
            ("no loss", lossy(0.0)),
            ("10 % loss", lossy(0.1)),
            ("30 % loss", lossy(0.3)),
            ("one-way cuts", one_way),
            ("stops of 4 s", stops),
        ):
            of_struck, of_others = removals(5, 1, 3600, strike)
            print(
                f"simulated, 5 nodes, one hour of {what}: {of_others} removed in error, {of_struck} that stood still",
                flush=True,
            )
    for count in (3, 5, 16) if "kills" in parts else ():
        with fresh_folder() as folder:
            print(
                f"{count} processes, SIGKILL to the view without it: "
                f"{row(asyncio.run(real_kills(count, told.rounds if count < 16 else 3, Path(folder))))} s"
            )
    for count in (3, 5, 16) if "rest" in parts else ():
        with fresh_folder() as one, fresh_folder() as other:
            with_ = asyncio.run(real_rest(count, told.seconds, Path(one)))
            without = asyncio.run(real_rest(count, told.seconds, Path(other), alone=True))
            print(
                f"{count} processes at rest: {with_['bytes_s']:.0f} bytes and {with_['datagrams_s']:.1f} datagrams a "
                f"second; CPU {with_['cpu_share']:.2%} of a core, without a cluster {without['cpu_share']:.2%}; "
                f"memory {with_['rss_mb']:.1f} MB, without {without['rss_mb']:.1f}"
            )
    if "loss" in parts:
        with fresh_folder() as folder:
            bad = asyncio.run(real_rest(5, told.seconds * 3, Path(folder), loss=0.3))
            print(
                f"5 processes, {told.seconds * 3:.0f} s at 30 % loss: {bad['removals']:.0f} removals, "
                f"{bad['bytes_s']:.0f} bytes a second"
            )
    if "core" in parts:
        with fresh_folder() as folder:
            crowded = asyncio.run(real_rest(5, told.seconds * 3, Path(folder), rate=50.0, cores={0}))
            print(
                f"5 processes on one core, {told.seconds * 3:.0f} s, 50 messages a second to one of them: "
                f"{crowded['removals']:.0f} removals"
            )
    if "cost" in parts:
        ratios = []
        for _ in range(3):
            with fresh_folder() as one, fresh_folder() as other:
                with_ = asyncio.run(real_rest(3, told.seconds, Path(one), rate=100.0))
                without = asyncio.run(real_rest(3, told.seconds, Path(other), rate=100.0, alone=True))
                ratios.append(with_["cpu_us_message"] / without["cpu_us_message"])
        print(
            f"CPU a message with a cluster of 3 against without, 100 a second: median "
            f"{statistics.median(ratios):.3f} ({min(ratios):.3f} to {max(ratios):.3f})"
        )


if __name__ == "__main__":
    main()
