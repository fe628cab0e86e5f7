"""An outbound HTTP connection that carries one call at a time."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress
from typing import Any

import structlog
from twisted.internet import endpoints, interfaces
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from lynxscale.relay.deadlines import Deadline, Deadlines
from lynxscale.relay.exceptions import CallFailedError
from lynxscale.relay.http_parser import MAX_BODY_BYTES, Response, ResponseParser
from lynxscale.relay.net.close_reason import CloseReason

log = structlog.get_logger()

Address = tuple[str, int]

# Maximum time from a response's first byte to its last or, with ``stall_between_reads``, between two reads.
RESPONSE_STALL_MS = 500
RECHECK_DELAY_MS = 20  # a timeout with unread bytes is delayed by this, so that the loop can read them


def unread_byte(transport: Any) -> bytes | None:
    """Peek at the socket: a byte that the loop has not read yet, b"" if the remote side has closed, None if nothing."""
    try:
        return transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b""


@implementer(interfaces.IPullProducer)
class OutboundConnection(Protocol):
    """A connection to one address. It is a pull producer in order to learn when a request has been sent completely.

    ``kind``: the kind of connection in log lines. ``on_lost`` is called once the connection is closed. ``max_body``:
    the limit of a response's body in bytes. ``stall_between_reads``: RESPONSE_STALL_MS limits the time between two
    reads instead of the time of the complete response.
    """

    transport: Any  # a TCP transport of Twisted

    def __init__(
        self,
        kind: str,
        deadlines: Deadlines,
        on_lost: Callable[[OutboundConnection], None] | None = None,
        max_body: int = MAX_BODY_BYTES,
        stall_between_reads: bool = False,
    ) -> None:
        self.kind, self.on_lost, self._deadlines = kind, on_lost, deadlines
        self.up, self._stall_between_reads = False, stall_between_reads
        self.calls = 0
        self.idle_since = 0  # µs on the loop's clock
        self.slot = -1  # the connection's number in the owner's table
        self.remote: tuple[int, Address] = (0, ("", 0))  # the endpoint and its address
        self.written = False  # the request in progress has been sent completely
        self._data: bytes | None = None
        self._response: Deferred | None = None  # result of the call in progress
        self._parser = ResponseParser(max_body)
        self._stall: Deadline | None = None
        self._reason: str | None = None

    def connectionMade(self) -> None:
        """Part of Protocol."""
        self.up = True
        self.transport.setTcpNoDelay(True)

    def call(self, data: bytes) -> Deferred:
        """Send a request; the result fires with its Response or fails with CallFailedError."""
        self.calls += 1
        self.written, self._data = False, data
        self._response = Deferred()
        response = self._response
        self.transport.registerProducer(self, False)
        return response

    def resumeProducing(self) -> None:
        """Part of IPullProducer."""
        if self._data is not None:
            data, self._data = self._data, None
            self.transport.write(data)
        else:  # the transport asks for more data, so everything has been sent
            self.written = True
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:
        """Part of IPullProducer."""

    @property
    def busy(self) -> bool:
        """True if a call is in progress."""
        return self._response is not None

    @property
    def status_ok(self) -> bool:
        """True if a status line with 200 has been received for the call in progress."""
        return self._parser.status_ok

    def stale(self) -> bool:
        """Has the remote side closed the connection, or sent bytes, without the loop having read that yet?

        A call written to a closed connection would have to be treated as possibly executed.
        """
        return unread_byte(self.transport) is not None

    def dataReceived(self, data: bytes) -> None:
        """Part of Protocol."""
        if self._response is None:
            self.drop(CloseReason.MALFORMED)  # unsolicited bytes
            return
        responses, parser = self._parser.feed(data), self._parser
        if responses:
            # A complete response is valid even if surplus bytes follow it, but the connection is not reused then.
            surplus = len(responses) > 1 or parser.fault is not None or not parser.idle
            if surplus or responses[0].close or not self.written:
                self.drop(CloseReason.MALFORMED if surplus else CloseReason.REMOTE_CLOSED, responses[0])
            else:
                self._fire(responses[0])
        elif parser.fault is not None:
            self._fail_malformed()
        elif self._stall is None or self._stall_between_reads:
            # A response that never completes would otherwise occupy a slot until the call's timeout.
            self._deadlines.cancel(self._stall)
            self._stall = self._deadlines.after(RESPONSE_STALL_MS * 1000, self._fail_malformed)

    def _fail_malformed(self) -> None:
        """Fail the call, as the received bytes are not a valid response."""
        self._stall = None
        response, self._response = self._response, None
        self.drop(CloseReason.MALFORMED)
        if response is not None:
            response.errback(CallFailedError(self.written, True, self.status_ok))

    def drop(self, reason: str, response: Response | None = None) -> None:
        """Close immediately, so that the remote side sees the end of this call before it sees a later one."""
        if self._reason is not None:
            return
        self._reason, self.up = reason, False
        if response is not None:
            self._fire(response)
        # The shutdown takes effect immediately, the abort only in the loop's next turn.
        with suppress(OSError):
            self.transport.getHandle().shutdown(socket.SHUT_RDWR)
        self.transport.abortConnection()

    def ignore_response(self) -> None:
        """Ignore the response to the call in progress."""
        self._response = None
        self._deadlines.cancel(self._stall)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Part of Protocol."""
        self.up = False
        # Set, so that a later ``drop`` does nothing.
        code = self._reason = self._reason or (
            CloseReason.REMOTE_CLOSED if reason.check(ConnectionDone) else CloseReason.RESET
        )
        log.info("connection", kind=self.kind, reason=code, calls=self.calls)
        if self._response is not None:
            complete = self._parser.end() if code == CloseReason.REMOTE_CLOSED else None
            if complete is not None:
                self._fire(complete)
            else:
                response, self._response = self._response, None
                self._deadlines.cancel(self._stall)
                response.errback(CallFailedError(self.written, False, self.status_ok))
        if self.on_lost is not None:
            self.on_lost(self)

    def _fire(self, result: Response) -> None:
        self._deadlines.cancel(self._stall)
        self._stall = None
        response, self._response = self._response, None
        if response is not None:
            response.callback(result)


def dial(
    reactor: Any, deadlines: Deadlines, timeout: int, address: Address, create: Callable[[], OutboundConnection]
) -> Deferred:
    """Open a connection within ``timeout`` µs; the result fires with it or fails with Twisted's errors."""
    endpoint = endpoints.TCP4ClientEndpoint(reactor, *address, timeout=None)
    factory = Factory.forProtocol(create)
    factory.noisy = False
    connecting = endpoint.connect(factory)
    timer = deadlines.after(timeout, connecting.cancel)

    def cancel_timer(result: object) -> object:
        deadlines.cancel(timer)
        return result

    return connecting.addBoth(cancel_timer)
