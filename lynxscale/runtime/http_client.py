"""HTTP/1.1 to servers, by h11. A ``ClientConnection`` carries one request at a time and may be kept for more."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol

import h11

from lynxscale.coordination.ports import Clock, Timer
from lynxscale.runtime.http_types import Head, Headers, Request
from lynxscale.runtime.network import split_address, tune

DEFAULT_KEEP_S = 4.0  # a kept connection is not used after so long, unless the server tells its own time
KEEP_MARGIN_S = 0.5  # before the time that the server tells
MOST_HEADER_BYTES = 65536


class Failure(Enum):
    """Why there is no whole answer."""

    NOT_CONNECTED = "not_connected"
    CLOSED = "closed"
    GARBLED = "garbled"


class Receiver(Protocol):
    """Who waits for an answer."""

    def on_head(self, status: int, head: Head) -> None:
        """The answer begins."""

    def on_data(self, data: bytes) -> None:
        """A piece of its body."""

    def on_end(self) -> None:
        """It is complete."""

    def on_failure(self, failure: Failure) -> None:
        """There will be no more of it."""


class ClientState(Enum):
    """What a connection is doing."""

    CONNECTING = "connecting"
    IDLE = "idle"
    WAITING = "waiting"
    CLOSED = "closed"


Dial = Callable[[str, "ClientConnection"], None]


class ClientConnection(asyncio.Protocol):
    """One connection to a server. ``on_idle`` is told when it may carry another request."""

    def __init__(self, address: str, clock: Clock, on_idle: Callable[[ClientConnection], None]) -> None:
        self.address = address
        self.state = ClientState.CONNECTING
        self.idle_until = 0.0
        self.used = False
        self._written = False  # has any byte of a request been handed to the system?
        self._clock = clock
        self._on_idle = on_idle
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MOST_HEADER_BYTES)
        self._transport: asyncio.Transport | None = None
        self._request: Request | None = None
        self._receiver: Receiver | None = None
        self._keep_s = DEFAULT_KEEP_S

    @property
    def reusable(self) -> bool:
        """May another request be sent now?"""
        return self.state is ClientState.IDLE and self._clock.now() < self.idle_until

    def send(self, request: Request, receiver: Receiver) -> None:
        """Send a request, as soon as the connection is up."""
        self._request, self._receiver = request, receiver
        if self.state is ClientState.IDLE:
            self._write()

    def close(self) -> None:
        """End the connection; its receiver hears nothing more."""
        self._receiver = None
        self._become(ClientState.CLOSED)

    def refused(self) -> None:
        """The dialler gives the connection up. It may have come up in that very moment, and carry a request already."""
        self._fail(Failure.CLOSED if self._written else Failure.NOT_CONNECTED)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Part of asyncio.Protocol."""
        self._transport = transport
        if self.state is ClientState.CLOSED:
            transport.abort()
            return
        tune(transport)
        self._become(ClientState.IDLE)
        if self._request is not None:
            self._write()

    def connection_lost(self, error: Exception | None) -> None:
        """Part of asyncio.Protocol."""
        if self.state is ClientState.WAITING and error is None:
            self._end_of_stream()
        self._fail(Failure.CLOSED)

    def data_received(self, data: bytes) -> None:
        """Part of asyncio.Protocol. Bytes that no request asked for end the connection."""
        if self.state is not ClientState.WAITING:
            self._become(ClientState.CLOSED)
            return
        self._http.receive_data(data)
        self._read()

    def eof_received(self) -> None:
        """Part of asyncio.Protocol."""
        if self.state is ClientState.WAITING:
            self._end_of_stream()

    def _end_of_stream(self) -> None:
        try:
            self._http.receive_data(b"")
        except RuntimeError:
            return
        self._read()

    def _write(self) -> None:
        request = self._request
        self._become(ClientState.WAITING)
        fields: Headers = request.head.fields
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            fields = (*fields, (b"content-length", b"%d" % len(request.body)))
        try:
            data = self._http.send(h11.Request(method=request.method, target=request.target, headers=list(fields)))
            if request.body:
                data += self._http.send(h11.Data(data=request.body))
            data += self._http.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError:
            self._fail(Failure.NOT_CONNECTED)
            return
        self._written = True
        self._transport.write(data)

    def _read(self) -> None:
        try:
            while self.state is ClientState.WAITING and self._next():
                pass
        except h11.RemoteProtocolError:
            self._fail(Failure.GARBLED)

    def _next(self) -> bool:
        event = self._http.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.Response):
            head = Head(tuple(event.headers))
            self._keep_s = kept_for(head)
            self._receiver.on_head(event.status_code, head)
        elif isinstance(event, h11.Data):
            self._receiver.on_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._complete()
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(Failure.CLOSED)
        return self._receiver is not None

    def _complete(self) -> None:
        receiver, self._receiver, self._request = self._receiver, None, None
        both_done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if both_done and not self._http.trailing_data[0]:
            self._http.start_next_cycle()
            self.used = True
            self.idle_until = self._clock.now() + self._keep_s
            self._become(ClientState.IDLE)
            self._on_idle(self)
        else:
            self._become(ClientState.CLOSED)
        receiver.on_end()

    def _fail(self, failure: Failure) -> None:
        receiver, self._receiver = self._receiver, None
        self._become(ClientState.CLOSED)
        if receiver is not None:
            receiver.on_failure(failure)

    def _become(self, state: ClientState) -> None:
        """The one change of state."""
        if self.state is ClientState.CLOSED:
            return
        self.state = state
        if state is ClientState.CLOSED and self._transport is not None:
            self._transport.abort()


