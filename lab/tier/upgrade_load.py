"""Steady load on a tier of real processes, and the observations of its clients and its operator.

Programs hold conversations of retained turns, other clients call safe and unsafe tools and open streams, and an
operator replaces and updates the configuration. Clients use only relays whose readiness check succeeds.
"""

from __future__ import annotations

import asyncio
import contextlib
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from random import Random

import msgspec

from lab.tier.changing_routes import ChangingRoutes, resumable_route
from lab.tier.configuration_grammar import ConfigurationGrammar
from lab.tier.history_checker import MAX_TOKENS, ObservedChange, ObservedTurn
from lab.tier.judge_wait import POLL_INTERVAL_S, lateness_s, wait_until
from lab.tier.local import LocalTier
from lab.tier.simulated_tier import default_configuration
from lynxscale.runtime.http_types import Response

CONVERSATION_CLIENTS, CALL_CLIENTS = 6, 2
NEW_CONVERSATIONS_PER_PHASE = 6  # started whenever the load resumes
LARGE_BUDGET, SMALL_BUDGET = 10_000_000, 5 * MAX_TOKENS
BUDGET_SPENT_STATUS = 402
UNDECIDED_STATUS = 503
REFUSED_STATUSES = (400, 412)
RETENTION_S = 900.0  # longer than any run
BRANCH_PROBABILITY = 1 / 6  # probability that a turn continues a random earlier turn, not the last
MAX_PAUSE_S = 0.2  # pause between two requests of a client; sets the rate of the load
MAX_CHANGE_PAUSE_S = 0.4
CHANGE_TIMEOUT_S = 60.0  # longer than any time for which all processes are stopped
CHANGE_RETRY_INTERVAL_S = 0.3
CALL_PATHS = ("/book/1", "/look/1")
STREAM_PATH = "/open/stream"


@dataclass(frozen=True)
class ClientResult:
    """A response as a client received it. ``status`` 0: no complete response was received."""

    status: int
    body: bytes

    @property
    def complete(self) -> bool:
        """Whether the response is complete."""
        return self.status != 0


@dataclass
class Conversation:
    """A program and its complete turns, oldest first. ``busy``: a turn is in flight; ``exhausted``: budget spent."""

    program: str
    budget: int
    complete_turns: list[ObservedTurn] = field(default_factory=list)
    busy: bool = False
    exhausted: bool = False


@dataclass(frozen=True)
class Sent:
    """One request that ended: its times, the relay or control member that it was sent to, and its status."""

    kind: str
    request_id: str
    process: str
    started_at: float
    ended_at: float
    status: int

    @property
    def failed(self) -> bool:
        """Whether the request failed. A rejection for a spent budget and an undecided change are not failures."""
        return self.status not in (200, BUDGET_SPENT_STATUS) and not self.undecided

    @property
    def undecided(self) -> bool:
        """Whether this is a change that was answered 503 during a failover; the operator sends it again."""
        return self.kind == "change" and self.status == UNDECIDED_STATUS


