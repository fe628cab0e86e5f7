"""HTTP/1.1 to clients, by h11. One ``ServerConnection`` serves a connection's requests one after the other."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import Protocol

import h11
from attrs import define

from lynxscale.coordination.ports import Clock, Timer
from lynxscale.runtime.http_types import Head, Headers, Request, Response
from lynxscale.runtime.network import tune

EMPTY_LENGTH: Headers = ((b"content-length", b"0"),)


@define
class ServerLimits:
    """What a client may send and how long it may take; changed in place by a new configuration."""

    header_bytes: int = 16384
    body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 60.0
    closing: bool = False  # answers end their connections


class Exchange(Protocol):
    """Who answers one request."""

    def client_gone(self) -> None:
        """The client left before the answer's end."""


Handler = Callable[[Request, "Responder"], Exchange | None]


class ConnectionState(Enum):
    """What a connection is doing."""

    IDLE = "idle"
    READING = "receiving"
    ANSWERING = "answering"
    CLOSED = "closed"


class Responder:
    """The answer to one request. Calls after the client has gone do nothing."""

    def __init__(self, connection: ServerConnection) -> None:
        self._connection: ServerConnection | None = connection

    @property
    def gone(self) -> bool:
        """Is there nobody to answer any more?"""
        return self._connection is None

    def detach(self) -> None:
        """The connection has ended."""
        self._connection = None

    def whole(self, response: Response) -> None:
        """Answer at once."""
        if self._connection is not None:
            fields = (*response.head.fields, (b"content-length", b"%d" % len(response.body)))
            self._connection.send_head(response.status, fields)
            if response.body:
                self._connection.send_data(response.body)
            self._connection.finish()

    def start(self, status: int, fields: Headers) -> None:
        """Begin an answer whose body follows."""
        if self._connection is not None:
            self._connection.send_head(status, fields)

    def data(self, data: bytes) -> None:
        """A piece of the body, passed on now."""
        if self._connection is not None:
            self._connection.send_data(data)
            self._connection.flush()

    def end(self) -> None:
        """The body is complete."""
        if self._connection is not None:
            self._connection.finish()

    def break_off(self) -> None:
        """End the connection without completing the answer."""
        if self._connection is not None:
            self._connection.close()


class ServerConnection(asyncio.Protocol):
    """One client's connection."""

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        clock: Clock,
        open_connections: set[ServerConnection],
    ) -> None:
        self.state = ConnectionState.IDLE
        self._handler = handler
        self._limits = limits
        self._clock = clock
        self._open = open_connections
        self._http = h11.Connection(h11.SERVER, max_incomplete_event_size=limits.header_bytes)
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._responder: Responder | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._unsent = bytearray()
        self._deadline: Timer | None = None

    @property
    def busy(self) -> bool:
        """Is a request half read or not yet answered?"""
        return self.state in (ConnectionState.READING, ConnectionState.ANSWERING)

    def connection_made(self, transport: asyncio.Transport) -> None:
        """Part of asyncio.Protocol."""
        self._transport = transport
        tune(transport)
        self._open.add(self)
        self._set_deadline(self._limits.idle_timeout_s)

    def connection_lost(self, error: Exception | None) -> None:
        """Part of asyncio.Protocol."""
        self._become(ConnectionState.CLOSED)

    def eof_received(self) -> None:
        """Part of asyncio.Protocol: a client that ends its sending has left."""

    def data_received(self, data: bytes) -> None:
        """Part of asyncio.Protocol."""
        if self.state is ConnectionState.CLOSED:
            return
        self._http.receive_data(data)
        if self.state is ConnectionState.IDLE:
            self._become(ConnectionState.READING)
        if self.state is ConnectionState.READING:
            self._read()

    def close_if_idle(self) -> None:
        """End a connection on which no request is under way."""
        if self.state is ConnectionState.IDLE:
            self.close()

    def close(self) -> None:
        """End the connection as it stands."""
        if self._transport is not None:
            self.flush()
            self._transport.close()
        self._become(ConnectionState.CLOSED)

    def send_head(self, status: int, fields: Headers) -> None:
        """Begin the answer."""
        extra = ((b"connection", b"close"),) if self._limits.closing else ()
        self._queue(h11.Response(status_code=status, headers=[*fields, *extra]))

    def send_data(self, data: bytes) -> None:
        """Continue the answer."""
        self._queue(h11.Data(data=data))

    def finish(self) -> None:
        """Complete the answer, and go on with the next request."""
        self._queue(h11.EndOfMessage())
        self.flush()
        self._exchange = None
        self._responder = None
        if self._http.our_state is h11.MUST_CLOSE or self._http.our_state is h11.ERROR:
            self.close()
            return
        self._http.start_next_cycle()
        self._become(ConnectionState.IDLE)
        if self._http.trailing_data[0]:
            self._become(ConnectionState.READING)
            self._clock.call_later(0.0, self._read)

    def flush(self) -> None:
        """Hand what was queued to the socket."""
        if self._unsent and self._transport is not None and not self._transport.is_closing():
            self._transport.write(bytes(self._unsent))
        self._unsent.clear()

    def _queue(self, event: h11.Event) -> None:
        try:
            self._unsent += self._http.send(event) or b""
        except h11.LocalProtocolError:
            self.close()

    def _read(self) -> None:
        try:
            while self.state is ConnectionState.READING and self._next():
                pass
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)

    def _next(self) -> bool:
        """Take one event; False where more bytes are needed."""
        event = self._http.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.Request):
            self._head = event
            self._body.clear()
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._limits.body_bytes:
                self._refuse(413)
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch()
        elif isinstance(event, h11.ConnectionClosed):
            self.close()
        return True

    def _dispatch(self) -> None:
        head = self._head
        request = Request(
            head.method.decode("latin-1"), head.target.decode("latin-1"), Head(tuple(head.headers)), bytes(self._body)
        )
        self._body.clear()
        self._become(ConnectionState.ANSWERING)
        self._responder = Responder(self)
        exchange = self._handler(request, self._responder)
        if self.state is ConnectionState.ANSWERING and self._responder is not None:
            self._exchange = exchange

    def _refuse(self, status: int) -> None:
        """Answer a request that cannot be read, and end the connection."""
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self._queue(h11.Response(status_code=status, headers=[*EMPTY_LENGTH, (b"connection", b"close")]))
            self._queue(h11.EndOfMessage())
        self.close()

    def _set_deadline(self, seconds: float) -> None:
        self._cancel_deadline()
        self._deadline = self._clock.call_later(seconds, self._too_slow)

    def _cancel_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _too_slow(self) -> None:
        if self.state is ConnectionState.READING:
            self._refuse(408)
        else:
            self.close()

    def _become(self, state: ConnectionState) -> None:
        """The one change of state."""
        if self.state is ConnectionState.CLOSED or self.state is state:
            return
        self.state = state
        if state is ConnectionState.IDLE:
            self._set_deadline(self._limits.idle_timeout_s)
        elif state is ConnectionState.READING:
            self._set_deadline(self._limits.header_timeout_s)
        else:
            self._cancel_deadline()
        if state is ConnectionState.CLOSED:
            self._open.discard(self)
            self._leave_exchange()

    def _leave_exchange(self) -> None:
        exchange, self._exchange = self._exchange, None
        responder, self._responder = self._responder, None
        if responder is not None:
            responder.detach()
        if exchange is not None:
            exchange.client_gone()
