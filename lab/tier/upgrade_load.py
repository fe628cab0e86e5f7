"""Steady load on a tier of real processes, and what its clients and its operator saw.

Programs hold conversations with memory, others call safe and unsafe tools and open streams, and an operator replaces
and updates the configuration. Clients go to relays that say they are ready, as the platform sends them.
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

from lab.tier.history_checker import MAX_TOKENS, ObservedChange, ObservedTurn
from lab.tier.local import LocalTier
from lab.tier.simulated_tier import default_configuration
from lynxscale.runtime.http_types import Response

TALKERS, CALLERS = 6, 2
NEW_CONVERSATIONS = 6  # in each phase
LARGE_BUDGET, SMALL_BUDGET = 10_000_000, 5 * MAX_TOKENS
SPENT = 402
UNDECIDED = 503
RETENTION_S = 900.0  # longer than any run
BRANCH_SHARE = 1 / 6  # of turns: they go on from an earlier turn than the last
LONGEST_PAUSE_S = 0.2  # between two requests of one client: the pace of the load
ORDER_PAUSE_S = 0.4
POLL_S = 0.05
STALL_S = 0.1  # a quarter of the leader lease
ORDER_WITHIN_S = 60.0  # longer than all processes are away at once
ORDER_AGAIN_S = 0.3
CALL_PATHS = ("/book/1", "/look/1")
STREAM_PATH = "/open/stream"


async def until(condition: Callable[[], Awaitable[bool]], within_s: float, what: str, every_s: float = POLL_S) -> None:
    """Poll until the condition holds. Raises TimeoutError that tells ``what``."""
    end = time.monotonic() + within_s
    while not await condition():
        if time.monotonic() > end:
            raise TimeoutError(f"not within {within_s:.0f} s: {what}")
        await asyncio.sleep(every_s)


@dataclass(frozen=True)
class ClientAnswer:
    """What a client got. ``status`` 0: no whole answer came."""

    status: int
    body: bytes

    @property
    def complete(self) -> bool:
        """Did the answer come to its end?"""
        return self.status != 0


@dataclass
class Conversation:
    """One program's turns that came whole, the newest last."""

    program: str
    budget: int
    whole: list[ObservedTurn] = field(default_factory=list)
    busy: bool = False
    exhausted: bool = False


@dataclass(frozen=True)
class Sent:
    """One request with its times, the relay or control member that it went to, and its status."""

    kind: str
    request_id: str
    process: str
    begun: float
    ended: float
    status: int

    @property
    def failed(self) -> bool:
        """Neither answered, nor refused for a spent budget, nor an order that is to be sent again."""
        return self.status not in (200, SPENT) and not self.undecided

    @property
    def undecided(self) -> bool:
        """An order that got the documented answer of a changing primary: send the same again."""
        return self.kind == "order" and self.status == UNDECIDED


