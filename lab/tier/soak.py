"""``python -m lab.tier.soak``: real relays under signals, against endpoints that are full and repeat answers late.

Each run draws from its seed: how full the endpoints are and how often they repeat an answer, whether there are kills
and freezes beside the planned work (with ``--controls 4`` or more also kills of several voters), all disturbances,
and the changes of the routes, which are written in drawn ways, and some sent with a fault before. Clients keep their
connections until the relay closes them, for calls and for conversations on the routes that change; the load of
``upgrade_load`` adds conversations on a route that stays, further calls and the operator; others resume streams that
break off. Streams are framed by chunks, a length or the connection's end. With ``--pausing-clients N`` and
``--seconds`` of 75 or more, N clients pause for as long as their turns are stored, and with ``--idle-routes N`` the
configuration has N routes more. With ``--crowding-clients N``, N clients use up descriptors and memory, which are
limited then, and the peaks of the processes' memory are judged. The processes run on disks of a fixed speed
(``steady_disk``). A seed repeats what a run draws; when that happens depends on the machine.
Exit code 1 if a rule was broken.
"""

from __future__ import annotations

import argparse
import asyncio
import logging
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random

from lab.tier.changing_routes import ChangingRoutes, idle_routes, lost_turns
from lab.tier.conditions import overload_endpoints, relieve_endpoints, vary_framing
from lab.tier.configuration_grammar import ConfigurationGrammar
from lab.tier.crowding_clients import BODY_BYTES, CrowdingClients
from lab.tier.disturbances import CONTROL_SHARE, Disturber
from lab.tier.fakes import FakeEndpoint
from lab.tier.line_clients import PAUSING, RESUMING, LineClients
from lab.tier.local import LocalTier, free_network
from lab.tier.memory_watch import MemoryWatch
from lab.tier.persistent_clients import PersistentClients
from lab.tier.persistent_conversations import PersistentConversations
from lab.tier.resumable_turns import tag_events
from lab.tier.simulated_tier import MODEL, TOOLS
from lab.tier.soak_rules import SoakChecker
from lab.tier.upgrade_load import Load
from lab.tier.upgrade_rules import request_violations

DEFAULT_SECONDS = 15.0
DEFAULT_RELAYS, DEFAULT_CONTROLS = 4, 3
CLIENTS, CONVERSATION_CLIENTS, RESUMING_CLIENTS = 16, 8, 6
PAUSE_TIMEOUT_S = 25.0
PLANNED_ONLY_SHARE = 0.5  # share of the seeds without kills and freezes
EXPIRY_SHARE = 0.75  # share of the seeds with clients that pause in which turns expire, as explained below
RARE_CHANGE_PAUSE_S = 20.0
"""Turns are retained anew by a new primary, and for as long as any route says if the configuration changes meanwhile.

In seeds in which they are to expire no control member is disturbed, and changes are that rare.
"""
MAX_PRINTED = 20
CROWDED_MEMORY_MB, CROWDED_DESCRIPTORS = 160, 160  # memory: the least of all deployments
FAULT_LOG_WORDS = (
    "Traceback",
    "Task was destroyed",
    "bad_message",
    "configuration_unusable",
    "settings_unusable",
    "never retrieved",
)


@dataclass(frozen=True)
class SoakSize:
    """``seconds``: for how long a run disturbs; the others are numbers of processes, clients and routes.

    ``idle_routes``: routes that no client uses, of some 190 bytes each.
    """

    seconds: float = DEFAULT_SECONDS
    relays: int = DEFAULT_RELAYS
    controls: int = DEFAULT_CONTROLS
    clients: int = CLIENTS
    conversation_clients: int = CONVERSATION_CLIENTS
    resuming_clients: int = RESUMING_CLIENTS
    pausing_clients: int = 0
    idle_routes: int = 0
    crowding_clients: int = 0


@dataclass(frozen=True)
class SoakResult:
    """The observations of one run, and the rules that it broke."""

    seed: int
    violations: list[str]
    statuses: Counter[int]
    disturbances: Counter[str]
    late_answers: int
    changes: int
    faulty_changes: Counter[int]
    turns: int
    routed_turns: Counter[int]
    resumable_turns: int
    resumed_turns: int
    paused_turns: int
    expired_turns: int
    crowds: int
    peak_memory_mb: int

    def __str__(self) -> str:
        """A summary on one line."""
        statuses = ", ".join(f"{status or 'none'}: {count}" for status, count in sorted(self.statuses.items()))
        disturbances = ", ".join(f"{kind} {count}" for kind, count in sorted(self.disturbances.items()))
        routed = ", ".join(f"{status or 'none'}: {count}" for status, count in sorted(self.routed_turns.items()))
        return (
            f"seed {self.seed}: {len(self.violations)} violations; persistent connections {statuses};"
            f" turns on changing routes {routed}; {self.turns} other turns; {self.late_answers} late answers;"
            f" {self.resumable_turns} resumable turns, {self.resumed_turns} resumed;"
            f" {self.paused_turns} turns of clients that pause, {self.expired_turns} times too long;"
            f" {self.crowds} crowds, peak of memory {self.peak_memory_mb} MB;"
            f" {disturbances}; {self.changes} changes, {self.faulty_changes.total()} more with a fault"
        )


