"""Fault schedules drawn from a seed, and the injection of each fault into a running cluster."""

from __future__ import annotations

import asyncio
import random
import signal
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from lab.cluster import odd
from lab.cluster.links import LinkConditions
from lab.cluster.nodes import Cluster, Node
from lab.partner import EndpointBehaviour
from lynxscale.relay.cluster import frame


@dataclass(frozen=True, slots=True)
class Fault:
    """One scheduled fault and the nodes that it affects. ``start_s`` counts from the start of the run."""

    start_s: float
    duration_s: float
    kind: str
    nodes: tuple[str, ...]

    def __str__(self) -> str:
        return f"{self.start_s:5.1f} s  {self.kind} {' '.join(self.nodes)}, for {self.duration_s:.1f} s"


# Faults of processes: ``early`` kills a process while it starts, ``all`` kills all nodes at once. Those of
# STATE_LOSS_FAULTS take a node's durable state away, one node at a time, so that a majority always has its state.
PROCESS_FAULTS = ("kill", "stop", "term", "early", "all", "forget", "older")
STATE_LOSS_FAULTS = ("forget", "older")
LINK_FAULTS = (
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
# Faults of the partner, which affect all nodes.
PARTNER_FAULTS = {
    "slow_partner": EndpointBehaviour(latency_ms=400),
    "refusing_partner": EndpointBehaviour(refusing=0.5, wait_s=0.2),
    "failing_partner": EndpointBehaviour(failing=0.2, dropping=0.1),
}
# Faults of a node's wall clock (offset in seconds) and of its disk (seconds for each sync).
SYSTEM_FAULTS = {"wall": (odd.WALL_CLOCK_OFFSET, (-3600.0, 3600.0)), "slow_disk": (odd.SYNC_DELAY, (0.05, 0.2, 0.6))}
ENVIRONMENT_FAULTS = (*PARTNER_FAULTS, *SYSTEM_FAULTS)
ALL = PROCESS_FAULTS + LINK_FAULTS + ENVIRONMENT_FAULTS
QUIET_END_S = 1.0  # no fault starts this close to the end
DURATIONS_S = (0.3, 1.0, 3.0, 6.0)
# Runs of at least LONG_RUN_S pause processes for these durations instead.
LONG_RUN_PAUSES_S = (0.1, *DURATIONS_S, 20.0, 42.0)
LONG_RUN_S = 300.0
MAX_START_S = 1.0  # upper bound of the time that a process takes to start


def draw(seed: int, names: list[str], seconds: float, at_once: int = 1, kinds: tuple[str, ...] = ALL) -> list[Fault]:
    """Draw ``at_once`` concurrent sequences of faults. Most faults affect less than half of the nodes."""
    faults = []
    state_loss_allowed_at = -1.0
    for sequence in range(at_once):
        rng = random.Random(f"{seed} {sequence} faults")
        at = rng.uniform(0.2, 1.0)
        while at < seconds - QUIET_END_S:
            kind = rng.choice(kinds)
            durations = LONG_RUN_PAUSES_S if kind == "stop" and seconds >= LONG_RUN_S else DURATIONS_S
            duration_s = min(rng.choice(durations) * rng.uniform(0.7, 1.4), seconds - at)
            if kind in STATE_LOSS_FAULTS:
                if sequence or at < state_loss_allowed_at:
                    at += 0.05
                    continue
                state_loss_allowed_at = at + duration_s + 12.0  # until the node is a member of a view again
            max_targets = max(1, (len(names) - 1) // 2)
            target_count = rng.randint(1, max_targets) if kind in ("kill", "stop", "isolated") and not sequence else 1
            target_count = {"one_way": 2, "all": len(names)}.get(kind, target_count)
            faults.append(Fault(at, duration_s, kind, tuple(sorted(rng.sample(names, target_count)))))
            at += duration_s + rng.uniform(0.2, 2.0)
    return sorted(faults, key=lambda fault: fault.start_s)


class ActiveFaults:
    """Combines concurrent faults: each link gets the worst conditions, the partner the behaviour that was set last."""

    def __init__(self, cluster: Cluster) -> None:
        self._cluster, self._default_behaviour = cluster, cluster.partner.behaviour
        self._behaviours: dict[int, EndpointBehaviour] = {}
        self._conditions: dict[int, dict[tuple[str, str], LinkConditions]] = {}

    def set_conditions(self, fault: int, conditions: dict[tuple[str, str], LinkConditions]) -> None:
        self._conditions[fault] = conditions
        self._apply()

    def remove(self, fault: int) -> None:
        self._conditions.pop(fault, None)
        self._apply()

    def set_partner_behaviour(self, fault: int, behaviour: EndpointBehaviour | None) -> None:
        self._behaviours.pop(fault, None)
        if behaviour is not None:
            self._behaviours[fault] = behaviour
        self._cluster.partner.behaviour = next(reversed(self._behaviours.values()), self._default_behaviour)

    def _apply(self) -> None:
        for pair, link in self._cluster.mesh.links.items():
            active = [conditions[pair] for conditions in self._conditions.values() if pair in conditions]
            link.conditions = LinkConditions(
                cut=any(one.cut for one in active),
                loss=max((one.loss for one in active), default=0.0),
                delay_ms=max((one.delay_ms for one in active), default=0.0),
                jitter_ms=max((one.jitter_ms for one in active), default=0.0),
                duplicated=max((one.duplicated for one in active), default=0.0),
                corrupted=max((one.corrupted for one in active), default=0.0),
                bytes_per_s=max((one.bytes_per_s for one in active), default=0.0),
                reset_after_bytes=min(
                    (one.reset_after_bytes for one in active if one.reset_after_bytes is not None), default=None
                ),
                refused=any(one.refused for one in active),
            )


def conditions_of(
    kind: str, targets: tuple[str, ...], names: list[str], rng: random.Random
) -> dict[tuple[str, str], LinkConditions]:
    """The conditions of each link that a fault of this kind affects."""
    pairs = [(source, to) for source in names for to in names if source != to]
    target = targets[0]
    if kind in ("loss", "late", "doubled", "spoilt", "refused", "trickle"):
        conditions = {
            "loss": LinkConditions(loss=rng.choice((0.1, 0.3, 0.6, 0.8))),
            "late": LinkConditions(delay_ms=rng.choice((20, 80)), jitter_ms=rng.choice((50, 200))),
            "doubled": LinkConditions(duplicated=0.5),
            "spoilt": LinkConditions(corrupted=0.3),
            "refused": LinkConditions(refused=True),
            "trickle": LinkConditions(bytes_per_s=1000, reset_after_bytes=rng.choice((None, 1, 40, 200))),
        }[kind]
        affected = pairs if rng.random() < 0.5 else [pair for pair in pairs if target in pair]
        return {pair: conditions for pair in affected}
    cut = LinkConditions(cut=True)
    position = {name: k for k, name in enumerate(names)}
    half = set(names[: (len(names) + 1) // 2])
    is_cut: dict[str, Callable[[str, str], bool]] = {
        "outbound_cut": lambda source, to: source == target,
        "inbound_cut": lambda source, to: to == target,
        "one_way": lambda source, to: source == target and to == targets[-1],
        "isolated": lambda source, to: (source in targets) != (to in targets),
        "flapping": lambda source, to: target in (source, to),
        "halves": lambda source, to: (source in half) != (to in half),
        "bridge": lambda source, to: target not in (source, to) and (source in half) != (to in half),
        "ring": lambda source, to: (position[source] - position[to]) % len(names) not in (1, len(names) - 1),
    }
    return {(source, to): cut for source, to in pairs if is_cut[kind](source, to)}


async def inject(
    cluster: Cluster,
    active_faults: ActiveFaults,
    number: int,
    fault: Fault,
    seed: int,
    stopped_boots: list[str],
    busy: set[str],
) -> None:
    """Inject one fault, wait for its duration, and undo it.

    ``busy``: nodes that a process fault affects at the moment; others skip them. ``stopped_boots`` collects the boot
    ids of processes that are asked to stop.
    """
    rng = random.Random(f"{seed} {number} strike")
    if fault.kind in PROCESS_FAULTS:
        nodes = [cluster.nodes[name] for name in fault.nodes if name not in busy]
        busy.update(node.name for node in nodes)
        try:
            await asyncio.gather(
                *(_inject_process_fault(fault, cluster, node, stopped_boots, rng.random()) for node in nodes)
            )
        finally:
            busy.difference_update(node.name for node in nodes)
    elif fault.kind in PARTNER_FAULTS:
        active_faults.set_partner_behaviour(number, PARTNER_FAULTS[fault.kind])
        await asyncio.sleep(fault.duration_s)
        active_faults.set_partner_behaviour(number, None)
    elif fault.kind in SYSTEM_FAULTS:
        slot, values = SYSTEM_FAULTS[fault.kind]
        folders = [cluster.nodes[name].folder for name in fault.nodes]
        for folder in folders:
            odd.set_value(folder, slot, rng.choice(values))
        await asyncio.sleep(fault.duration_s)
        for folder in folders:
            odd.set_value(folder, slot, 0.0)
    elif fault.kind in ("replayed", "garbage"):
        await _inject_frames(cluster, fault, rng)
    else:
        conditions = conditions_of(fault.kind, fault.nodes, cluster.names, rng)
        if fault.kind == "flapping":
            for _ in range(max(1, int(fault.duration_s / 0.8))):
                active_faults.set_conditions(number, conditions)
                await asyncio.sleep(0.4)
                active_faults.remove(number)
                await asyncio.sleep(0.4)
        else:
            active_faults.set_conditions(number, conditions)
            await asyncio.sleep(fault.duration_s)
            active_faults.remove(number)


async def _all_in_view(cluster: Cluster, excluded: Node) -> bool:
    """Whether all other nodes are members of a complete view. With fewer of them, the loss of one node's state may
    leave no majority that has its state, and no view can be decided any more; that is by design and not tested here."""
    observations = await cluster.query_all()
    views = [observation.status["view"] for name, observation in observations.items() if name != excluded.name]
    return len(views) == len(cluster.names) - 1 and all(
        view is not None and len(view["members"]) == len(cluster.names) for view in views
    )


async def _inject_process_fault(
    fault: Fault, cluster: Cluster, node: Node, stopped_boots: list[str], fraction: float
) -> None:
    """``fraction``: of the fault's duration or of a process start, for kinds whose timing is drawn."""
    if fault.kind == "stop":
        node.pause()
        await asyncio.sleep(fault.duration_s)
        node.resume()
        return
    if fault.kind == "older":
        node.backup_state("older")
        await asyncio.sleep(fault.duration_s)
    if fault.kind == "term":
        observation = await node.query_status()
        if observation is not None:
            stopped_boots.append(observation.status["boot"])
    await node.stop(signal.SIGTERM if fault.kind == "term" else signal.SIGKILL)
    if fault.kind == "early":
        await node.spawn()
        await asyncio.sleep(fraction * MAX_START_S)
        await node.stop(signal.SIGKILL)
    if fault.kind not in STATE_LOSS_FAULTS:
        await asyncio.sleep(fault.duration_s * (fraction if fault.kind == "all" else 1.0))
    if fault.kind in STATE_LOSS_FAULTS and await _all_in_view(cluster, node):
        node.restore_state("older" if fault.kind == "older" else None)
    await node.start()


async def _inject_frames(cluster: Cluster, fault: Fault, rng: random.Random) -> None:
    """Send recorded frames again (``replayed``), or bytes that are no valid frame, to one node from all others."""
    to = fault.nodes[0]
    links = [link for (_, name), link in cluster.mesh.links.items() if name == to]
    if fault.kind == "replayed":
        # Each fault has its own recorders, since another replay may begin or end meanwhile.
        recorders = [(link, deque(maxlen=256)) for link in links]
        for link, recorder in recorders:
            link.recorders.append(recorder)
        await asyncio.sleep(fault.duration_s)
        for link, recorder in recorders:
            link.recorders = [one for one in link.recorders if one is not recorder]
            for data in recorder:
                link.send(data)
        return
    for _ in range(200):
        data = rng.randbytes(rng.choice((0, 1, 9, 40, 1200)))
        if rng.random() < 0.5:
            data = frame.MAGIC + bytes([frame.VERSION]) + data  # a valid magic and version, then random bytes
        rng.choice(links).send(data)
        await asyncio.sleep(fault.duration_s / 200)