def kept_for(head: Head) -> float:
    """Seconds for which the server keeps the connection, by its ``Keep-Alive`` field."""
    for word in head.text(b"keep-alive").split(","):
        name, _, value = word.strip().partition("=")
        if name.lower() == "timeout" and value.isdigit():
            return max(0.0, int(value) - KEEP_MARGIN_S)
    return DEFAULT_KEEP_S


class LoopDialer:
    """Connects by asyncio."""

    def __init__(self, loop: asyncio.AbstractEventLoop, timeout_s: float) -> None:
        self._loop = loop
        self._timeout_s = timeout_s
        self._tasks: set[asyncio.Task] = set()

    def __call__(self, address: str, connection: ClientConnection) -> None:
        """Bring a connection up; it is told of the outcome."""
        task = self._loop.create_task(self._connect(address, connection))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _connect(self, address: str, connection: ClientConnection) -> None:
        host, port = split_address(address)
        try:
            async with asyncio.timeout(self._timeout_s):
                await self._loop.create_connection(lambda: connection, host, port)
        except OSError:
            connection.refused()


class OneRequest:
    """One whole request and answer on a connection of its own."""

    def __init__(
        self,
        address: str,
        request: Request,
        clock: Clock,
        dial: Dial,
        timeout_s: float,
        done: Callable[[int, bytes], None],
    ) -> None:
        """``done(status, body)``; status 0 where there is no whole answer in time."""
        self._done: Callable[[int, bytes], None] | None = done
        self._status = 0
        self._body = bytearray()
        self._connection = ClientConnection(address, clock, lambda connection: connection.close())
        self._timer: Timer = clock.call_later(timeout_s, lambda: self._finish(0))
        self._connection.send(request, self)
        dial(address, self._connection)

    def on_head(self, status: int, head: Head) -> None:
        """Part of Receiver."""
        self._status = status

    def on_data(self, data: bytes) -> None:
        """Part of Receiver."""
        self._body += data

    def on_end(self) -> None:
        """Part of Receiver."""
        self._finish(self._status)

    def on_failure(self, failure: Failure) -> None:
        """Part of Receiver."""
        self._finish(0)

    def _finish(self, status: int) -> None:
        done, self._done = self._done, None
        if done is not None:
            self._timer.cancel()
            self._connection.close()
            done(status, bytes(self._body))