class Soak:
    """One run: a tier, its load, its clients and the disturbances of its processes."""

    def __init__(self, seed: int, size: SoakSize, folder: Path) -> None:
        self.seed = seed
        self._size = size
        self._folder = folder
        self._random = Random(f"soak {seed}")
        self._tier = LocalTier(
            folder,
            free_network(self._random),
            controls=size.controls,
            relays=size.relays,
            steady_disk=True,
            memory_mb=CROWDED_MEMORY_MB if size.crowding_clients else None,
            descriptors=CROWDED_DESCRIPTORS if size.crowding_clients else None,
        )
        self._memory = MemoryWatch(lambda: {name: one.pid for name, one in self._tier.processes.items()})
        self._late_answers = 0
        self._streams_break_off = False
        planned_only = self._random.random() < PLANNED_ONLY_SHARE
        max_body_bytes = BODY_BYTES if size.crowding_clients else None
        self._routes = ChangingRoutes(Random(f"routes {seed}"), TOOLS, max_body_bytes)
        self._load = Load(self._tier, Random(f"load {seed}"), self._routes, ConfigurationGrammar(f"soak {seed}"))
        talks = Random(f"conversations {seed}")
        self._load.idle_routes = idle_routes(size.idle_routes)
        self._conversations = PersistentConversations(self._tier, self._routes, talks, size.conversation_clients)
        self._clients = PersistentClients(self._tier, Random(f"clients {seed}"), size.clients)
        self._resuming = LineClients(self._tier, Random(f"resuming {seed}"), size.resuming_clients, RESUMING)
        self._pausing = LineClients(self._tier, Random(f"pausing {seed}"), size.pausing_clients, PAUSING)
        self._crowds = CrowdingClients(self._tier, Random(f"crowds {seed}"), size.crowding_clients)
        self._all_clients = (self._crowds, self._clients, self._conversations, self._resuming, self._pausing)
        control_share = CONTROL_SHARE
        if size.pausing_clients and self._random.random() < EXPIRY_SHARE:
            control_share, self._load.max_change_pause_s = 0.0, RARE_CHANGE_PAUSE_S
        self._disturber = Disturber(self._tier, Random(f"disturbances {seed}"), planned_only, control_share)

    async def run(self) -> SoakResult:
        """Play the run and check it. Raises TimeoutError if the tier does not become healthy."""
        violations: list[str] = []
        try:
            await self._tier.start()
            self._overload()
            async with asyncio.TaskGroup() as group:
                memory_watch = group.create_task(self._memory.run())
                self._load.begin(group)
                self._load.resume()
                for clients in self._all_clients:
                    clients.begin(group)
                try:
                    await self._disturber.run(self._size.seconds)
                except TimeoutError as error:
                    violations.append(str(error))
                for clients in self._all_clients:
                    clients.cancel()
                relieve_endpoints(self._tier.endpoints)
                await self._load.pause(PAUSE_TIMEOUT_S)
                self._load.cancel()
                memory_watch.cancel()
            violations += self._violations()
        finally:
            self._tier.stop()
        violations += self._log_lines()
        statuses = Counter(request.status if request.complete else 0 for request in self._clients.requests)
        return SoakResult(
            self.seed,
            violations,
            statuses,
            self._disturber.counts,
            self._late_answers,
            sum(change.acknowledged for change in self._load.changes),
            self._load.faulty_changes,
            len(self._load.turns) - sum(turn.status not in (404, 410) for turn in self._conversations.turns),
            Counter(turn.status for turn in self._conversations.turns),
            self._resuming.turns,
            self._resuming.resumed,
            self._pausing.turns,
            self._pausing.expired,
            self._crowds.crowds,
            max(self._memory.peaks_mb.values(), default=0),
        )

    def _overload(self) -> None:
        overload_endpoints(self._tier.endpoints, Random(f"crowd {self.seed}"))
        spare_one_model_endpoint(self._tier.endpoints)
        vary_framing(self._tier.endpoints, Random(f"framing {self.seed}"))
        tag_events(self._tier.endpoints, {kind.path_prefix: kind.events for kind in (RESUMING, PAUSING)})
        self._streams_break_off = any(endpoint.ends_within_event for endpoint in self._tier.endpoints)
        for endpoint in self._tier.endpoints:
            endpoint.repeats_late = self._counted(endpoint.repeats_late)

    def _counted(self, repeats_late: Callable[[], bool]) -> Callable[[], bool]:
        """Count the late answers that ``repeats_late`` decides on."""

        def repeats() -> bool:
            late = repeats_late()
            self._late_answers += late
            return late

        return repeats

    def _violations(self) -> list[str]:
        checker = SoakChecker(
            self._clients.requests,
            self._tier.endpoints,
            self._streams_break_off,
            self._disturber.log,
            self._load.stalls,
        )
        never_ended = [request for clients in self._all_clients for request in clients.unanswered]
        unanswered = [f"UNANSWERED {one.request_id} {one.path} at {one.relay}" for one in never_ended]
        conversations = self._conversations.turns
        lost = lost_turns(turn.judged() for turn in conversations if turn.request.ended_at)
        # Whether a 404 was allowed is judged above; the checker of histories knows no routes that come and go.
        self._load.turns += [turn.observed() for turn in conversations if turn.status not in (404, 410)]
        loads = request_violations(self._tier.endpoints, self._load) + self._load.faults
        endpoints = self._tier.endpoints
        lines = [*self._resuming.violations(endpoints), *self._pausing.violations(endpoints)]
        return [
            *self._disturber.faults,
            *self._exceeded_memory(),
            *checker.violations(),
            *lost,
            *unanswered,
            *loads,
            *lines,
        ]

    def _exceeded_memory(self) -> list[str]:
        limit_mb = self._tier.memory_mb
        peaks = self._memory.peaks_mb.items()
        return [f"MEMORY {name}: {peak} of {limit_mb} MB" for name, peak in peaks if limit_mb and peak > limit_mb]

    def _log_lines(self) -> list[str]:
        logs = sorted(self._folder.glob("*.log"))
        return [f"{path.stem}: {fault}" for path in logs for fault in logged_faults(path.read_text(errors="replace"))]


