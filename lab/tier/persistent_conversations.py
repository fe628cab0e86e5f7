"""Clients that hold conversations on changing routes, through any relay, and keep their connection to each.

A connection is used until the relay closes it, whether the relay is ready or not, so a turn may reach a relay that is
frozen, and that lacks the route when it wakes.
"""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass
from random import Random

from lab.tier.changing_routes import ChangingRoute, ChangingRoutes, JudgedTurn
from lab.tier.client_group import ClientGroup
from lab.tier.history_checker import MAX_TOKENS, ObservedTurn
from lab.tier.judge_wait import is_set_within
from lab.tier.local import LocalTier
from lab.tier.persistent_clients import ANSWER_SLACK_S, CONNECT_TIMEOUT_S, PersistentRequest
from lab.tier.request_grammar import varied_request
from lab.tier.upgrade_load import ClientResult
from lynxscale.dataplane.headers import REQUEST_ID
from lynxscale.runtime.clock import LoopClock
from lynxscale.runtime.http_client import AsyncioDialer, ClientConnection, ClientState
from lynxscale.runtime.http_types import Head, Request

DEADLINE_MS = 4000
BUDGET = 10_000_000
MAX_PAUSE_S = 0.12
CONTINUE_PROBABILITY = 0.8
NEWEST_ROUTE_PROBABILITY, NEWEST_TURN_PROBABILITY = 0.6, 0.6


@dataclass
class ConversationTurn:
    """One turn: its place in a conversation, and the request that carried it."""

    route: ChangingRoute
    program: str
    previous: str
    text: bytes
    request: PersistentRequest

    @property
    def status(self) -> int:
        """The status of the complete response, 0 if there is none."""
        return self.request.status if self.request.complete else 0

    def judged(self) -> JudgedTurn:
        """The turn as the rules judge it."""
        sent = self.request
        return JudgedTurn(
            sent.request_id, self.route, sent.relay, self.previous, self.status, sent.sent_at, sent.ended_at
        )

    def observed(self) -> ObservedTurn:
        """The turn as the checker of histories takes it."""
        result = ClientResult(self.status, bytes(self.request.body))
        return ObservedTurn(self.request.request_id, self.program, self.previous, self.text, result, BUDGET)


class PersistentConversations(ClientGroup):
    """The clients of one run. ``turns``: all that they sent; ``unanswered``: the requests that did not end in time."""

    def __init__(self, tier: LocalTier, routes: ChangingRoutes, random: Random, clients: int) -> None:
        super().__init__(tier, random, clients)
        self.turns: list[ConversationTurn] = []
        self._routes = routes

    async def _run(self, number: int) -> None:
        connections: dict[str, ClientConnection] = {}
        try:
            while True:
                await asyncio.sleep(self._random.uniform(0.0, MAX_PAUSE_S))
                if usable := self._routes.usable(time.monotonic()):
                    await self._send_turn(usable, connections)
        finally:
            for connection in connections.values():
                connection.close()

    async def _send_turn(self, usable: list[ChangingRoute], connections: dict[str, ClientConnection]) -> None:
        newest = self._random.random() < NEWEST_ROUTE_PROBABILITY
        turn = self._new_turn(usable[-1] if newest else self._random.choice(usable))
        self.turns.append(turn)
        self._send(turn, connections)
        if not await is_set_within(turn.request.ended, DEADLINE_MS / 1000.0 + ANSWER_SLACK_S):
            self.unanswered.append(turn.request)
            turn.request.ended_at = time.monotonic()
            connections.pop(turn.request.relay).close()

    def _new_turn(self, route: ChangingRoute) -> ConversationTurn:
        self._serial += 1
        name = f"k-{self._serial}"
        request = PersistentRequest(name, route.path, self._random.choice(self._tier.relay_names), 0, time.monotonic())
        previous = self._draw_previous(route)
        text = f"say {name} ".encode()
        if previous is None:
            return ConversationTurn(route, f"talk-{name}", "", text, request)
        return ConversationTurn(route, previous.program, previous.request.request_id, text, request)

    def _draw_previous(self, route: ChangingRoute) -> ConversationTurn | None:
        complete = [turn for turn in self.turns if turn.route is route and turn.status == 200]
        if not complete or self._random.random() > CONTINUE_PROBABILITY:
            return None
        return complete[-1] if self._random.random() < NEWEST_TURN_PROBABILITY else self._random.choice(complete)

    def _send(self, turn: ConversationTurn, connections: dict[str, ClientConnection]) -> None:
        fields = [
            (b"host", b"tier.example"),
            (REQUEST_ID, turn.request.request_id.encode()),
            (b"lynxscale-deadline-ms", b"%d" % DEADLINE_MS),
            (b"program", turn.program.encode()),
            (b"budget", b"%d" % BUDGET),
            (b"lynxscale-token-count", b"10,%d" % MAX_TOKENS),
        ]
        if turn.previous:
            fields.append((b"previous", turn.previous.encode()))
        request = varied_request(Request("POST", turn.route.path, Head(tuple(fields)), turn.text))
        relay = turn.request.relay
        connection = connections.get(relay)
        if connection is not None and connection.state is ClientState.IDLE:
            connection.send(request, turn.request)
            return
        loop = asyncio.get_running_loop()
        connections[relay] = ClientConnection(self._tier.frontend(relay), LoopClock(loop), lambda idle: None)
        connections[relay].send(request, turn.request)
        AsyncioDialer(loop, CONNECT_TIMEOUT_S)(connections[relay].address, connections[relay])
