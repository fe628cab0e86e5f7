"""HTTP/1.1 server based on h11. A ``ServerConnection`` serves the requests of one client connection sequentially.

Its states are IDLE -> READING -> ANSWERING -> IDLE; CLOSED is reached from every state and is final. A complete
request is passed to the ``Handler`` with a ``Responder``. A handler that responds later returns an ``Exchange``, which
is called if the client disconnects before the end of the response.

What waits in a connection is bounded: every byte that was received counts against a budget of all connections until
its response ends, and nothing more is read from a client that does not read its responses, or sends further requests
before they end. Where the budget is used up, the connections that are stalled or hold most give way. The work that a
connection does in one turn of the event loop is bounded by ``LoopTurns``.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import cast

import h11

from lynxscale.coordination.ports import Clock, Timer
from lynxscale.runtime.exceptions import InvalidRequestError
from lynxscale.runtime.http_types import Head, Headers, Request
from lynxscale.runtime.listener import ConnectionSlot
from lynxscale.runtime.loop_turns import BODY_BYTES_PER_UNIT, EVENT_UNITS, REQUEST_UNITS, SLICE_UNITS, LoopTurns
from lynxscale.runtime.memory_budget import Holder, Reservation
from lynxscale.runtime.request_target import in_origin_form
from lynxscale.runtime.responder import (
    CLOSE,
    RETRY_AFTER_OVERLOAD,
    SERVICE_UNAVAILABLE,
    Exchange,
    Handler,
    Responder,
    refuse_overload,
)
from lynxscale.runtime.server_limits import ServerLimits
from lynxscale.runtime.sockets import SOCKET_BUFFER_BYTES, configure_socket, has_unread_bytes, reset_on_close

EMPTY_LENGTH: Headers = ((b"content-length", b"0"),)
CONNECT = b"CONNECT"
HEAD = b"HEAD"
REQUEST_TIMEOUT = 408
CONTENT_TOO_LARGE = 413
HEADER_FIELDS_TOO_LARGE = 431
NOT_IMPLEMENTED = 501
LINGER_S = 1.0
"""How long the rest of a refused body is read and discarded: a reset would reach the client before its response."""
MAX_PIPELINED_BYTES = 2048
"""A connection is not read from beyond this many bytes of further requests, until the response under way ends."""


class ConnectionState(Enum):
    """The state of a connection from a client."""

    IDLE = "idle"
    READING = "receiving"
    ANSWERING = "answering"
    CLOSED = "closed"


class ServerConnection(asyncio.BufferedProtocol):
    """A connection from a client; it adds itself to ``open_connections`` while it is open.

    ``slot``: its place at the listener; requests on one that is beyond the listener's limit are refused. ``turns``:
    shared with the other connections of the listener.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits,
        clock: Clock,
        open_connections: set[ServerConnection],
        slot: ConnectionSlot | None = None,
        turns: LoopTurns | None = None,
    ) -> None:
        self.state = ConnectionState.IDLE
        self.write_paused = False  # whether the client does not read what was sent
        self._slot = slot
        self._handler = refuse_overload if slot is not None and slot.refused else handler
        self._limits = limits
        self._turns = LoopTurns() if turns is None else turns
        self._clock = clock
        self._open_connections = open_connections
        self._header_bytes = limits.header_bytes
        self._http = self._new_parser()
        self._transport: asyncio.Transport | None = None
        self._exchange: Exchange | None = None
        self._responder: Responder | None = None
        self._head: h11.Request | None = None
        self._body = bytearray()
        self._unsent = bytearray()
        self._deadline: Timer | None = None
        self._idle_since = clock.now()
        self._unparsed_bytes = 0  # received and not parsed
        self._request_bytes = 0  # the body of the request that is being received or answered
        self._reading_paused = False
        self._waits_for_turn = False
        self._progress_at = clock.now()  # when bytes were last received or parsed
        self._unread_at = clock.now()  # when the client last read some of what was sent
        self._on_writable: Callable[[], None] | None = None
        self._request_memory = Reservation(limits.waiting_requests, Holder(lambda: self.unfinished_since, self.refuse))
        self._response_memory = Reservation(limits.waiting_responses, Holder(lambda: self.unread_since, self.reset))

    @property
    def idle_since(self) -> float | None:
        """Part of AcceptedConnection."""
        idle = self.state is ConnectionState.IDLE and not self.write_paused
        return self._idle_since if idle else None

    @property
    def has_unread(self) -> bool:
        """Part of AcceptedConnection."""
        return has_unread_bytes(self._transport)

    @property
    def busy(self) -> bool:
        """Whether a request is being read, or its response is not complete."""
        return self.state in (ConnectionState.READING, ConnectionState.ANSWERING)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of asyncio.Protocol."""
        self._transport = cast(asyncio.Transport, transport)
        configure_socket(transport)
        self._open_connections.add(self)
        if self._slot is not None:
            self._slot.opened(self)
        self._set_deadline(self._limits.idle_timeout_s)

    def connection_lost(self, error: Exception | None) -> None:
        """Part of asyncio.Protocol."""
        self._set_state(ConnectionState.CLOSED)
        self._response_memory.release()
        if self._slot is not None:
            self._slot.lost()

    def eof_received(self) -> None:
        """Part of asyncio.Protocol. A client that closes its sending side counts as disconnected."""

    def get_buffer(self, size_hint: int) -> memoryview:
        """Part of asyncio.BufferedProtocol."""
        return self._limits.receive_buffer

    def buffer_updated(self, size: int) -> None:
        """Part of asyncio.BufferedProtocol."""
        self.data_received(bytes(self._limits.receive_buffer[:size]))

    def data_received(self, data: bytes) -> None:
        """Handle bytes of the client, or keep them while an earlier request is answered."""
        if self.state is ConnectionState.CLOSED:
            return
        self._progress_at = self._clock.now()
        if self.state is ConnectionState.IDLE and not self.write_paused:
            self._apply_header_limit()
            self._set_state(ConnectionState.READING)
        self._http.receive_data(data)
        self._unparsed_bytes += len(data)
        if self.state is ConnectionState.READING and not self._waits_for_turn:
            self._read()
        else:
            self._bound_unparsed()

    def pause_writing(self) -> None:
        """Part of asyncio.Protocol: the client does not read what was sent."""
        self.write_paused = True

    def resume_writing(self) -> None:
        """Part of asyncio.Protocol: the client has read most of what was sent."""
        self.write_paused = False
        self._count_unread()
        call, self._on_writable = self._on_writable, None
        if call is not None:
            call()
        if self.state is ConnectionState.IDLE:
            self._read_pipelined()

    @property
    def unfinished_since(self) -> float | None:
        """The time of the last progress of a request that may be refused, or of one that waits behind another."""
        may_give_way = self.state is ConnectionState.READING or self._reading_paused
        return self._progress_at if may_give_way else None

    @property
    def unread_since(self) -> float | None:
        """The time since which the client has read nothing of what waits for it, None if nothing does."""
        if self._transport is None:
            return None
        unread = self._transport.get_write_buffer_size()
        if unread < self._response_memory.size_bytes:
            self._unread_at = self._clock.now()
            self._response_memory.hold(unread)
        return self._unread_at if unread else None

    def refuse(self) -> None:
        """Give back the memory of what was received: by 503 if no request is answered, else by a reset."""
        if self.state is ConnectionState.READING:
            self._reject(SERVICE_UNAVAILABLE)
        else:
            self.reset()

    def when_writable(self, call: Callable[[], None]) -> None:
        """Call ``call()`` once, at the end of the current pause of writing."""
        self._on_writable = call

    def close_if_idle(self) -> None:
        """Close the connection if no request is in flight."""
        if self.state is ConnectionState.IDLE:
            self.close()

    def close(self) -> None:
        """Close the connection in any state."""
        if self._transport is not None:
            self.flush()
            self._transport.close()
        self._set_state(ConnectionState.CLOSED)

    def reset(self) -> None:
        """Close the connection with a TCP reset, so that the client gets an error in place of an end of the stream."""
        if self._transport is not None:
            reset_on_close(self._transport)
            self._transport.abort()
        self._response_memory.release()  # the transport has dropped what was not sent
        self._set_state(ConnectionState.CLOSED)

    @property
    def chunks_supported(self) -> bool:
        """Whether the client of the current request understands chunks (HTTP/1.1, RFC 9112, section 7.1)."""
        return self._head is None or self._head.http_version >= b"1.1"

    def send_head(self, status: int, fields: Headers) -> None:
        """Queue the head of the response."""
        extra = (CLOSE,) if self._limits.closing and CLOSE not in fields else ()
        self._queue(h11.Response(status_code=status, headers=[*fields, *extra]))

    def send_data(self, data: bytes) -> None:
        """Queue a chunk of the body; the response to HEAD has none (RFC 9110, section 9.3.2)."""
        if self._head is None or self._head.method != HEAD:
            self._queue(h11.Data(data=data))

    def finish(self) -> None:
        """Complete the response and read the next request."""
        self._queue(h11.EndOfMessage())
        self.flush()
        self._exchange = None
        self._responder = None
        if self._http.our_state is h11.MUST_CLOSE or self._http.our_state is h11.ERROR:
            self.close()
            return
        self._http.start_next_cycle()
        self._set_state(ConnectionState.IDLE)
        self._unparsed_bytes = len(self._http.trailing_data[0])
        self._read_pipelined()

    def _read_pipelined(self) -> None:
        """Read the next request in a later turn, if bytes of it have arrived and the client reads its responses."""
        if self._unparsed_bytes and not self.write_paused:
            self._set_state(ConnectionState.READING)
            self._wait_for_turn(slice_used=True)
        self._bound_unparsed()

    def _wait_for_turn(self, slice_used: bool) -> None:
        if not self._waits_for_turn:
            self._waits_for_turn = True
            self._turns.wait(self._clock, self._take_turn, slice_used)

    def _take_turn(self) -> None:
        self._waits_for_turn = False
        if self.state is ConnectionState.READING:
            self._read_now()

    def _bound_unparsed(self) -> None:
        """Count what was received, and read no more while much of it has to wait."""
        waits = self.state is not ConnectionState.READING or self._waits_for_turn or self.write_paused
        self._set_reading_paused(waits and self._unparsed_bytes > MAX_PIPELINED_BYTES)
        kept = self._request_bytes + self._unparsed_bytes + (SOCKET_BUFFER_BYTES if self._reading_paused else 0)
        if self.state is not ConnectionState.READING:
            if kept > self._request_memory.size_bytes:
                self._request_memory.hold(kept, self._clock.now())
        elif not self._request_memory.resize(kept, self._clock.now()):
            self._reject(SERVICE_UNAVAILABLE)

    def _set_reading_paused(self, paused: bool) -> None:
        if self._transport is None or paused == self._reading_paused:
            return
        self._reading_paused = paused
        if paused:
            self._transport.pause_reading()
        else:
            self._transport.resume_reading()

    def flush(self) -> None:
        """Write all queued bytes to the transport."""
        if self._unsent and self._transport is not None and not self._transport.is_closing():
            self._transport.write(bytes(self._unsent))
            self._count_unread()
        self._unsent.clear()

    def _count_unread(self) -> None:
        """Count the bytes that wait in the transport until the client reads."""
        if self._transport is not None:
            unread = self._transport.get_write_buffer_size()
            counted = self._response_memory.size_bytes
            if not counted or unread < counted:
                self._unread_at = self._clock.now()
            if unread != counted:
                self._response_memory.hold(unread, self._clock.now())

    def _new_parser(self) -> h11.Connection:
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._header_bytes)

    def _apply_header_limit(self) -> None:
        """Use the limit in force: h11 takes it only at the start, and the connection may be older than the limit."""
        if self._header_bytes != self._limits.header_bytes:
            self._header_bytes = self._limits.header_bytes
            self._http = self._new_parser()

    def _queue(self, event: h11.Event) -> None:
        try:
            self._unsent += self._http.send(event) or b""
        except h11.LocalProtocolError:  # the handler's response is not valid in HTTP/1.1
            self.close()

    def _read(self) -> None:
        """Parse what was received, now or in a later turn."""
        if self._turns.available:
            self._read_now()
        else:
            self._wait_for_turn(slice_used=False)
            self._bound_unparsed()

    def _read_now(self) -> None:
        """Parse what was received, up to the end of one request or of the slice; the rest waits for its turn."""
        self._progress_at = self._clock.now()
        try:
            more = self._read_slice()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)
            return
        if self.state is ConnectionState.CLOSED:
            return
        self._unparsed_bytes = len(self._http.trailing_data[0])
        if more:
            self._wait_for_turn(slice_used=True)
        self._bound_unparsed()

    def _read_slice(self) -> bool:
        """Handle events of one request; return whether there may be more of them than fit into the slice."""
        for _ in range(SLICE_UNITS // EVENT_UNITS):
            self._turns.spend(EVENT_UNITS)
            if not self._next() or self.state is not ConnectionState.READING:
                return False
        return True

    def _next(self) -> bool:
        """Handle the next h11 event; return False if h11 needs more bytes, or the request is complete."""
        event = self._http.next_event()
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False
        if isinstance(event, h11.Request):
            self._head = event
            self._body.clear()
        elif isinstance(event, h11.Data):
            self._body += event.data
            self._request_bytes = len(self._body)
            if len(self._body) > self._limits.body_bytes:
                self._reject(CONTENT_TOO_LARGE)
        elif isinstance(event, h11.EndOfMessage):
            self._turns.spend(REQUEST_UNITS + len(self._body) // BODY_BYTES_PER_UNIT)
            if self._request_memory.resize(self._request_bytes, self._clock.now()):
                self._dispatch()
            else:
                self._reject(SERVICE_UNAVAILABLE)
            return False
        elif isinstance(event, h11.ConnectionClosed):
            self.close()
        return True

    def _dispatch(self) -> None:
        head = self._head
        assert head is not None
        if head.method == CONNECT:
            self._reject(NOT_IMPLEMENTED)
            return
        received = Request(
            head.method.decode("latin-1"), head.target.decode("latin-1"), Head(tuple(head.headers)), bytes(self._body)
        )
        self._body.clear()
        try:
            request = in_origin_form(received)
        except InvalidRequestError as error:
            self._reject(error.status)
            return
        self._set_state(ConnectionState.ANSWERING)
        self._responder = Responder(self)
        exchange = self._handler(request, self._responder)
        if self.state is ConnectionState.ANSWERING and self._responder is not None:
            self._exchange = exchange

    def _reject(self, status: int) -> None:
        """Respond with an error to a request that cannot be read, and close the connection."""
        if status in (CONTENT_TOO_LARGE, HEADER_FIELDS_TOO_LARGE) and self._limits.outdated():
            status = SERVICE_UNAVAILABLE
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            retry_after = RETRY_AFTER_OVERLOAD if status == SERVICE_UNAVAILABLE else ()
            self._queue(h11.Response(status_code=status, headers=[*EMPTY_LENGTH, *retry_after, CLOSE]))
            self._queue(h11.EndOfMessage())
        if self._body:
            self._close_after_linger()
        else:
            self.close()

    def _close_after_linger(self) -> None:
        """Send the response, and close the connection once its client has had the time to read it."""
        transport = self._transport
        self.flush()
        self._set_reading_paused(False)
        self._set_state(ConnectionState.CLOSED)
        if transport is not None:
            self._clock.call_later(LINGER_S, transport.close)

    def _set_deadline(self, seconds: float) -> None:
        self._cancel_deadline()
        self._deadline = self._clock.call_later(seconds, self._on_deadline)

    def _cancel_deadline(self) -> None:
        if self._deadline is not None:
            self._deadline.cancel()
            self._deadline = None

    def _on_deadline(self) -> None:
        if self.state is ConnectionState.READING:
            self._reject(REQUEST_TIMEOUT)
        elif self.write_paused:
            self.reset()  # what was sent would wait until the client reads it
        else:
            self.close()

    def _set_state(self, state: ConnectionState) -> None:
        """Change the state; all changes go through this method."""
        if self.state is ConnectionState.CLOSED or self.state is state:
            return
        self.state = state
        if state is ConnectionState.IDLE:
            self._idle_since = self._clock.now()
            self._request_bytes = 0
            self._request_memory.release()
            self._set_deadline(self._limits.idle_timeout_s)
        elif state is ConnectionState.READING:
            self._set_deadline(self._limits.header_timeout_s)
        else:
            self._cancel_deadline()
        if state is ConnectionState.CLOSED:
            self._open_connections.discard(self)
            self._body.clear()
            self._request_memory.release()
            self._detach_exchange()

    def _detach_exchange(self) -> None:
        exchange, self._exchange = self._exchange, None
        responder, self._responder = self._responder, None
        if responder is not None:
            responder.detach()
        if exchange is not None:
            exchange.on_client_disconnected()