def spare_one_model_endpoint(endpoints: list[FakeEndpoint]) -> None:
    """Let one endpoint of the model end its streams properly if none does, as no turn could be complete otherwise."""
    models = [endpoint for endpoint in endpoints if endpoint.endpoint.backend == MODEL]
    if all(endpoint.ends_within_event for endpoint in models):
        models[0].ends_within_event = False


def logged_faults(text: str) -> list[str]:
    """The lines of a log that tell of a fault; a traceback is one of them, with all of its lines."""
    faults: list[str] = []
    in_traceback = False
    for line in text.splitlines():
        if in_traceback:
            faults[-1] += f"\n    {line}"
            in_traceback = line.startswith(" ")
        elif any(word in line for word in FAULT_LOG_WORDS):
            faults.append(line)
            in_traceback = "Traceback" in line
    return faults


def play(seed: int, size: SoakSize) -> SoakResult:
    """Play one run in a temporary folder."""
    with tempfile.TemporaryDirectory(prefix="soak-") as folder:
        return asyncio.run(Soak(seed, size, Path(folder)).run())


def main() -> int:
    """Play the runs of a range of seeds. Exit code 1 if a rule was broken."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("first", type=int, help="first seed")
    parser.add_argument("last", type=int, help="last seed")
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS, help="how long each run disturbs")
    parser.add_argument("--relays", type=int, default=DEFAULT_RELAYS)
    parser.add_argument("--controls", type=int, default=DEFAULT_CONTROLS)
    parser.add_argument("--clients", type=int, default=CLIENTS)
    parser.add_argument("--pausing-clients", type=int, default=0)
    parser.add_argument("--crowding-clients", type=int, default=0)
    parser.add_argument("--idle-routes", type=int, default=0, help="routes that no client uses, for a large body")
    options = parser.parse_args()
    logging.disable(logging.CRITICAL)
    size = SoakSize(
        options.seconds,
        options.relays,
        options.controls,
        options.clients,
        pausing_clients=options.pausing_clients,
        idle_routes=options.idle_routes,
        crowding_clients=options.crowding_clients,
    )
    broken = 0
    started_at = time.monotonic()
    for seed in range(options.first, options.last + 1):
        result = play(seed, size)
        broken += bool(result.violations)
        print(result, flush=True)
        for violation in result.violations[:MAX_PRINTED]:
            print(f"  {violation}", flush=True)
    count = options.last - options.first + 1
    print(f"{count} runs, {broken} with violations, {time.monotonic() - started_at:.0f} s", flush=True)
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
