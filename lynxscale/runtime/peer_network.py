"""Messages between nodes: netstrings of JSON over TCP, with one connection in each direction.

Messages are lost if their connection fails or cannot be established; a sender that needs a response has to retry.
"""

from __future__ import annotations

import asyncio
import logging
import socket
from collections.abc import Callable
from typing import cast

import msgspec

from lynxscale.coordination.exceptions import NetstringError
from lynxscale.coordination.messages import Message, decode, encode
from lynxscale.coordination.netstring import Decoder
from lynxscale.coordination.netstring import encode as encode_frame
from lynxscale.runtime.connect_tasks import ConnectTasks
from lynxscale.runtime.listener import ConnectionSlot, Listener, Listeners
from lynxscale.runtime.memory_budget import MemoryBudget, Reservation
from lynxscale.runtime.resource_limits import UNLIMITED
from lynxscale.runtime.sockets import CONNECT_ERRORS, configure_socket, has_unread_bytes, split_address

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
RECONNECT_BACKOFF_S = 0.1
"""How long messages are dropped after a failed connection attempt."""
MAX_UNSENT_BYTES = 16 * 1024 * 1024
"""A connection whose write buffer exceeds this is aborted, as its peer reads too slowly.

As many bytes wait for a connection that is being established; if more are sent, those before are lost.
"""


class InboundConnection(asyncio.Protocol):
    """A connection on which another node sends messages to this one."""

    def __init__(
        self, receive: Callable[[Message], None], slot: ConnectionSlot, memory: MemoryBudget, clock: Callable[[], float]
    ) -> None:
        """``memory``: for the partial messages of all peers; ``clock()``: the event loop's time in seconds."""
        self._receive = receive
        self._slot = slot
        self._clock = clock
        self._memory = Reservation(memory)
        self._decoder = Decoder()
        self._transport: asyncio.Transport | None = None
        self.idle_since: float | None = clock()

    @property
    def has_unread(self) -> bool:
        """Part of AcceptedConnection."""
        return has_unread_bytes(self._transport)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of asyncio.Protocol."""
        self._transport = cast(asyncio.Transport, transport)
        configure_socket(transport)
        self._slot.opened(self)
        if self._slot.refused:
            self.close()

    def connection_lost(self, error: Exception | None) -> None:
        """Part of asyncio.Protocol."""
        self._memory.release()
        self._slot.lost()

    def close(self) -> None:
        """Abort the connection."""
        if self._transport is not None:
            self._transport.abort()

    def data_received(self, data: bytes) -> None:
        """Part of asyncio.Protocol. Bytes that are not messages, or more than fit into memory, abort the connection."""
        self.idle_since = self._clock()
        try:
            for payload in self._decoder.feed(data):
                self._receive(decode(payload))
        except (NetstringError, msgspec.DecodeError) as error:
            log.warning("event=bad_message error=%s", error)
            self.close()
            return
        if not self._memory.resize(self._decoder.partial_bytes):
            log.warning("event=message_refused bytes=%d", self._decoder.partial_bytes)
            self._memory.release()
            self._decoder = Decoder()
            self.close()


class OutboundConnection(asyncio.Protocol):
    """The connection on which this node sends messages to one peer, established on demand.

    It is disconnected (no transport), connecting (``_connecting`` is set) or connected (with a transport).
    """

    def __init__(self, loop: asyncio.AbstractEventLoop, address: str, attempts: ConnectTasks) -> None:
        self._loop = loop
        self._address = address
        self._attempts = attempts
        self._transport: asyncio.Transport | None = None
        self._connection_count = 0
        self._connecting = False
        self._backoff_until = 0.0
        self._unsent: list[bytes] = []
        self._unsent_bytes = 0
        self._flush_scheduled = False

    @property
    def connection_id(self) -> int:
        """The number of the current connection, 0 while there is none."""
        return 0 if self._transport is None else self._connection_count

    def send(self, payload: bytes) -> None:
        """Queue a message for the next flush; messages of one event-loop iteration share a write."""
        if self._transport is None and not self._connecting:
            if self._loop.time() < self._backoff_until:
                return
            self._connecting = True
            self._attempts.start(self._connect)
        if self._unsent_bytes + len(payload) > MAX_UNSENT_BYTES and self._transport is None:
            self._drop_unsent()
        self._unsent.append(payload)
        self._unsent_bytes += len(payload)
        if not self._flush_scheduled and self._transport is not None:
            self._flush_scheduled = True
            self._loop.call_soon(self.flush)

    async def _connect(self) -> None:
        try:
            host, port = split_address(self._address)
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                await self._loop.create_connection(lambda: self, host, port)
        except CONNECT_ERRORS:
            self._backoff_until = self._loop.time() + RECONNECT_BACKOFF_S
            self._drop_unsent()
        finally:
            self._connecting = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of asyncio.Protocol."""
        self._transport = cast(asyncio.Transport, transport)
        self._connection_count += 1
        configure_socket(transport)
        self.flush()

    def connection_lost(self, error: Exception | None) -> None:
        """Part of asyncio.Protocol."""
        self._transport = None
        self._drop_unsent()

    def _drop_unsent(self) -> None:
        """Lose the messages that are not written yet."""
        self._unsent.clear()
        self._unsent_bytes = 0

    def flush(self) -> None:
        """Write all unsent messages to the socket."""
        self._flush_scheduled = False
        if self._transport is None or not self._unsent:
            return
        data = b"".join(map(encode_frame, self._unsent))
        self._drop_unsent()
        if self._transport.get_write_buffer_size() > MAX_UNSENT_BYTES:
            self._transport.abort()
        else:
            self._transport.write(data)


class PeerNetwork:
    """Implements the Network port. ``address`` (``host:port``) is where this node listens."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        address: str,
        max_connections: int = UNLIMITED,
        messages: MemoryBudget | None = None,
    ) -> None:
        """``max_connections``: from peers. ``messages``: the memory for their partial messages."""
        self.address = address
        self._max_connections = max_connections
        self._messages = messages or MemoryBudget()
        self._loop = loop
        self._connections: dict[str, OutboundConnection] = {}
        self._attempts = ConnectTasks(loop)
        self._listeners = Listeners(loop)
        self._receive: Callable[[Message], None] = lambda message: None

    def listen(self, listening: socket.socket, receive: Callable[[Message], None]) -> Listener:
        """Accept peers at a listening socket, and pass each of their messages to ``receive`` from now on.

        The socket is open until the process ends, as the next process of this machine takes it for the end.
        """
        self._receive = receive

        def accept(slot: ConnectionSlot) -> InboundConnection:
            return InboundConnection(receive, slot, self._messages, self._loop.time)

        return self._listeners.listen(listening, accept, self._max_connections)

    async def aclose(self) -> None:
        """End the connection attempts of both directions, and begin no others; their messages are lost."""
        await self._listeners.aclose()
        await self._attempts.aclose()

    def flush(self) -> None:
        """Write all unsent messages now; called before the event loop blocks on a disk."""
        for connection in self._connections.values():
            connection.flush()

    def connection_id(self, address: str) -> int:
        """Part of the Network port."""
        connection = self._connections.get(address)
        return 0 if connection is None else connection.connection_id

    def send(self, address: str, message: Message) -> None:
        """Send a message; a message to this node itself is received in the event loop's next iteration."""
        if not address:
            return
        if address == self.address:
            self._loop.call_soon(self._receive, message)
            return
        if address not in self._connections:
            self._connections[address] = OutboundConnection(self._loop, address, self._attempts)
        self._connections[address].send(encode(message))
