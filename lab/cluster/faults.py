"""Faults drawn from a seed: what happens to which node or link, when, and for how long."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lab.cluster import odd
from lab.cluster.links import Weather
from lab.cluster.nodes import Cluster, Node
from lab.partner import Mood
from lynxscale.relay.cluster import frame


@dataclass(frozen=True, slots=True)
class Fault:
    """``at`` and ``lasts`` in seconds; ``nodes`` whom it strikes."""

    at: float
    lasts: float
    kind: str
    nodes: tuple[str, ...]

    def __str__(self) -> str:
        return f"{self.at:5.1f} s  {self.kind} {' '.join(self.nodes)}, for {self.lasts:.1f} s"


# Of processes; ``early`` is a kill in a start, ``all`` one of all nodes at once. Those in FORGETS take a node's memory:
# not more than one at a time, else no majority remembers.
PROCESS = ("kill", "stop", "term", "early", "all", "forget", "older")
FORGETS = ("forget", "older")
LINK = (
    "loss",
    "late",
    "outbound_cut",
    "inbound_cut",
    "one_way",
    "isolated",
    "halves",
    "ring",
    "bridge",
    "flapping",
    "doubled",
    "spoilt",
    "refused",
    "trickle",
    "replayed",
    "garbage",
)
# Of the partner, for all nodes; of a node's wall clock, and of how long its disk takes to sync, in seconds.
MOODS = {
    "slow_partner": Mood(latency_ms=400),
    "refusing_partner": Mood(refusing=0.5, wait_s=0.2),
    "failing_partner": Mood(failing=0.2, dropping=0.1),
}
ODD = {"wall": (odd.WALL, (-3600.0, 3600.0)), "slow_disk": (odd.SYNC, (0.05, 0.2, 0.6))}
BESIDE = (*MOODS, *ODD)
ALL = PROCESS + LINK + BESIDE
REST = 1.0  # seconds at the end without a new fault
SPANS = (0.3, 1.0, 3.0, 6.0)  # seconds, as are those below, for which one process stands still in a long run
STOPS = (0.1, *SPANS, 20.0, 42.0)
STOPS_FROM = 300.0
START_TAKES = 1.0  # seconds at most, until a process serves


def draw(seed: int, names: list[str], seconds: float, at_once: int = 1, kinds: tuple[str, ...] = ALL) -> list[Fault]:
    """Faults one behind the other, or ``at_once`` such rows side by side; most strike less than half of the nodes."""
    found = []
    forgets_at = -1.0
    for row in range(at_once):
        chance = random.Random(f"{seed} {row} faults")
        at = chance.uniform(0.2, 1.0)
        while at < seconds - REST:
            kind = chance.choice(kinds)
            spans = STOPS if kind == "stop" and seconds >= STOPS_FROM else SPANS
            lasts = min(chance.choice(spans) * chance.uniform(0.7, 1.4), seconds - at)
            if kind in FORGETS:
                if row or at < forgets_at:
                    at += 0.05
                    continue
                forgets_at = at + lasts + 12.0  # until a view has it again
            most = max(1, (len(names) - 1) // 2)
            few = chance.randint(1, most) if kind in ("kill", "stop", "isolated") and not row else 1
            few = {"one_way": 2, "all": len(names)}.get(kind, few)
            found.append(Fault(at, lasts, kind, tuple(sorted(chance.sample(names, few)))))
            at += lasts + chance.uniform(0.2, 2.0)
    return sorted(found, key=lambda fault: fault.at)


class Weathers:
    """Weather of links by several faults at once: the worst of each; and the partner's mood: the last that came."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster, self._usual = cluster, cluster.partner.mood
        self._moods: dict[int, Mood] = {}
        self._told: dict[int, dict[tuple[str, str], Weather]] = {}

    def put(self, fault: int, weathers: dict[tuple[str, str], Weather]) -> None:
        self._told[fault] = weathers
        self._apply()

    def over(self, fault: int) -> None:
        self._told.pop(fault, None)
        self._apply()

    def put_mood(self, fault: int, mood: Mood | None) -> None:
        self._moods.pop(fault, None)
        if mood is not None:
            self._moods[fault] = mood
        self._cluster.partner.mood = next(reversed(self._moods.values()), self._usual)

    def _apply(self) -> None:
        for way, link in self._cluster.mesh.links.items():
            all_ = [weathers[way] for weathers in self._told.values() if way in weathers]
            link.weather = Weather(
                cut=any(one.cut for one in all_),
                loss=max((one.loss for one in all_), default=0.0),
                delay_ms=max((one.delay_ms for one in all_), default=0.0),
                jitter_ms=max((one.jitter_ms for one in all_), default=0.0),
                doubled=max((one.doubled for one in all_), default=0.0),
                spoilt=max((one.spoilt for one in all_), default=0.0),
                bytes_per_s=max((one.bytes_per_s for one in all_), default=0.0),
                cut_at=min((one.cut_at for one in all_ if one.cut_at is not None), default=None),
                refused=any(one.refused for one in all_),
            )


