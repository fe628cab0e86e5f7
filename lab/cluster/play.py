"""One run: start the nodes, strike, calm down, and judge what was seen from outside."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from lab.clients import Desk
from lab.cluster.faults import Fault, Weathers, strike
from lab.cluster.judge import Judge, Verdict
from lab.cluster.nodes import Cluster, Seen
from lab.cluster.plot import Beliefs
from lab.demo import DESTINATIONS
from lab.rules import judge as judge_messages

LOOK_EVERY = 0.05
CLOCKS_APART = 0.01
FORM_WITHIN, SETTLE_WITHIN, ENDS_WITHIN = 30.0, 30.0, 40.0


@dataclass
class Played:
    """``sent_bytes``, ``sent_datagrams``: by node and second, all of the cluster's own traffic."""

    verdict: Verdict
    beliefs: Beliefs = field(default_factory=Beliefs)
    faults: list[tuple[float, Fault]] = field(default_factory=list)  # when it began, monotonic seconds
    formed_s: float = 0.0
    settled_s: float = 0.0
    sent_bytes: float = 0.0
    sent_datagrams: float = 0.0
    messages: dict = field(default_factory=dict)


async def _watch(cluster: Cluster, saw: Callable[[Seen], None]) -> None:
    """Ask every node over and over, each by itself: one that does not answer holds up nobody's record."""

    async def one(name: str) -> None:
        while True:
            node = cluster.nodes[name]
            if node.running:
                seen = await node.look()
                if seen is not None:
                    saw(seen)
            await asyncio.sleep(LOOK_EVERY)

    await asyncio.gather(*(one(name) for name in cluster.names))


async def play(
    folder: Path,
    count: int,
    seed: int,
    faults: list[Fault],
    say: Callable[[str], None],
    rate: float = 20.0,
    probe_ms: int = 500,
) -> Played:
    """Play these faults on ``count`` nodes, with ``rate`` messages a second to each."""
    left: list[str] = []
    judge, played = Judge(), Played(Verdict())

    def saw(seen: Seen) -> None:
        judge.saw(seen)
        played.beliefs.saw(seen)

    async with Cluster(folder, count, seed, probe_ms, CLOCKS_APART) as cluster:
        begun = time.monotonic()
        await cluster.start()
        watch = asyncio.create_task(_watch(cluster, saw))
        try:
            formed = await cluster.agreed(cluster.names, FORM_WITHIN)
            played.formed_s = time.monotonic() - begun
            if formed is None:
                played.verdict = judge.verdict(left)
                played.verdict.breaches.append(f"no view of all nodes within {FORM_WITHIN:.0f} s of the start")
                return played
            say(
                f"{0:5.1f} s  {count} nodes formed view {formed[cluster.names[0]].status['view']['number']} "
                f"{played.formed_s:.1f} s after their start"
            )
            seconds = max((fault.at + fault.lasts for fault in faults), default=2.0)
            desks = [
                Desk(node.port, seed + place, DESTINATIONS, connections=4, left=12.0)
                for place, node in enumerate(cluster.nodes.values())
            ]
            handing = [asyncio.create_task(desk.run(range(int(seconds * rate)), rate)) for desk in desks if rate]
            weathers, busy = Weathers(cluster), set()
            begun = time.monotonic()

            async def one(number: int, fault: Fault) -> None:
                await asyncio.sleep(max(0.0, begun + fault.at - time.monotonic()))
                say(str(fault))
                played.faults.append((time.monotonic(), fault))
                await strike(cluster, weathers, number, fault, seed, left, busy)

            await asyncio.gather(*(one(number, fault) for number, fault in enumerate(faults)))
            cluster.mesh.calm()
            calm = time.monotonic()
            settled = await cluster.agreed(cluster.names, SETTLE_WITHIN)
            played.settled_s = time.monotonic() - calm
            await asyncio.gather(*handing)
            spent = time.monotonic() - begun
            sent = [cluster.mesh.sent_by(name) for name in cluster.names]
            played.sent_bytes = sum(one.bytes for one in sent) / spent / count
            played.sent_datagrams = sum(one.datagrams for one in sent) / spent / count
            ended = await _messages(cluster, desks) if rate else None
        finally:
            watch.cancel()
        played.verdict = judge.verdict(left)
        if settled is None:
            looks = await cluster.looks()
            said = "; ".join(
                f"{name}: {seen.status['standing']}, view {(seen.status['view'] or {}).get('number')}, "
                f"votes {seen.status['votes']}"
                for name, seen in sorted(looks.items())
            )
            played.verdict.breaches.append(f"not one view of all {SETTLE_WITHIN:.0f} s after the last fault: {said}")
        if ended is not None:
            played.messages = ended.table
            played.verdict.breaches += ended.breaches
    return played


async def _messages(cluster: Cluster, desks: list[Desk]):
    """What became of the messages, by the partner's record and what was told."""
    nodes = list(cluster.nodes.values())
    end = time.monotonic() + ENDS_WITHIN
    sent = {id_: one for desk in desks for id_, one in desk.sent.items()}
    taken = {id_ for id_, one in sent.items() if one.status == 202}
    while time.monotonic() < end:
        finals: dict[str, list[str]] = {}
        for node in nodes:
            for id_, told in node.finals().items():
                finals.setdefault(id_, []).extend(told)
        served = {call.id for call in cluster.partner.calls if call.status == 200}
        if taken <= served | set(finals):
            break
        await asyncio.sleep(0.2)
    return judge_messages(sent, cluster.partner.calls, finals)
