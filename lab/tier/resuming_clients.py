"""Clients of real processes that hold conversations on a resumable route, and resume streams that break off.

Each attempt uses a new connection to any relay, whether it is ready or not.
"""

from __future__ import annotations

import asyncio
import time
from random import Random

from lab.tier.changing_routes import RESUMABLE_ROUTE
from lab.tier.fakes import FakeEndpoint
from lab.tier.judge_wait import is_set_within
from lab.tier.local import LocalTier
from lab.tier.persistent_clients import ANSWER_SLACK_S, CONNECT_TIMEOUT_S, PersistentRequest
from lab.tier.resumable_turns import Line, tag_events, unasked_prompts
from lynxscale.dataplane.headers import REQUEST_ID
from lynxscale.runtime.clock import LoopClock
from lynxscale.runtime.http_client import AsyncioDialer, ClientConnection
from lynxscale.runtime.http_types import Head, Request

DEADLINE_MS = 4000
EVENTS = 20  # so many that a stream lasts for 0.4 s, in which its relay may be killed
ATTEMPT_PAUSE_S = 0.2
MAX_PAUSE_S = 0.2
PATH_PREFIX = f"/{RESUMABLE_ROUTE}/"


class ResumingClients:
    """The clients of one run. ``unanswered``: the requests that did not end in time."""

    def __init__(self, tier: LocalTier, random: Random, clients: int) -> None:
        self.lines: list[Line] = []
        self.unanswered: list[PersistentRequest] = []
        self._tier = tier
        self._random = random
        self._clients = clients
        self._serial = 0
        self._tasks: list[asyncio.Task] = []

    @property
    def turns(self) -> int:
        """The number of turns that were answered completely."""
        return sum(line.turns for line in self.lines)

    @property
    def resumed(self) -> int:
        """The number of turns that their clients resumed."""
        return sum(line.resumed for line in self.lines)

    def begin(self, group: asyncio.TaskGroup) -> None:
        """Start all clients as tasks of a group."""
        tag_events(self._tier.endpoints, PATH_PREFIX, EVENTS)
        self._tasks = [group.create_task(self._run(number)) for number in range(self._clients)]

    def cancel(self) -> None:
        """Cancel the tasks of all clients."""
        for task in self._tasks:
            task.cancel()

    def violations(self, endpoints: list[FakeEndpoint]) -> list[str]:
        """The rules that were broken, as text."""
        broken = [text for line in self.lines for text in line.broken]
        return [*broken, *unasked_prompts(self.lines, endpoints)]

    async def _run(self, number: int) -> None:
        line = Line(f"line-{number}", f"{PATH_PREFIX}stream", EVENTS, resumes=True)
        self.lines.append(line)
        while True:
            over = await self._attempt(line)
            await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S) if over else ATTEMPT_PAUSE_S)

    async def _attempt(self, line: Line) -> bool:
        """Send the turn of a line once; return whether the turn is over."""
        self._serial += 1
        relay = self._random.choice(self._tier.relay_names)
        sent = PersistentRequest(f"h-{self._serial}", line.path, relay, 0, time.monotonic())
        fields = {"host": "tier.example", "lynxscale-deadline-ms": str(DEADLINE_MS)}
        previous = line.previous
        fields |= line.next_request(sent.request_id)
        head = [(REQUEST_ID, sent.request_id.encode())]
        head += [(name.replace("_", "-").encode(), value.encode()) for name, value in fields.items()]
        loop = asyncio.get_running_loop()
        connection = ClientConnection(self._tier.frontend(relay), LoopClock(loop), lambda idle: None)
        connection.send(Request("POST", line.path, Head(tuple(head)), line.text), sent)
        AsyncioDialer(loop, CONNECT_TIMEOUT_S)(connection.address, connection)
        try:
            if not await is_set_within(sent.ended, DEADLINE_MS / 1000.0 + ANSWER_SLACK_S):
                self.unanswered.append(sent)
        finally:
            connection.close()
        if sent.complete and sent.status in (404, 410) and previous:
            line.broken.append(f"LOST {sent.request_id} at {relay}: {sent.status} after {previous}")
        over = line.on_response(sent.request_id, sent.status, bytes(sent.body), sent.complete, time.monotonic())
        if over and line.attempts:
            line.begin_turn()
        return over
