"""Messages between nodes: netstrings of JSON over TCP, one connection in each direction.

A message is lost where its link cannot be brought up, or breaks: whoever needs an answer asks again.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable

import msgspec

from lynxscale.coordination.messages import Message, decode, encode
from lynxscale.coordination.netstring import Decoder, NetstringError
from lynxscale.coordination.netstring import encode as frame

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
RETRY_AFTER_S = 0.1
UNSENT_TIMEOUT_MS = 1500  # a connection whose bytes go unacknowledged so long is dead
MOST_UNSENT_BYTES = 16 * 1024 * 1024


def split_address(address: str) -> tuple[str, int]:
    """Host and port."""
    host, _, port = address.rpartition(":")
    return host, int(port)


def tune(transport: asyncio.BaseTransport) -> None:
    """No delay for small writes, and an end to a connection whose peer has fallen silent."""
    connection = transport.get_extra_info("socket")
    if connection is not None:
        with contextlib.suppress(OSError):
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNSENT_TIMEOUT_MS)


class Inbound(asyncio.Protocol):
    """Another node's messages to this one."""

    def __init__(self, receive: Callable[[Message], None]) -> None:
        self._receive = receive
        self._decoder = Decoder()
        self._transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Part of asyncio.Protocol."""
        self._transport = transport
        tune(transport)

    def data_received(self, data: bytes) -> None:
        """Part of asyncio.Protocol. Bytes that are no messages end the connection."""
        try:
            for payload in self._decoder.feed(data):
                self._receive(decode(payload))
        except (NetstringError, msgspec.DecodeError) as error:
            log.warning("event=bad_message error=%s", error)
            self._transport.abort()


class Link(asyncio.Protocol):
    """This node's messages to one other. States: down, connecting, up."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: str) -> None:
        self._loop = loop
        self._address = address
        self._transport: asyncio.Transport | None = None
        self._connecting = False
        self._down_until = 0.0
        self._waiting: list[bytes] = []
        self._flush_due = False

    def send(self, payload: bytes) -> None:
        """Send with the next flush; several messages of one turn go in one write."""
        if self._transport is None and not self._connecting:
            if self._loop.time() < self._down_until:
                return
            self._connecting = True
            self._loop.create_task(self._connect())
        self._waiting.append(payload)
        if not self._flush_due and self._transport is not None:
            self._flush_due = True
            self._loop.call_soon(self.flush)

    async def _connect(self) -> None:
        host, port = split_address(self._address)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(lambda: self, host, port)
        except OSError:  # a TimeoutError is one
            self._down_until = self._loop.time() + RETRY_AFTER_S
            self._waiting.clear()
        finally:
            self._connecting = False

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Part of asyncio.Protocol."""
        self._transport = transport
        tune(transport)
        self.flush()

    def connection_lost(self, error: Exception | None) -> None:
        """Part of asyncio.Protocol."""
        self._transport = None
        self._waiting.clear()

    def flush(self) -> None:
        """Write what waits."""
        self._flush_due = False
        if self._transport is None or not self._waiting:
            return
        data = b"".join(map(frame, self._waiting))
        self._waiting.clear()
        if self._transport.get_write_buffer_size() > MOST_UNSENT_BYTES:
            self._transport.abort()
        else:
            self._transport.write(data)


class InternalNetwork:
    """Implements the Network port."""

    def __init__(self, loop: asyncio.AbstractEventLoop, address: str) -> None:
        self.address = address
        self._loop = loop
        self._links: dict[str, Link] = {}
        self._receive: Callable[[Message], None] = lambda message: None
        self._server: asyncio.Server | None = None

    async def listen(self, receive: Callable[[Message], None]) -> None:
        """Take messages from now on. Raises OSError where the port is taken."""
        self._receive = receive
        host, port = split_address(self.address)
        self._server = await self._loop.create_server(lambda: Inbound(receive), host, port)

    def flush(self) -> None:
        """Write what was sent in this turn now: the loop is about to stand still, as it waits for a disk."""
        for link in self._links.values():
            link.flush()

    def send(self, address: str, message: Message) -> None:
        """Send a message; one to this node itself arrives with the loop's next turn."""
        if not address:
            return
        if address == self.address:
            self._loop.call_soon(self._receive, message)
            return
        if address not in self._links:
            self._links[address] = Link(self._loop, address)
        self._links[address].send(encode(message))
