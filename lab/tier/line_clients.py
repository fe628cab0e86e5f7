"""Clients of real processes, each of which holds a conversation on a route that never changes.

Some resume streams that break off, others pause for about as long as their turns are retained. Each attempt uses a new
connection to any relay, whether it is ready or not.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from random import Random

from lab.tier.changing_routes import RESUMABLE_ROUTE, RETENTION_S, SHORT_RETENTION_S, SHORT_ROUTE
from lab.tier.client_group import ClientGroup
from lab.tier.fakes import FakeEndpoint
from lab.tier.judge_wait import is_set_within
from lab.tier.local import LocalTier
from lab.tier.persistent_clients import ANSWER_SLACK_S, CONNECT_TIMEOUT_S, PersistentRequest
from lab.tier.request_grammar import varied_request
from lab.tier.resumable_turns import Line, unasked_prompts
from lynxscale.controlplane.turn_history import RETENTION_MARGIN_S
from lynxscale.dataplane.headers import REQUEST_ID
from lynxscale.runtime.clock import LoopClock
from lynxscale.runtime.http_client import AsyncioDialer, ClientConnection
from lynxscale.runtime.http_types import Head, Request

DEADLINE_MS = 4000
ATTEMPT_PAUSE_S = 0.2
MAX_PAUSE_S = 0.2


@dataclass(frozen=True)
class LineKind:
    """A kind of conversations. ``events``: the number of events of each stream, which follow each other by 20 ms.

    ``resumes``: whether clients resume streams that break off. ``long_pause_s``: the range of the pause before every
    second turn, None for short ones only; those turns then run for as long as their previous one takes to be removed.
    ``varies_requests``: whether requests are written in drawn ways, not all of which programs before understand.
    """

    route: str
    events: int
    resumes: bool
    retention_s: float
    long_pause_s: tuple[float, float] | None = None
    varies_requests: bool = True

    @property
    def path_prefix(self) -> str:
        """The prefix of the paths of its route."""
        return f"/{self.route}/"

    def draw_pause_s(self, random: Random, turns: int) -> float:
        """Draw the pause after a turn; ``turns``: the number of turns so far."""
        if self.long_pause_s is None:
            return random.uniform(0.0, MAX_PAUSE_S)
        return random.uniform(*self.long_pause_s) if turns % 2 else 0.0


RESUMING = LineKind(RESUMABLE_ROUTE, 20, True, RETENTION_S)
RESTARTING = LineKind(RESUMABLE_ROUTE, 20, False, RETENTION_S, varies_requests=False)
"""The streams may be resumed, but clients begin anew, as programs before resume turns without their beginning."""
EXPIRY_S = SHORT_RETENTION_S + RETENTION_MARGIN_S
PAUSING = LineKind(SHORT_ROUTE, 100, False, SHORT_RETENTION_S, (EXPIRY_S - 3.0, EXPIRY_S + 6.0))


class LineClients(ClientGroup):
    """The clients of one kind in one run. ``unanswered``: the requests that did not end in time.

    ``expired``: the number of conversations that were continued too late, and began anew.
    """

    def __init__(self, tier: LocalTier, random: Random, clients: int, kind: LineKind) -> None:
        super().__init__(tier, random, clients)
        self.lines: list[Line] = []
        self.expired = 0
        self._kind = kind

    @property
    def turns(self) -> int:
        """The number of turns that were answered completely."""
        return sum(line.turns for line in self.lines)

    @property
    def resumed(self) -> int:
        """The number of turns that their clients resumed."""
        return sum(line.resumed for line in self.lines)

    def violations(self, endpoints: list[FakeEndpoint]) -> list[str]:
        """The rules that were broken, as text."""
        broken = [text for line in self.lines for text in line.broken]
        return [*broken, *unasked_prompts(self.lines, endpoints)]

    async def _run(self, number: int) -> None:
        kind = self._kind
        line = Line(f"{kind.route}-{number}", f"{kind.path_prefix}stream", kind.events, kind.resumes)
        self.lines.append(line)
        while True:
            over = await self._attempt(line)
            await asyncio.sleep(kind.draw_pause_s(self._random, line.turns) if over else ATTEMPT_PAUSE_S)

    async def _attempt(self, line: Line) -> bool:
        """Send the turn of a line once; return whether the turn is over."""
        self._serial += 1
        relay = self._random.choice(self._tier.relay_names)
        sent = PersistentRequest(f"{self._kind.route}-{self._serial}", line.path, relay, 0, time.monotonic())
        fields = {"host": "tier.example", "lynxscale-deadline-ms": str(DEADLINE_MS)}
        previous = line.previous
        fields |= line.next_request(sent.request_id)
        head = [(REQUEST_ID, sent.request_id.encode())]
        head += [(name.replace("_", "-").encode(), value.encode()) for name, value in fields.items()]
        loop = asyncio.get_running_loop()
        connection = ClientConnection(self._tier.frontend(relay), LoopClock(loop), lambda idle: None)
        request = Request("POST", line.path, Head(tuple(head)), line.text)
        connection.send(varied_request(request) if self._kind.varies_requests else request, sent)
        AsyncioDialer(loop, CONNECT_TIMEOUT_S)(connection.address, connection)
        try:
            if not await is_set_within(sent.ended, DEADLINE_MS / 1000.0 + ANSWER_SLACK_S):
                self.unanswered.append(sent)
        finally:
            connection.close()
        if sent.complete and sent.status in (404, 410) and previous:
            self._on_missing(line, sent)
            return False
        over = line.on_response(sent.request_id, sent.status, bytes(sent.body), sent.complete, time.monotonic())
        if over and line.attempts:
            line.begin_turn()
        return over

    def _on_missing(self, line: Line, sent: PersistentRequest) -> None:
        """Judge the answer that a line's last turn is missing, and begin a new conversation."""
        age_s = sent.ended_at - line.ended_at
        if age_s < self._kind.retention_s:
            line.broken.append(f"LOST {sent.request_id}: {sent.status} {age_s:.2f} s after the end of {line.previous}")
        self.expired += 1
        line.restart()