def ways_of(
    kind: str, struck: tuple[str, ...], names: list[str], chance: random.Random
) -> dict[tuple[str, str], Weather]:
    """The weather of each link that a fault of this kind touches."""
    pairs = [(frm, to) for frm in names for to in names if frm != to]
    one = struck[0]
    if kind in ("loss", "late", "doubled", "spoilt", "refused", "trickle"):
        weather = {
            "loss": Weather(loss=chance.choice((0.1, 0.3, 0.6, 0.8))),
            "late": Weather(delay_ms=chance.choice((20, 80)), jitter_ms=chance.choice((50, 200))),
            "doubled": Weather(doubled=0.5),
            "spoilt": Weather(spoilt=0.3),
            "refused": Weather(refused=True),
            "trickle": Weather(bytes_per_s=1000, cut_at=chance.choice((None, 1, 40, 200))),
        }[kind]
        touched = pairs if chance.random() < 0.5 else [way for way in pairs if one in way]
        return {way: weather for way in touched}
    cut = Weather(cut=True)
    place = {name: k for k, name in enumerate(names)}
    half = set(names[: (len(names) + 1) // 2])
    apart: dict[str, Callable[[str, str], bool]] = {
        "outbound_cut": lambda frm, to: frm == one,
        "inbound_cut": lambda frm, to: to == one,
        "one_way": lambda frm, to: frm == one and to == struck[-1],
        "isolated": lambda frm, to: (frm in struck) != (to in struck),
        "flapping": lambda frm, to: one in (frm, to),
        "halves": lambda frm, to: (frm in half) != (to in half),
        "bridge": lambda frm, to: one not in (frm, to) and (frm in half) != (to in half),
        "ring": lambda frm, to: (place[frm] - place[to]) % len(names) not in (1, len(names) - 1),
    }
    return {(frm, to): cut for frm, to in pairs if apart[kind](frm, to)}


async def strike(
    cluster: Cluster, weathers: Weathers, number: int, fault: Fault, seed: int, left: list[str], busy: set[str]
) -> None:
    """Carry one fault out and make it good again. ``busy``: nodes that another process fault has in hand; ``left``
    gets the boots of processes that are told to stop."""
    chance = random.Random(f"{seed} {number} strike")
    if fault.kind in PROCESS:
        ours = [cluster.nodes[name] for name in fault.nodes if name not in busy]
        busy.update(node.name for node in ours)
        try:
            await asyncio.gather(*(_process(fault, cluster, node, left, chance.random()) for node in ours))
        finally:
            busy.difference_update(node.name for node in ours)
    elif fault.kind in MOODS:
        weathers.put_mood(number, MOODS[fault.kind])
        await asyncio.sleep(fault.lasts)
        weathers.put_mood(number, None)
    elif fault.kind in ODD:
        place, values = ODD[fault.kind]
        folders = [cluster.nodes[name].folder for name in fault.nodes]
        for folder in folders:
            odd.put(folder, place, chance.choice(values))
        await asyncio.sleep(fault.lasts)
        for folder in folders:
            odd.put(folder, place, 0.0)
    elif fault.kind in ("replayed", "garbage"):
        await _noise(cluster, fault, chance)
    else:
        told = ways_of(fault.kind, fault.nodes, cluster.names, chance)
        if fault.kind == "flapping":
            for _ in range(max(1, int(fault.lasts / 0.8))):
                weathers.put(number, told)
                await asyncio.sleep(0.4)
                weathers.over(number)
                await asyncio.sleep(0.4)
        else:
            weathers.put(number, told)
            await asyncio.sleep(fault.lasts)
            weathers.over(number)


async def _all_in_view(cluster: Cluster, but: Node) -> bool:
    """Do the others all belong to the view? With fewer, one memory lost may leave no majority that remembers, and
    nobody decides any more: so by design, and not looked for here."""
    looks = await cluster.looks()
    views = [seen.status["view"] for name, seen in looks.items() if name != but.name]
    return len(views) == len(cluster.names) - 1 and all(
        view is not None and len(view["members"]) == len(cluster.names) for view in views
    )


async def _process(fault: Fault, cluster: Cluster, node: Node, left: list[str], share: float) -> None:
    """``share``: of the fault's time or of a start, where it lets that choose."""
    if fault.kind == "stop":
        node.pause()
        await asyncio.sleep(fault.lasts)
        node.go_on()
        return
    if fault.kind == "older":
        node.copy_memory("older")
        await asyncio.sleep(fault.lasts)
    if fault.kind == "term":
        seen = await node.look()
        if seen is not None:
            left.append(seen.status["boot"])
    await node.stop(signal.SIGTERM if fault.kind == "term" else signal.SIGKILL)
    if fault.kind == "early":
        await node.spawn()
        await asyncio.sleep(share * START_TAKES)
        await node.stop(signal.SIGKILL)
    if fault.kind not in FORGETS:
        await asyncio.sleep(fault.lasts * (share if fault.kind == "all" else 1.0))
    if fault.kind in FORGETS and await _all_in_view(cluster, node):
        node.put_memory("older" if fault.kind == "older" else None)
    await node.start()


async def _noise(cluster: Cluster, fault: Fault, chance: random.Random) -> None:
    """Frames that were sent once are sent again, or bytes that are none, to one node from all others."""
    to = fault.nodes[0]
    links = [link for (_, name), link in cluster.mesh.links.items() if name == to]
    if fault.kind == "replayed":
        # Each has recorders of its own: another such fault may begin or end meanwhile.
        recorders = [(link, deque(maxlen=256)) for link in links]
        for link, recorder in recorders:
            link.recorders.append(recorder)
        await asyncio.sleep(fault.lasts)
        for link, recorder in recorders:
            link.recorders = [one for one in link.recorders if one is not recorder]
            for data in recorder:
                link.send(data)
        return
    for _ in range(200):
        data = chance.randbytes(chance.choice((0, 1, 9, 40, 1200)))
        if chance.random() < 0.5:
            data = frame.MAGIC + bytes([frame.VERSION]) + data  # as if ours, of any length and any cluster
        chance.choice(links).send(data)
        await asyncio.sleep(fault.lasts / 200)