class Load:
    """Clients and operator of one tier. Everything they see is kept."""

    def __init__(self, tier: LocalTier, random: Random) -> None:
        self.tier = tier
        self.random = random
        self.conversations: list[Conversation] = []
        self.turns: list[ObservedTurn] = []
        self.calls: list[tuple[str, ClientAnswer]] = []
        self.streams: list[tuple[str, ClientAnswer]] = []
        self.orders: list[ObservedChange] = [ObservedChange(0, default_configuration())]
        self.sent: list[Sent] = []
        self.faults: list[str] = []
        self.primaries: list[tuple[float, str]] = []  # each change of primary, with its time
        self.stalls: list[tuple[float, float]] = []  # begin and end of times in which this process was not scheduled
        self._ready: list[str] = []
        self._flowing = asyncio.Event()
        self._at_work = 0
        self._number = 0
        self._tasks: list[asyncio.Task] = []

    # Begin and end -----------------------------------------------------------------------------------

    def begin(self, group: asyncio.TaskGroup) -> None:
        """Start all clients; one that breaks ends the group."""
        workers = [self._watch_readiness(), self._watch_primary(), self._watch_stalls()]
        workers += [self._repeat(self._talk, LONGEST_PAUSE_S) for _ in range(TALKERS)]
        workers += [self._repeat(self._call, LONGEST_PAUSE_S) for _ in range(CALLERS)]
        workers.append(self._repeat(self.order, ORDER_PAUSE_S))
        self._tasks = [group.create_task(worker) for worker in workers]

    def flow(self) -> None:
        """Let clients send, with some new conversations."""
        for number in range(NEW_CONVERSATIONS):
            budget = SMALL_BUDGET if number == 0 else LARGE_BUDGET
            self.conversations.append(Conversation(f"program-{len(self.conversations)}", budget))
        self._flowing.set()

    async def pause(self, within_s: float) -> None:
        """Let nothing more begin, and wait until all that was sent has ended."""
        self._flowing.clear()

        async def quiet() -> bool:
            return self._at_work == 0

        await until(quiet, within_s, "all requests of the load end")

    def cancel(self) -> None:
        """End all clients."""
        for task in self._tasks:
            task.cancel()

    async def _repeat(self, act: Callable[[], Awaitable[None]], longest_pause_s: float) -> None:
        while True:
            await self._flowing.wait()
            self._at_work += 1
            try:
                await act()
            finally:
                self._at_work -= 1
            await asyncio.sleep(self.random.uniform(0.0, longest_pause_s))

    async def _watch_readiness(self) -> None:
        while True:
            for name in self.tier.relay_names:
                ready = (await self.tier.call(self.tier.readiness(name), "GET", "/ready")).status == 200
                if ready != (name in self._ready):
                    self._ready = [one for one in self._ready if one != name] + [name] * ready
            await asyncio.sleep(POLL_S)

    async def _watch_primary(self) -> None:
        while True:
            with contextlib.suppress(TimeoutError):  # all are stopped at times
                primary = await self.tier.primary()
                if not self.primaries or primary != self.primaries[-1][1]:
                    self.primaries.append((time.monotonic(), primary))
            await asyncio.sleep(POLL_S)

    async def _watch_stalls(self) -> None:
        """Note when a timer of this process is late: others on the machine are not scheduled then either."""
        while True:
            asleep = time.monotonic()
            await asyncio.sleep(POLL_S)
            awake = time.monotonic()
            if awake - asleep - POLL_S > STALL_S:
                self.stalls.append((asleep, awake))

    # Clients -----------------------------------------------------------------------------------------

    async def _talk(self) -> None:
        idle = [one for one in self.conversations if not one.busy and not one.exhausted]
        if idle:
            await self.turn(self.random.choice(idle))

    async def turn(self, conversation: Conversation) -> ObservedTurn:
        """The next turn of a conversation, which goes on from its last or, at times, from an earlier one."""
        conversation.busy = True
        whole = conversation.whole
        previous = whole[-1].request_id if whole else ""
        if whole and self.random.random() < BRANCH_SHARE:
            previous = self.random.choice(whole).request_id
        name = self._name("turn")
        fields = {"program": conversation.program, "budget": str(conversation.budget)}
        fields |= {"lynxscale-token-count": f"10,{MAX_TOKENS}"} | ({"previous": previous} if previous else {})
        text = f"say {name} ".encode()
        answer = await self._ask("turn", name, "/kept/stream", text, fields)
        seen = ObservedTurn(name, conversation.program, previous, text, answer, conversation.budget)
        self.turns.append(seen)
        if answer.status == 200:
            whole.append(seen)
        conversation.exhausted |= answer.status == SPENT
        conversation.busy = False
        return seen

    async def _call(self) -> None:
        path = self.random.choice((*CALL_PATHS, STREAM_PATH))
        name = self._name("call")
        answer = await self._ask(path.split("/")[1], name, path, b"", {})
        if path == STREAM_PATH:
            self.streams.append((name, answer))
        else:
            self.calls.append((f"{path} {name}", answer))

    async def _ask(self, kind: str, name: str, path: str, body: bytes, fields: dict[str, str]) -> ClientAnswer:
        relay = await self._pick_relay()
        begun = time.monotonic()
        head = tuple((key.encode(), value.encode()) for key, value in {"lynxscale-request-id": name, **fields}.items())
        response = await self.tier.call(self.tier.frontend(relay), "POST", path, body, head)
        self._note(kind, name, relay, begun, response)
        return ClientAnswer(response.status, response.body)

    async def _pick_relay(self) -> str:
        while not self._ready:
            await asyncio.sleep(POLL_S)
        return self.random.choice(self._ready)

    def _name(self, kind: str) -> str:
        self._number += 1
        return f"{kind}-{self._number}"

    def _note(self, kind: str, name: str, process: str, begun: float, response: Response) -> None:
        self.sent.append(Sent(kind, name, process, begun, time.monotonic(), response.status))

    # The operator ------------------------------------------------------------------------------------

    @property
    def in_force(self) -> dict:
        """The configuration that was acknowledged last."""
        return max(
            (order.table for order in self.orders if order.acknowledged or order.base == 0),
            key=lambda table: table["generation"],
        )

    async def order(self) -> None:
        """A replacement or an update, sent until it is acknowledged."""
        order = self._new_order()
        self.orders.append(order)
        path = "/config/update" if order.update else "/config/replace"
        body = msgspec.json.encode(order.update or order.table)
        fields = ((b"lynxscale-base-version", b"%d" % order.base),)

        async def acknowledged() -> bool:
            member = self.random.choice(self.tier.control_names)
            begun = time.monotonic()
            response = await self.tier.call(self.tier.control(member), "POST", path, body, fields)
            self._note("order", f"{path} {order.base}", member, begun, response)
            order.answers.append(ClientAnswer(response.status, response.body))
            if response.status not in (0, 200, UNDECIDED):
                self.faults.append(f"order on {order.base} refused: {response.status} {response.body.decode()}")
            return response.status == 200

        await until(acknowledged, ORDER_WITHIN_S, f"the order on version {order.base} is acknowledged", ORDER_AGAIN_S)

    def _new_order(self) -> ObservedChange:
        """The first is a replacement; from it on all configurations differ in their first route alone."""
        base = self.in_force["generation"]
        table = default_configuration(base + self.random.randint(1, 3))
        route = table["routes"][0]
        route["retention-s"] = RETENTION_S
        route["target-latency-ms"] = 200 + len(self.orders)
        order = ObservedChange(base, table)
        if len(self.orders) > 1 and len(self.orders) % 2:
            order.update = {"generation": table["generation"], "upsert": {"routes": [route]}}
        return order

    # What was seen -----------------------------------------------------------------------------------

    def whole_turns(self, since: float) -> Counter[str]:
        """Turns that were begun since then and came whole, by relay."""
        return Counter(
            one.process for one in self.sent if one.kind == "turn" and one.status == 200 and one.begun >= since
        )
