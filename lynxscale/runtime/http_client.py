"""HTTP/1.1 client based on h11. A ``ClientConnection`` carries one request at a time and may be reused.

Its states are CONNECTING -> IDLE <-> WAITING -> CLOSED; CLOSED is reached from every state and is final. A
``ResponseReceiver`` gets ``on_head``, any number of ``on_data``, then ``on_end``; or ``on_failure`` at any point before
``on_end``. A response in many small pieces is parsed some of them a turn of the event loop.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from enum import Enum
from typing import Protocol, cast

import h11

from lynxscale.coordination.ports import Clock, Timer
from lynxscale.runtime.connect_tasks import ConnectTasks
from lynxscale.runtime.http_types import Head, Headers, Request
from lynxscale.runtime.sockets import CONNECT_ERRORS, configure_socket, split_address

DEFAULT_KEEP_ALIVE_S = 4.0
"""How long an idle connection may be reused if the server sends no ``Keep-Alive: timeout``."""
KEEP_ALIVE_MARGIN_S = 0.5
"""An idle connection is not reused this close to the server's timeout, as the server may be closing it."""
MAX_HEADER_BYTES = 65536
MAX_EVENTS_PER_TURN = 64
"""How many pieces of a response, such as its chunks, are parsed in one turn of the event loop."""


class ResponseFailure(Enum):
    """The reason why there is no complete response."""

    NOT_CONNECTED = "not_connected"
    """No byte of the request was sent, so the server cannot have executed it."""
    CLOSED = "closed"
    """The connection ended before the response did; the server may have executed the request."""
    MALFORMED = "malformed"
    """The server sent invalid HTTP; it may have executed the request."""


class ResponseReceiver(Protocol):
    """Receives the parts of one response as they arrive."""

    def on_head(self, status: int, head: Head) -> None:
        """Called with the status and header fields of the response."""

    def on_data(self, data: bytes) -> None:
        """Called for each chunk of the body."""

    def on_end(self) -> None:
        """Called once the response is complete."""

    def on_failure(self, failure: ResponseFailure) -> None:
        """Called if the response will not be completed; no further call follows."""


class ClientState(Enum):
    """The state of a connection to a server."""

    CONNECTING = "connecting"
    IDLE = "idle"
    WAITING = "waiting"
    CLOSED = "closed"


Dial = Callable[[str, "ClientConnection"], None]
"""``dial(address, connection)`` connects to ``host:port`` and calls the connection with the outcome."""


