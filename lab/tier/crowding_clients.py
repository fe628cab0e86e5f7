"""Clients that use up a process: idle ones in hundreds, bodies that stop before their end, answers nobody reads.

Some send thousands of requests ahead, or bodies in chunks of a byte.
"""

from __future__ import annotations

import asyncio
import contextlib
import socket

from lab.tier.client_group import ClientGroup
from lynxscale.runtime.sockets import split_address

MAX_IDLE = 150  # connections of one crowd
MAX_UNFINISHED = 30
BODY_BYTES = 3_900_000
SENT_SHARE = 0.97  # of such a body
MAX_PIPELINED = 20_000
MAX_READING_NOTHING = 30
SMALL_CHUNKS = 300_000
PATHS = ("/nowhere", "/look/1", "/book/1", "/status")
HOLD_RANGE_S = (0.1, 4.0)
PAUSE_RANGE_S = (0.0, 1.0)
SEND_TIMEOUT_S = 2.0
CONTROL_SHARE = 0.3  # share of the crowds that come to a control member


class CrowdingClients(ClientGroup):
    """Each client comes as a crowd of one kind, stays for a while and goes. ``crowds``: how many have come."""

    crowds = 0

    async def _run(self, number: int) -> None:
        kinds = (self._come_idle, self._stop_within_bodies, self._read_nothing, self._send_small_chunks)
        while True:
            await asyncio.sleep(self._random.uniform(*PAUSE_RANGE_S))
            with contextlib.ExitStack() as connections:
                await self._random.choice(kinds)(self._draw_address(), connections)
                self.crowds += 1
                await asyncio.sleep(self._random.uniform(*HOLD_RANGE_S))

    def _draw_address(self) -> str:
        if self._random.random() < CONTROL_SHARE:
            return self._tier.control(self._random.choice(self._tier.control_names))
        return self._tier.frontend(self._random.choice(self._tier.relay_names))

    async def _come_idle(self, address: str, connections: contextlib.ExitStack) -> None:
        for _ in range(self._random.randint(1, MAX_IDLE)):
            await _send(address, b"", connections)

    async def _stop_within_bodies(self, address: str, connections: contextlib.ExitStack) -> None:
        head = b"POST /look/1 HTTP/1.1\r\nhost: tier.example\r\ncontent-length: %d\r\n\r\n" % BODY_BYTES
        body = b"x" * int(BODY_BYTES * SENT_SHARE)
        count = self._random.randint(1, MAX_UNFINISHED)
        await asyncio.gather(*(_send(address, head + body, connections) for _ in range(count)))

    async def _read_nothing(self, address: str, connections: contextlib.ExitStack) -> None:
        request = f"GET {self._random.choice(PATHS)} HTTP/1.1\r\nhost: tier.example\r\n\r\n".encode()
        requests = request * self._random.randint(1, MAX_PIPELINED)
        count = self._random.randint(1, MAX_READING_NOTHING)
        await asyncio.gather(*(_send(address, requests, connections) for _ in range(count)))

    async def _send_small_chunks(self, address: str, connections: contextlib.ExitStack) -> None:
        head = b"POST /look/1 HTTP/1.1\r\nhost: tier.example\r\ntransfer-encoding: chunked\r\n\r\n"
        chunks = b"1\r\nx\r\n" * self._random.randint(1, SMALL_CHUNKS)
        count = self._random.randint(1, MAX_UNFINISHED)
        await asyncio.gather(*(_send(address, head + chunks, connections) for _ in range(count)))


async def _send(address: str, data: bytes, connections: contextlib.ExitStack) -> None:
    """Connect and send as much as is taken in time; the connection stays open until ``connections`` are closed."""
    loop = asyncio.get_running_loop()
    connection = connections.enter_context(socket.socket())
    connection.setblocking(False)
    with contextlib.suppress(OSError):  # includes TimeoutError
        async with asyncio.timeout(SEND_TIMEOUT_S):
            await loop.sock_connect(connection, split_address(address))
            await loop.sock_sendall(connection, data)