class Load:
    """The clients and the operator of one tier, with all their observations."""

    def __init__(
        self,
        tier: LocalTier,
        random: Random,
        routes: ChangingRoutes | None = None,
        grammar: ConfigurationGrammar | None = None,
    ) -> None:
        """``routes``: if given, each change of the configuration is a change of these routes.

        ``grammar``: if given, it draws how configurations are written, and some with a fault are sent.
        """
        self.tier = tier
        self.random = random
        self.routes = routes
        self._grammar = grammar
        self.faulty_changes: Counter[int] = Counter()  # by status
        self.idle_routes: list[dict] = []  # routes that all changes add, and that no client uses
        self.max_change_pause_s = MAX_CHANGE_PAUSE_S
        self.conversations: list[Conversation] = []
        self.turns: list[ObservedTurn] = []
        self.calls: list[tuple[str, ClientResult]] = []
        self.streams: list[tuple[str, ClientResult]] = []
        self.changes: list[ObservedChange] = [ObservedChange(0, default_configuration())]
        self.sent: list[Sent] = []
        self.faults: list[str] = []
        self.primaries: list[tuple[float, str]] = []  # time and name of each new primary
        self.stalls: list[tuple[float, float]] = []  # begin and end of times in which this process was not scheduled
        self._ready: list[str] = []
        self._sending = asyncio.Event()
        self._active_requests = 0
        self._number = 0
        self._tasks: list[asyncio.Task] = []

    # Begin and end -----------------------------------------------------------------------------------

    def begin(self, group: asyncio.TaskGroup) -> None:
        """Start all clients as tasks of a group; an exception in one of them ends the group."""
        workers = [self._watch_readiness(), self._watch_primary(), self._watch_stalls()]
        workers += [self._repeat(self._send_random_turn, MAX_PAUSE_S) for _ in range(CONVERSATION_CLIENTS)]
        workers += [self._repeat(self._call, MAX_PAUSE_S) for _ in range(CALL_CLIENTS)]
        workers.append(self._repeat(self.change, self.max_change_pause_s))
        self._tasks = [group.create_task(worker) for worker in workers]

    def resume(self) -> None:
        """Let clients send requests, and add new conversations."""
        for number in range(NEW_CONVERSATIONS_PER_PHASE):
            budget = SMALL_BUDGET if number == 0 else LARGE_BUDGET
            self.conversations.append(Conversation(f"program-{len(self.conversations)}", budget))
        self._sending.set()

    async def pause(self, timeout_s: float) -> None:
        """Stop sending requests, and wait until all requests in flight have ended."""
        self._sending.clear()

        async def quiet() -> bool:
            return self._active_requests == 0

        await wait_until(quiet, timeout_s, "all requests of the load end")

    def cancel(self) -> None:
        """Cancel the tasks of all clients."""
        for task in self._tasks:
            task.cancel()

    async def _repeat(self, send_one: Callable[[], Awaitable[None]], max_pause_s: float) -> None:
        while True:
            await self._sending.wait()
            self._active_requests += 1
            try:
                await send_one()
            finally:
                self._active_requests -= 1
            await asyncio.sleep(self.random.uniform(0.0, max_pause_s))

    async def _watch_readiness(self) -> None:
        while True:
            for name in self.tier.relay_names:
                ready = (await self.tier.call(self.tier.readiness(name), "GET", "/ready")).status == 200
                if ready != (name in self._ready):
                    self._ready = [other for other in self._ready if other != name] + [name] * ready
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _watch_primary(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):  # all members are stopped in some steps
                primary = await self.tier.primary()
                if not self.primaries or primary != self.primaries[-1][1]:
                    self.primaries.append((time.monotonic(), primary))
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _watch_stalls(self) -> None:
        """Record when a timer of this process is late: the processes of the tier are not scheduled either then."""
        while True:
            sleep_begin = time.monotonic()
            await asyncio.sleep(POLL_INTERVAL_S)
            if lateness_s(sleep_begin, POLL_INTERVAL_S):
                self.stalls.append((sleep_begin, time.monotonic()))

    # Clients -----------------------------------------------------------------------------------------

    async def _send_random_turn(self) -> None:
        idle = [
            conversation for conversation in self.conversations if not conversation.busy and not conversation.exhausted
        ]
        if idle:
            await self.turn(self.random.choice(idle))

    async def turn(self, conversation: Conversation) -> ObservedTurn:
        """Send the next turn of a conversation, which continues its last turn or sometimes an earlier one."""
        conversation.busy = True
        complete_turns = conversation.complete_turns
        previous = complete_turns[-1].request_id if complete_turns else ""
        if complete_turns and self.random.random() < BRANCH_PROBABILITY:
            previous = self.random.choice(complete_turns).request_id
        name = self._name("turn")
        fields = {"program": conversation.program, "budget": str(conversation.budget)}
        fields |= {"lynxscale-token-count": f"10,{MAX_TOKENS}"} | ({"previous": previous} if previous else {})
        text = f"say {name} ".encode()
        response = await self._send("turn", name, "/kept/stream", text, fields)
        observed = ObservedTurn(name, conversation.program, previous, text, response, conversation.budget)
        self.turns.append(observed)
        if response.status == 200:
            complete_turns.append(observed)
        conversation.exhausted |= response.status == BUDGET_SPENT_STATUS
        conversation.busy = False
        return observed

    async def _call(self) -> None:
        path = self.random.choice((*CALL_PATHS, STREAM_PATH))
        name = self._name("call")
        response = await self._send(path.split("/")[1], name, path, b"", {})
        if path == STREAM_PATH:
            self.streams.append((name, response))
        else:
            self.calls.append((f"{path} {name}", response))

    async def _send(self, kind: str, name: str, path: str, body: bytes, fields: dict[str, str]) -> ClientResult:
        relay = await self._pick_relay()
        started_at = time.monotonic()
        head = tuple((key.encode(), value.encode()) for key, value in {"lynxscale-request-id": name, **fields}.items())
        response = await self.tier.call(self.tier.frontend(relay), "POST", path, body, head)
        self._record(kind, name, relay, started_at, response)
        return ClientResult(response.status, response.body)

    async def _pick_relay(self) -> str:
        while not self._ready:
            await asyncio.sleep(POLL_INTERVAL_S)
        return self.random.choice(self._ready)

    def _name(self, kind: str) -> str:
        self._number += 1
        return f"{kind}-{self._number}"

    def _record(self, kind: str, name: str, process: str, started_at: float, response: Response) -> None:
        self.sent.append(Sent(kind, name, process, started_at, time.monotonic(), response.status))

    # The operator ------------------------------------------------------------------------------------

    @property
    def in_force(self) -> dict:
        """The newest acknowledged configuration."""
        return max(
            (change.table for change in self.changes if change.acknowledged or change.base == 0),
            key=lambda table: table["generation"],
        )

    async def change(self) -> None:
        """Send a replacement or an update of the configuration until it is acknowledged."""
        change = self._new_change()
        if self._grammar is not None and self._grammar.draws_fault():
            await self._send_faulty_change(change.base, self._with_idle_routes(self._grammar.with_fault(change.table)))
        change.table = self._with_idle_routes(change.table)
        self.changes.append(change)
        path = "/config/update" if change.update else "/config/replace"
        body = msgspec.json.encode(change.update or change.table)
        fields = ((b"lynxscale-base-version", b"%d" % change.base),)

        async def acknowledged() -> bool:
            member = self.random.choice(self.tier.control_names)
            started_at = time.monotonic()
            response = await self.tier.call(self.tier.control(member), "POST", path, body, fields)
            self._record("change", f"{path} {change.base}", member, started_at, response)
            change.responses.append(ClientResult(response.status, response.body))
            if response.status not in (0, 200, UNDECIDED_STATUS):
                self.faults.append(
                    f"change of version {change.base} rejected: {response.status} {response.body.decode()}"
                )
            return response.status == 200

        await wait_until(
            acknowledged,
            CHANGE_TIMEOUT_S,
            f"the change of version {change.base} is acknowledged",
            CHANGE_RETRY_INTERVAL_S,
        )
        if self.routes is not None:
            self.routes.acknowledged(time.monotonic())

    def _with_idle_routes(self, table: dict) -> dict:
        if not self.idle_routes or "routes" not in table:
            return table
        return table | {"routes": table["routes"] + self.idle_routes}

    async def _send_faulty_change(self, base: int, table: dict) -> None:
        """Send a configuration with a fault once; it must not be acknowledged."""
        member = self.random.choice(self.tier.control_names)
        body = msgspec.json.encode(table)
        fields = ((b"lynxscale-base-version", b"%d" % base),)
        response = await self.tier.call(self.tier.control(member), "POST", "/config/replace", body, fields)
        self.faulty_changes[response.status] += 1
        if response.status not in (0, UNDECIDED_STATUS, *REFUSED_STATUSES):
            self.faults.append(f"CONFIG a faulty change on version {base} gets {response.status}: {body.decode()}")

    def _new_change(self) -> ObservedChange:
        """The next change. Without ``routes``, all after the first, a replacement, differ only in their first route."""
        base = int(self.in_force["generation"])
        if self.routes is None:
            table = default_configuration(base + self.random.randint(1, 3))
            table["routes"].append(resumable_route())
        else:
            table = self.routes.next_configuration(base, time.monotonic())
        route = table["routes"][0]
        route["retention-s"] = RETENTION_S
        route["target-latency-ms"] = 200 + len(self.changes)
        if self._grammar is not None:
            table = self._grammar.varied(table)
        change = ObservedChange(base, table)
        if self.routes is None and len(self.changes) > 1 and len(self.changes) % 2:
            change.update = {"generation": table["generation"], "upsert": {"routes": [route]}}
        return change

    # Observations ------------------------------------------------------------------------------------

    def complete_turns_by_relay(self, since: float) -> Counter[str]:
        """The number of complete turns that began since a time, by relay."""
        return Counter(
            request.process
            for request in self.sent
            if request.kind == "turn" and request.status == 200 and request.started_at >= since
        )