class ClientConnection(asyncio.Protocol):
    """A connection to a server. ``on_idle(connection)`` is called whenever it becomes free for another request."""

    def __init__(self, address: str, clock: Clock, on_idle: Callable[[ClientConnection], None]) -> None:
        self.address = address
        self.state = ClientState.CONNECTING
        self.idle_until = 0.0
        self.used = False  # whether it has carried a complete request and response
        self._written = False  # whether any byte of a request was passed to the transport
        self._clock = clock
        self._on_idle = on_idle
        self._http = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEADER_BYTES)
        self._transport: asyncio.Transport | None = None
        self._request: Request | None = None
        self._receiver: ResponseReceiver | None = None
        self._keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self._pause_requested = False
        self._waits_for_turn = False  # whether received bytes are parsed in a later turn
        self._reading_paused = False

    @property
    def reusable(self) -> bool:
        """Whether another request may be sent now."""
        return self.state is ClientState.IDLE and self._clock.now() < self.idle_until

    def send(self, request: Request, receiver: ResponseReceiver) -> None:
        """Send a request as soon as the connection is established."""
        self._request, self._receiver = request, receiver
        if self.state is ClientState.IDLE:
            self._write()

    def close(self) -> None:
        """Abort the connection; the receiver is not called any more."""
        self._receiver = None
        self._set_state(ClientState.CLOSED)

    def pause_reading(self) -> None:
        """Receive nothing more for now, so that the server has to wait."""
        self._pause_requested = True
        self._update_reading()

    def resume_reading(self) -> None:
        """Receive again; no effect if reading is not paused."""
        self._pause_requested = False
        self._update_reading()

    def _update_reading(self) -> None:
        """Receive unless a pause was requested, or what was received before waits to be parsed."""
        paused = self._pause_requested or self._waits_for_turn
        if self._transport is None or paused == self._reading_paused:
            return
        self._reading_paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def on_connect_failed(self) -> None:
        """Handle a failed or timed-out dial; meanwhile the connection may have come up and sent its request."""
        self._fail(ResponseFailure.CLOSED if self._written else ResponseFailure.NOT_CONNECTED)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of asyncio.Protocol."""
        self._transport = cast(asyncio.Transport, transport)
        if self.state is ClientState.CLOSED:
            self._transport.abort()
            return
        configure_socket(transport)
        self._set_state(ClientState.IDLE)
        if self._request is not None:
            self._write()

    def connection_lost(self, error: Exception | None) -> None:
        """Part of asyncio.Protocol."""
        if self.state is ClientState.WAITING and error is None:
            self._end_of_stream()
        self._fail(ResponseFailure.CLOSED)

    def data_received(self, data: bytes) -> None:
        """Part of asyncio.Protocol. Bytes outside a response close the connection."""
        if self.state is not ClientState.WAITING:
            self._set_state(ClientState.CLOSED)
            return
        self._http.receive_data(data)
        if not self._waits_for_turn:
            self._read_some()

    def eof_received(self) -> None:
        """Part of asyncio.Protocol."""
        if self.state is ClientState.WAITING:
            self._end_of_stream()

    def _end_of_stream(self) -> None:
        try:
            self._http.receive_data(b"")
        except RuntimeError:  # h11 has already received the end of the stream
            return
        self._read()

    def _write(self) -> None:
        request, transport = self._request, self._transport
        assert request is not None and transport is not None
        self._set_state(ClientState.WAITING)
        fields: Headers = request.head.fields
        if request.body or request.method not in ("GET", "HEAD", "DELETE"):
            fields = (*fields, (b"content-length", b"%d" % len(request.body)))
        try:
            data = self._http.send(h11.Request(method=request.method, target=request.target, headers=list(fields)))
            if request.body:
                data += self._http.send(h11.Data(data=request.body))
            data += self._http.send(h11.EndOfMessage()) or b""
        except h11.LocalProtocolError:  # the request is not valid in HTTP/1.1
            self._fail(ResponseFailure.NOT_CONNECTED)
            return
        self._written = True
        transport.write(data)

    def _read_some(self) -> None:
        """Parse what was received, up to a number of events; the rest in the next turn."""
        self._waits_for_turn = self._read(MAX_EVENTS_PER_TURN)
        self._update_reading()
        if self._waits_for_turn:
            self._clock.call_later(0.0, self._read_rest)

    def _read_rest(self) -> None:
        self._waits_for_turn = False
        if self.state is ClientState.WAITING:
            self._read_some()

    def _read(self, max_events: float = math.inf) -> bool:
        """Parse what was received; return whether ``max_events`` were too few for it."""
        events = 0
        try:
            while self.state is ClientState.WAITING and events < max_events and self._next():
                events += 1
        except h11.RemoteProtocolError:
            self._fail(ResponseFailure.MALFORMED)
        return self.state is ClientState.WAITING and events >= max_events

    def _next(self) -> bool:
        """Handle the next h11 event; return False if h11 needs more bytes."""
        receiver, event = self._receiver, self._http.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED or receiver is None:
            return False
        if isinstance(event, h11.Response):
            head = Head(tuple(event.headers))
            self._keep_alive_s = keep_alive_s(head)
            receiver.on_head(event.status_code, head)
        elif isinstance(event, h11.Data):
            receiver.on_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._complete(receiver)
        elif isinstance(event, h11.ConnectionClosed):
            self._fail(ResponseFailure.CLOSED)
        return True

    def _complete(self, receiver: ResponseReceiver) -> None:
        self._receiver = self._request = None
        both_done = self._http.our_state is h11.DONE and self._http.their_state is h11.DONE
        if both_done and not self._http.trailing_data[0]:
            self._http.start_next_cycle()
            self.resume_reading()
            self.used = True
            self.idle_until = self._clock.now() + self._keep_alive_s
            self._set_state(ClientState.IDLE)
            self._on_idle(self)
        else:
            self._set_state(ClientState.CLOSED)
        receiver.on_end()

    def _fail(self, failure: ResponseFailure) -> None:
        receiver, self._receiver = self._receiver, None
        self._set_state(ClientState.CLOSED)
        if receiver is not None:
            receiver.on_failure(failure)

    def _set_state(self, state: ClientState) -> None:
        """Change the state; all changes go through this method."""
        if self.state is ClientState.CLOSED:
            return
        self.state = state
        if state is ClientState.CLOSED and self._transport is not None:
            self._transport.abort()


def keep_alive_s(head: Head) -> float:
    """Return for how long an idle connection may be reused, by the ``Keep-Alive`` field (RFC 2068, section 19.7.1)."""
    for parameter in head.text(b"keep-alive").split(","):
        name, _, value = parameter.strip().partition("=")
        if name.lower() == "timeout" and value.isdecimal():
            return max(0.0, int(value) - KEEP_ALIVE_MARGIN_S)
    return DEFAULT_KEEP_ALIVE_S


class AsyncioDialer:
    """Implements Dial with asyncio."""

    def __init__(self, loop: asyncio.AbstractEventLoop, timeout_s: float) -> None:
        self._loop = loop
        self._timeout_s = timeout_s
        self._attempts = ConnectTasks(loop)

    def __call__(self, address: str, connection: ClientConnection) -> None:
        """Connect in the background and call the connection with the outcome; no effect once this is closed."""
        self._attempts.start(lambda: self._connect(address, connection))

    async def aclose(self) -> None:
        """End the attempts that are under way; connections get no outcome any more."""
        await self._attempts.aclose()

    async def _connect(self, address: str, connection: ClientConnection) -> None:
        try:
            host, port = split_address(address)
            async with asyncio.timeout(self._timeout_s):
                await self._loop.create_connection(lambda: connection, host, port)
        except CONNECT_ERRORS:
            connection.on_connect_failed()


class SingleRequest:
    """Sends one request on a new connection that is closed after the response."""

    def __init__(
        self,
        address: str,
        request: Request,
        clock: Clock,
        dial: Dial,
        timeout_s: float,
        done: Callable[[int, bytes], None],
    ) -> None:
        """``done(status, body)`` is called once; the status is 0 without a complete response within ``timeout_s``."""
        self._done: Callable[[int, bytes], None] | None = done
        self._status = 0
        self._body = bytearray()
        self._connection = ClientConnection(address, clock, lambda connection: connection.close())
        self._timer: Timer = clock.call_later(timeout_s, lambda: self._finish(0))
        self._connection.send(request, self)
        dial(address, self._connection)

    def on_head(self, status: int, head: Head) -> None:
        """Part of ResponseReceiver."""
        self._status = status

    def on_data(self, data: bytes) -> None:
        """Part of ResponseReceiver."""
        self._body += data

    def on_end(self) -> None:
        """Part of ResponseReceiver."""
        self._finish(self._status)

    def on_failure(self, failure: ResponseFailure) -> None:
        """Part of ResponseReceiver."""
        self._finish(0)

    def _finish(self, status: int) -> None:
        done, self._done = self._done, None
        if done is not None:
            self._timer.cancel()
            self._connection.close()
            done(status, bytes(self._body))
