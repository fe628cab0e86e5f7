"""A client's connection: requests are served one at a time, in order of arrival."""

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
from lynxscale.relay.net.connection import RECHECK_DELAY_MS, unread_byte

if TYPE_CHECKING:
    from lynxscale.relay.net.clients import Clients

log = structlog.get_logger()

FIRST_REQUEST_TIMEOUT_MS = 2000  # from accepting the connection to the last byte of the first request
IDLE_TIMEOUT_MS = 15_000  # clients save time by reusing an idle connection
READ_TIMEOUT_MS = 2000  # from the first byte of a later request to its last
LINGER_TIMEOUT_MS = 500  # after the last response, for the client to read it and close
MAX_LINGER_BYTES = 256 * 1024  # received after the last response and discarded; beyond it, nothing more is read
# After an invalid request, reading the next one is delayed by this time per invalid request in a row.
INVALID_REQUEST_BACKOFF_MS, MAX_INVALID_REQUEST_BACKOFF_MS = 20, 1000
STATUS_BY_VERDICT = {
    Verdict.ACCEPTED: 202,
    Verdict.REJECTED: 429,
    Verdict.AT_CAPACITY: 503,
    Verdict.DISK_FULL: 503,
}


@implementer(interfaces.IHalfCloseableProtocol)
class ClientConnection(Protocol):
    """One connection of a client; ``owner`` is the listener that accepted it."""

    transport: Any  # a TCP transport of Twisted

    def __init__(self, owner: Clients) -> None:
        self._owner = owner
        self.slot = 0
        self.served = 0  # number of responses written
        self._parser = RequestParser(SINGLE_HEADERS)
        self._backlog: deque[Request] = deque()
        self._request: Request | None = None  # the request in progress
        self._deadline: Deadline | None = None
        self._reason: str | None = None
        self._closing = False  # the last response is written, or there is none to write
        self._last_response = False  # close after the response to the request in progress
        self._read_closed = False  # the client has closed its sending side
        self._paused = False
        self._discarded = 0  # bytes received after the last response
        self._invalid_in_row = 0  # number of invalid requests in a row
        self._buffered = 0  # bytes of requests that are incomplete or queued

    @property
    def without_request(self) -> bool:
        """True if the client has not sent a complete request yet."""
        return not self.served and self._request is None and not self._backlog and not self._closing

    @property
    def idle(self) -> bool:
        """True if no request is in progress and none has been started."""
        return self._request is None and not self._backlog and self._parser.idle and not self._closing

    # Reading -------------------------------------------------------------------------------------

    def connectionMade(self) -> None:
        """Part of Protocol."""
        self.transport.setTcpNoDelay(True)
        # Backpressure for a client that sends without reading: while responses are unsent, nothing more is read.
        self.transport.registerProducer(self.transport, True)
        self._set_deadline(FIRST_REQUEST_TIMEOUT_MS, CloseReason.SILENT)
        self._owner.opened(self)

    def _set_deadline(self, ms: int, reason: str) -> None:
        deadlines = self._owner.deadlines
        deadlines.cancel(self._deadline)
        self._deadline = deadlines.after(ms * 1000, self._timed_out, reason)

    def _timed_out(self, reason: str, rechecked: bool = False) -> None:
        if self._request is not None or not rechecked and unread_byte(self.transport):
            # A request may have arrived or become complete just now, without the loop having read or answered it:
            # check again once.
            self._deadline = self._owner.deadlines.after(RECHECK_DELAY_MS * 1000, self._timed_out, reason, True)
            return
        # A client that sends nothing, or never completes a request, must not hold its descriptor any longer.
        if reason == CloseReason.SLOW or (reason == CloseReason.SILENT and not self._parser.idle):
            self._reject_malformed(HttpParseError(408, "the request did not come in time"))
        else:
            self.abandon(reason)

    def dataReceived(self, data: bytes) -> None:
        """Part of Protocol."""
        if self._closing or self._last_response:
            # Discarded up to a limit: closing with unread bytes would reset the connection and lose the response.
            self._discarded += len(data)
            if self._discarded > MAX_LINGER_BYTES:
                self._pause()
            return
        was_idle = self.idle
        self._backlog.extend(self._parser.feed(data))
        if self._parser.fault is not None and self._parser.fault.status == 429:
            # Too many pipelined requests, which no well-behaved client sends: serve none of them.
            self._backlog.clear()
        if was_idle and self.served:
            self._owner.busy(self)
            self._set_deadline(READ_TIMEOUT_MS, CloseReason.SLOW)
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
            self._reject_malformed(self._parser.fault)  # earlier requests have been answered

    def _pause(self) -> None:
        if not self._paused:
            self._paused = True
            self.transport.pauseProducing()

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            self.transport.resumeProducing()

    # Responses -----------------------------------------------------------------------------------

    def respond(
        self, status: int, *, body: bytes = b"", content_type: str = "text/plain", retry_after_ms: float = 0.0
    ) -> None:
        """Respond to the request in progress."""
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
                content_type=content_type,
                close=close,
                retry_after_ms=retry_after_ms,
                to_head=request.method == "HEAD",
            )
        )
        if close:
            self._finish(self._reason or (CloseReason.STOPPING if draining else CloseReason.SERVED))
        elif self.idle:
            self._set_deadline(IDLE_TIMEOUT_MS, CloseReason.IDLE)
            self._owner.idle(self)
        else:
            self._set_deadline(READ_TIMEOUT_MS, CloseReason.SLOW)

    def respond_verdict(self, verdict: Verdict, retry_after_ms: float) -> None:
        """Respond with the admission result of a message, then serve the next request."""
        self._invalid_in_row = 0
        self.respond(STATUS_BY_VERDICT[verdict], retry_after_ms=retry_after_ms)
        self._serve_next()

    def reject(self, status: int, text: str) -> None:
        """Reject a request that is not a valid message.

        Reading the client's next request is delayed, so that repeated invalid requests take little CPU.
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
        """Respond to malformed input and close, as the boundaries of later requests are unknown."""
        self._owner.relay.counters.add("reject", f"status_{error.status}")
        text = str(error).encode() + b"\n"
        self.transport.write(response_bytes(error.status, body=text, close=True))
        self._request = None
        self._backlog.clear()
        self._finish(CloseReason.MALFORMED)

    # Closing -------------------------------------------------------------------------------------

    def _finish(self, reason: str) -> None:
        """Close the sending side after the last response.

        The client then closes the connection, or a timer does: closing now could reset it and lose the response.
        """
        self._closing, self._reason = True, reason
        self._owner.busy(self)
        self._resume()
        self.transport.loseWriteConnection()
        self._set_deadline(LINGER_TIMEOUT_MS, reason)

    def abandon(self, reason: str) -> None:
        """Close the connection, after the response if a request is in progress."""
        self._reason = self._reason or reason
        self._parser.discard_buffer()  # immediately, as hundreds of connections may be closed in one turn
        if self._request is not None and not self._closing:
            self._expect_last_response()
        elif self._closing:
            self.transport.abortConnection()  # the last response was written earlier, and the client does not close
        else:
            self._closing = True
            self.transport.loseConnection()

    def _expect_last_response(self) -> None:
        """Drop queued requests, and close after the response to the request in progress."""
        self._last_response = True
        self._backlog.clear()

    def readConnectionLost(self) -> None:
        """Part of IHalfCloseableProtocol. The client may still read the response to its request."""
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
