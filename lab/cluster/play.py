"""One run on real processes: start the nodes, inject faults, wait for a common view, and check what was observed."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

from lab.clients import LoadGenerator
from lab.cluster.faults import ActiveFaults, Fault, inject
from lab.cluster.judge import Verdict, ViewChecker
from lab.cluster.nodes import Cluster, StatusObservation
from lab.cluster.plot import StatusTimeline
from lab.demo import DESTINATIONS
from lab.rules import check_rules as check_messages

POLL_INTERVAL_S = 0.05
MAX_CLOCK_DRIFT = 0.01
FORM_TIMEOUT_S, SETTLE_TIMEOUT_S, MESSAGES_TIMEOUT_S = 30.0, 30.0, 40.0


@dataclass
class RunResult:
    """``sent_bytes`` and ``sent_datagrams``: traffic between the nodes, per node and second."""

    verdict: Verdict
    timeline: StatusTimeline = field(default_factory=StatusTimeline)
    faults: list[tuple[float, Fault]] = field(default_factory=list)  # start time in monotonic seconds, and the fault
    formed_s: float = 0.0
    settled_s: float = 0.0
    sent_bytes: float = 0.0
    sent_datagrams: float = 0.0
    messages: dict = field(default_factory=dict)


async def _watch(cluster: Cluster, observe: Callable[[StatusObservation], None]) -> None:
    """Poll every node by a task of its own, so that a node without answer delays no other."""

    async def watch_node(name: str) -> None:
        while True:
            node = cluster.nodes[name]
            if node.running:
                observation = await node.query_status()
                if observation is not None:
                    observe(observation)
            await asyncio.sleep(POLL_INTERVAL_S)

    await asyncio.gather(*(watch_node(name) for name in cluster.names))


async def play(
    folder: Path,
    count: int,
    seed: int,
    faults: list[Fault],
    say: Callable[[str], None],
    rate: float = 20.0,
    probe_ms: int = 500,
) -> RunResult:
    """Inject these faults into ``count`` nodes, with ``rate`` messages a second to each."""
    stopped_boots: list[str] = []
    checker, result = ViewChecker(), RunResult(Verdict())

    def observe(observation: StatusObservation) -> None:
        checker.observe(observation)
        result.timeline.observe(observation)

    async with Cluster(folder, count, seed, probe_ms, MAX_CLOCK_DRIFT) as cluster:
        started_at = time.monotonic()
        await cluster.start()
        watch = asyncio.create_task(_watch(cluster, observe))
        try:
            formed = await cluster.wait_for_agreement(cluster.names, FORM_TIMEOUT_S)
            result.formed_s = time.monotonic() - started_at
            if formed is None:
                result.verdict = checker.verdict(stopped_boots)
                result.verdict.breaches.append(f"no view of all nodes within {FORM_TIMEOUT_S:.0f} s of the start")
                return result
            say(
                f"{0:5.1f} s  {count} nodes formed view {formed[cluster.names[0]].status['view']['number']} "
                f"{result.formed_s:.1f} s after their start"
            )
            seconds = max((fault.start_s + fault.duration_s for fault in faults), default=2.0)
            generators = [
                LoadGenerator(node.port, seed + index, DESTINATIONS, connections=4, left=12.0)
                for index, node in enumerate(cluster.nodes.values())
            ]
            load_tasks = [
                asyncio.create_task(generator.run(range(int(seconds * rate)), rate)) for generator in generators if rate
            ]
            active_faults, busy = ActiveFaults(cluster), set()
            started_at = time.monotonic()

            async def run_fault(number: int, fault: Fault) -> None:
                await asyncio.sleep(max(0.0, started_at + fault.start_s - time.monotonic()))
                say(str(fault))
                result.faults.append((time.monotonic(), fault))
                await inject(cluster, active_faults, number, fault, seed, stopped_boots, busy)

            await asyncio.gather(*(run_fault(number, fault) for number, fault in enumerate(faults)))
            cluster.mesh.restore_all()
            faults_ended_at = time.monotonic()
            settled = await cluster.wait_for_agreement(cluster.names, SETTLE_TIMEOUT_S)
            result.settled_s = time.monotonic() - faults_ended_at
            await asyncio.gather(*load_tasks)
            elapsed = time.monotonic() - started_at
            sent = [cluster.mesh.sent_by(name) for name in cluster.names]
            result.sent_bytes = sum(one.bytes for one in sent) / elapsed / count
            result.sent_datagrams = sum(one.datagrams for one in sent) / elapsed / count
            message_report = await _message_outcomes(cluster, generators) if rate else None
        finally:
            watch.cancel()
        result.verdict = checker.verdict(stopped_boots)
        if settled is None:
            observations = await cluster.query_all()
            details = "; ".join(
                f"{name}: {observation.status['standing']}, view {(observation.status['view'] or {}).get('number')}, "
                f"votes {observation.status['votes']}"
                for name, observation in sorted(observations.items())
            )
            result.verdict.breaches.append(
                f"not one view of all {SETTLE_TIMEOUT_S:.0f} s after the last fault: {details}"
            )
        if message_report is not None:
            result.messages = message_report.table
            result.verdict.breaches += message_report.breaches
    return result


async def _message_outcomes(cluster: Cluster, generators: list[LoadGenerator]):
    """Check the outcomes of the messages, once all have one, by the partner's calls and the final statuses."""
    nodes = list(cluster.nodes.values())
    deadline = time.monotonic() + MESSAGES_TIMEOUT_S
    sent = {id_: one for generator in generators for id_, one in generator.sent.items()}
    accepted = {id_ for id_, one in sent.items() if one.status == 202}
    while time.monotonic() < deadline:
        finals: dict[str, list[str]] = {}
        for node in nodes:
            for id_, statuses in node.finals().items():
                finals.setdefault(id_, []).extend(statuses)
        served = {call.id for call in cluster.partner.calls if call.status == 200}
        if accepted <= served | set(finals):
            break
        await asyncio.sleep(0.2)
    return check_messages(sent, cluster.partner.calls, finals)
