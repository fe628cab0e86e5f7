"""One client's connection: its requests are answered one after the other, in their order."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any

import structlog
from twisted.internet import interfaces
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from lynxscale.relay.core import BUSY_RETRY_MS
from lynxscale.relay.deadlines import Deadline
from lynxscale.relay.exceptions import HttpParseError
from lynxscale.relay.http_parser import Request, RequestParser, response_bytes
from lynxscale.relay.message import Verdict
from lynxscale.relay.net.client_requests import SINGLE_HEADERS
from lynxscale.relay.net.close_reason import CloseReason
from lynxscale.relay.net.connection import SECOND_LOOK_MS, unread_byte

if TYPE_CHECKING:
    from lynxscale.relay.net.clients import Clients

log = structlog.get_logger()

FIRST_REQUEST_MS = 2000  # from connecting to the first request's last byte
IDLE_MS = 15_000  # an idle connection is kept for so long, as a new one costs time
READ_MS = 2000  # from a later request's first byte to its last
LINGER_MS = 500  # after our last byte, for the client to read it and close
MAX_LINGER_BYTES = 256 * 1024  # discarded after our last byte; then the client is left to wait for the close
# A request that is no message delays its client's next one: so long for each in a row, up to the maximum.
INVALID_REQUEST_BACKOFF_MS, MAX_INVALID_REQUEST_BACKOFF_MS = 20, 1000
STATUS = {
    Verdict.ACCEPTED: 202,
    Verdict.REJECTED: 429,
    Verdict.AT_CAPACITY: 503,
    Verdict.DISK_FULL: 503,
}


@implementer(interfaces.IHalfCloseableProtocol)
class ClientConnection(Protocol):
    """One client, on one connection of ``owner``."""

    transport: Any  # a TCP transport of Twisted

    def __init__(self, owner: Clients) -> None:
        self._owner = owner
        self.slot = 0
        self.served = 0  # responses written
        self._parser = RequestParser(SINGLE_HEADERS)
        self._backlog: deque[Request] = deque()
        self._request: Request | None = None  # the one under way
        self._deadline: Deadline | None = None
        self._reason: str | None = None
        self._closing = False  # our side has written its last byte, or nothing is owed
        self._last_response = False  # the response that is owed is the last one
        self._read_closed = False  # the client sends no more
        self._paused = False
        self._discarded = 0  # bytes read since our last
        self._invalid_in_row = 0  # requests in a row that were no message
        self._buffered = 0  # bytes of requests that are incomplete or wait for their turn

    @property
    def silent(self) -> bool:
        """It has sent no complete request so far."""
        return not self.served and self._request is None and not self._backlog and not self._closing

    @property
    def idle(self) -> bool:
        """It waits for nothing, and nothing of a next request has been read."""
        return self._request is None and not self._backlog and self._parser.idle and not self._closing

    # Reading -------------------------------------------------------------------------------------

    def connectionMade(self) -> None:
        """Part of Protocol."""
        self.transport.setTcpNoDelay(True)
        # Guards against a client that sends and never reads: while responses pile up, nothing more is read.
        self.transport.registerProducer(self.transport, True)
        self._set_deadline(FIRST_REQUEST_MS, CloseReason.SILENT)
        self._owner.opened(self)

    def _set_deadline(self, ms: int, reason: str) -> None:
        deadlines = self._owner.deadlines
        deadlines.cancel(self._deadline)
        self._deadline = deadlines.after(ms * 1000, self._timed_out, reason)

    def _timed_out(self, reason: str, second_look: bool = False) -> None:
        if self._request is not None or not second_look and unread_byte(self.transport):
            # Guards against a request that arrives, or has just become complete, in this very instant: what the loop
            # has still to read or to answer goes first, once.
            self._deadline = self._owner.deadlines.after(SECOND_LOOK_MS * 1000, self._timed_out, reason, True)
            return
        # Guards against heads that never end and against silence, which would hold a descriptor for nothing.
        if reason == CloseReason.SLOW or (reason == CloseReason.SILENT and not self._parser.idle):
            self._reject_malformed(HttpParseError(408, "the request did not come in time"))
        else:
            self.abandon(reason)

    def dataReceived(self, data: bytes) -> None:
        """Part of Protocol."""
        if self._closing or self._last_response:
            # Discarded, so that the response is not lost to a reset. Guards against one that sends without end.
            self._discarded += len(data)
            if self._discarded > MAX_LINGER_BYTES:
                self._pause()
            return
        was_idle = self.idle
        self._backlog.extend(self._parser.feed(data))
        if self._parser.fault is not None and self._parser.fault.status == 429:
            # Hundreds of requests at once: clients send one at a time. None of them is served.
            self._backlog.clear()
        if was_idle and self.served:
            self._owner.busy(self)
            self._set_deadline(READ_MS, CloseReason.SLOW)
        if self._parser.expects_continue and self._parser.message is not None:
            self._parser.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._serve_next()
        if not self._closing and (self._parser.buffered or self._backlog or self._buffered):
            self._buffered = self._parser.buffered + sum(len(request.body) for request in self._backlog)
            self._owner.buffer(self, self._buffered)

    def _serve_next(self) -> None:
        while self._request is None and self._backlog and not self._closing:
            self._request = self._backlog.popleft()
            self._owner.serve(self, self._request)
        if self._parser.fault is not None and self._request is None and not self._closing:
            self._reject_malformed(self._parser.fault)  # what came before it has been answered

    def _pause(self) -> None:
        if not self._paused:
            self._paused = True
            self.transport.pauseProducing()

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            self.transport.resumeProducing()

    # Responses -----------------------------------------------------------------------------------

    def respond(self, status: int, *, body: bytes = b"", kind: str = "text/plain", retry_after_ms: float = 0.0) -> None:
        """Answer the request under way; ``kind`` is the body's content type."""
        request, self._request = self._request, None
        if request is None or self._closing:
            return  # the client has disconnected meanwhile
        self.served += 1
        draining = not self._owner.lifecycle.serving
        close = request.close or draining or self._last_response
        self.transport.write(
            response_bytes(
                status,
                body=body,
                kind=kind,
                close=close,
                retry_after_ms=retry_after_ms,
            )
        )
        if close:
            self._finish(self._reason or (CloseReason.STOPPING if draining else CloseReason.SERVED))
        elif self.idle:
            self._set_deadline(IDLE_MS, CloseReason.IDLE)
            self._owner.idle(self)
        else:
            self._set_deadline(READ_MS, CloseReason.SLOW)

    def respond_verdict(self, verdict: Verdict, retry_after_ms: float) -> None:
        """Answer a message with what became of it, then go on with the next request."""
        self._invalid_in_row = 0
        self.respond(STATUS[verdict], retry_after_ms=retry_after_ms)
        self._serve_next()

    def reject(self, status: int, text: str) -> None:
        """The request is no message, and is answered so at once.

        Guards against the same thing again and again at full speed: this client's next request is read later.
        """
        self._owner.relay.counters.add("reject", f"status_{status}")
        retry_after_ms = BUSY_RETRY_MS if status == 503 else 0.0
        self.respond(status, body=f"{text}\n".encode(), retry_after_ms=retry_after_ms)
        self._invalid_in_row += 1
        if not self._closing:
            self._pause()
            backoff_ms = min(MAX_INVALID_REQUEST_BACKOFF_MS, INVALID_REQUEST_BACKOFF_MS * self._invalid_in_row)
            self._owner.deadlines.after(backoff_ms * 1000, self._resume)

    def _reject_malformed(self, error: HttpParseError) -> None:
        """Malformed input is answered as well as it can be; what follows it cannot be told apart."""
        self._owner.relay.counters.add("reject", f"status_{error.status}")
        text = str(error).encode() + b"\n"
        self.transport.write(response_bytes(error.status, body=text, close=True))
        self._request = None
        self._backlog.clear()
        self._finish(CloseReason.MALFORMED)

    # Closing -------------------------------------------------------------------------------------

    def _finish(self, reason: str) -> None:
        """Our side is done. The client closes, or the timer does: a reset would tear up the response."""
        self._closing, self._reason = True, reason
        self._owner.busy(self)
        self._resume()
        self.transport.loseWriteConnection()
        self._set_deadline(LINGER_MS, reason)

    def abandon(self, reason: str) -> None:
        """Close it, once the request under way has its response."""
        self._reason = self._reason or reason
        self._parser.discard_buffer()  # now: by the hundred in one turn, the buffers would add up until its end
        if self._request is not None and not self._closing:
            self._expect_last_response()
        elif self._closing:
            self.transport.abortConnection()  # guards against a client that never reads its last response
        else:
            self._closing = True
            self.transport.loseConnection()

    def _expect_last_response(self) -> None:
        """Guards against a complete request that would get no response: it is still sent, in this turn."""
        self._last_response = True
        self._backlog.clear()

    def readConnectionLost(self) -> None:
        """Part of IHalfCloseableProtocol. The client sends no more; it may still read what it has asked for."""
        self._reason, self._read_closed = self._reason or CloseReason.REMOTE_CLOSED, True
        if self._request is not None:
            self._expect_last_response()
        else:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Part of IHalfCloseableProtocol."""
        if self._read_closed:
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Part of Protocol."""
        self._owner.deadlines.cancel(self._deadline)
        self._closing = True
        self._parser.discard_buffer()
        self._backlog.clear()
        code = self._reason or (CloseReason.REMOTE_CLOSED if reason.check(ConnectionDone) else CloseReason.RESET)
        log.info("connection", kind="client", reason=code, calls=self.served)
        self._owner.closed(self)
