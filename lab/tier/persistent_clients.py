"""Clients that keep their connection to a relay and use it, request after request, until the relay closes it."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field
from random import Random

from lab.tier.client_group import ClientGroup
from lab.tier.disturbances import RELAY_FREEZE_RANGE_S
from lab.tier.judge_wait import is_set_within
from lab.tier.local import LocalTier
from lab.tier.request_grammar import varied_request
from lynxscale.dataplane.headers import REQUEST_ID
from lynxscale.runtime.clock import LoopClock
from lynxscale.runtime.http_client import AsyncioDialer, ClientConnection, ClientState, ResponseFailure
from lynxscale.runtime.http_types import Head, Request

CONNECT_TIMEOUT_S = 1.0
RECONNECT_PAUSE_S = 0.05
DEADLINE_MS = 2000
# A request without an answer this long after its deadline counts as never answered: a frozen relay answers as it wakes.
ANSWER_SLACK_S = RELAY_FREEZE_RANGE_S[1] + 1.0
SHORT_PAUSE_S = 0.06  # longest usual pause between two requests of a client
LONG_PAUSE_S = 5.0  # longer than the time for which a relay that stops keeps idle connections
LONG_PAUSE_SHARE = 0.08
PATHS = ("/book/1", "/book/1", "/look/1", "/open/stream")


@dataclass
class PersistentRequest:
    """One request on a persistent connection, as its client observed it. Implements ResponseReceiver; times in seconds.

    ``number_on_connection``: how many requests the connection carried before; the first one waits until it is
    established, at ``connected_at``. ``failure``: why there is no complete response.
    """

    request_id: str
    path: str
    relay: str
    number_on_connection: int
    sent_at: float
    ended_at: float = 0.0
    status: int = 0
    answered_id: str = ""
    body: bytearray = field(default_factory=bytearray)
    complete: bool = False
    failure: ResponseFailure | None = None
    ended: asyncio.Event = field(default_factory=asyncio.Event)
    connected_at: float = 0.0

    @property
    def elapsed_s(self) -> float:
        """From the sending, for the first one the beginning of the connection, to the end."""
        return self.ended_at - self.sent_at

    def on_head(self, status: int, head: Head) -> None:
        """Part of ResponseReceiver."""
        self.status, self.answered_id = status, head.text(REQUEST_ID)

    def on_data(self, data: bytes) -> None:
        """Part of ResponseReceiver."""
        self.body += data

    def on_end(self) -> None:
        """Part of ResponseReceiver."""
        self.complete = True
        self._end()

    def on_failure(self, failure: ResponseFailure) -> None:
        """Part of ResponseReceiver."""
        self.failure = failure
        self._end()

    def _end(self) -> None:
        self.ended_at = time.monotonic()
        self.ended.set()


class ObservedConnection(ClientConnection):
    """A connection that tells when it was established. ``connected_at``: 0 before."""

    connected_at = 0.0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of asyncio.Protocol."""
        self.connected_at = time.monotonic()
        super().connection_made(transport)


class PersistentClients(ClientGroup):
    """Clients with persistent connections. ``requests``: those that ended; ``unanswered``: the others."""

    def __init__(self, tier: LocalTier, random: Random, clients: int) -> None:
        super().__init__(tier, random, clients)
        self.requests: list[PersistentRequest] = []

    async def _run(self, number: int) -> None:
        loop = asyncio.get_running_loop()
        dial = AsyncioDialer(loop, CONNECT_TIMEOUT_S)
        while True:
            relay = self._random.choice(self._tier.relay_names)
            connection = ObservedConnection(self._tier.frontend(relay), LoopClock(loop), lambda idle: None)
            first = self._send(connection, relay, 0)
            dial(connection.address, connection)
            try:
                await self._use(connection, relay, first)
            finally:
                connection.close()
            await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _use(self, connection: ObservedConnection, relay: str, request: PersistentRequest) -> None:
        """Wait for the end of a request and send the next one, until the connection is closed."""
        while True:
            if not await is_set_within(request.ended, DEADLINE_MS / 1000.0 + ANSWER_SLACK_S):
                request.ended_at = time.monotonic()
                self.unanswered.append(request)
                return
            request.connected_at = connection.connected_at
            if request.failure is not ResponseFailure.NOT_CONNECTED:
                self.requests.append(request)
            await asyncio.sleep(self._draw_pause_s())
            if connection.state is not ClientState.IDLE:
                return
            request = self._send(connection, relay, request.number_on_connection + 1)

    def _send(self, connection: ClientConnection, relay: str, number_on_connection: int) -> PersistentRequest:
        self._serial += 1
        path = self._random.choice(PATHS)
        sent = PersistentRequest(f"p-{self._serial}", path, relay, number_on_connection, time.monotonic())
        fields = (
            (b"host", b"tier.example"),
            (REQUEST_ID, sent.request_id.encode()),
            (b"lynxscale-deadline-ms", b"%d" % DEADLINE_MS),
        )
        connection.send(varied_request(Request("POST", path, Head(fields))), sent)
        return sent

    def _draw_pause_s(self) -> float:
        longest = LONG_PAUSE_S if self._random.random() < LONG_PAUSE_SHARE else SHORT_PAUSE_S
        return self._random.uniform(0.0, longest)
