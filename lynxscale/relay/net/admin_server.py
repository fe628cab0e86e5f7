"""The admin server: a separate HTTP listener for operators, with one call per connection.

Neither many clients nor slow callers can lock an operator out: descriptors are reserved for admin connections, a call
must be complete within a second, and at the connection limit the connection that has waited longest without a complete
call is evicted.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping
from typing import Any

import orjson
import structlog
from twisted.internet import interfaces
from twisted.internet.protocol import Factory, Protocol, connectionDone
from twisted.python.failure import Failure
from zope.interface import implementer

from lynxscale.relay.components import AdminCall
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadline, Deadlines
from lynxscale.relay.http_parser import Request, RequestParser, response_bytes
from lynxscale.relay.lifecycle import Lifecycle
from lynxscale.relay.net.close_reason import CloseReason
from lynxscale.relay.net.connection import RECHECK_DELAY_MS, unread_byte

log = structlog.get_logger()

MAX_CONNECTIONS = 12  # a further connection evicts the oldest one
LISTEN_BACKLOG = 128
CALL_TIMEOUT_MS = 1000  # from accepting the connection to the last byte of the call
LINGER_TIMEOUT_MS = 500  # after the response, for the caller to read it and close
MAX_LINGER_BYTES = 64 * 1024  # received after the response and discarded
HEALTH, QUIESCE, RESUME = "/admin/health", "/admin/quiesce", "/admin/resume"
METHODS = {HEALTH: "GET", QUIESCE: "POST", RESUME: "POST"}


@implementer(interfaces.IHalfCloseableProtocol)
class AdminConnection(Protocol):
    """An admin connection, which carries one call and its response."""

    transport: Any  # a TCP transport of Twisted

    def __init__(self, server: AdminServer) -> None:
        self._server = server
        self.number = 0
        self.calls = 0
        self._parser = RequestParser()
        self._deadline: Deadline | None = None
        self._reason: str | None = None  # why the connection closes; set once the response is written
        self._discarded = 0  # bytes received after the response
        self._read_closed = False  # the caller has closed its sending side

    def connectionMade(self) -> None:
        """Part of Protocol."""
        self.transport.setTcpNoDelay(True)
        self._deadline = self._server.deadlines.after(CALL_TIMEOUT_MS * 1000, self._timed_out)
        self._server.opened(self)

    def dataReceived(self, data: bytes) -> None:
        """Part of Protocol."""
        if self._reason is not None:
            self._discarded += len(data)
            if self._discarded > MAX_LINGER_BYTES:
                self.transport.abortConnection()  # guards against a caller that never stops sending
            return
        calls, fault = self._parser.feed(data), self._parser.fault
        if calls:
            self.calls = 1
            self._respond(*self._server.serve(calls[0]), CloseReason.SERVED)
        elif fault is not None:
            self._respond(fault.status, str(fault), CloseReason.MALFORMED)

    def _respond(self, status: int, content: str | dict, reason: str) -> None:
        self._server.counters.add("door", f"status_{status}")
        fields = {"said": content} if isinstance(content, str) else content
        body = orjson.dumps({"state": self._server.lifecycle.state.value, **fields}) + b"\n"
        self.transport.write(response_bytes(status, body=body, content_type="application/json", close=True))
        self._reason = reason
        self._server.responded(self)
        self.transport.loseWriteConnection()
        self._server.deadlines.cancel(self._deadline)
        self._deadline = self._server.deadlines.after(LINGER_TIMEOUT_MS * 1000, self.transport.abortConnection)

    def _timed_out(self, rechecked: bool = False) -> None:
        if not rechecked and unread_byte(self.transport):
            # The call may have arrived without the loop having read it yet: check again once.
            self._deadline = self._server.deadlines.after(RECHECK_DELAY_MS * 1000, self._timed_out, True)
            return
        # An incomplete call must not hold its descriptor any longer.
        reason = CloseReason.SILENT if self._parser.idle else CloseReason.SLOW
        self._respond(408, "the call did not come in time", reason)

    def readConnectionLost(self) -> None:
        """Part of IHalfCloseableProtocol. A complete call still gets its response."""
        self._read_closed = True
        if self._reason is None:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        """Part of IHalfCloseableProtocol."""
        if self._read_closed:
            self.transport.loseConnection()

    def evict(self) -> None:
        """Abort the connection to make room for another caller."""
        self._reason = CloseReason.EVICTED
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """Part of Protocol."""
        self._server.deadlines.cancel(self._deadline)
        self._server.closed(self)
        log.info("connection", kind="door", reason=self._reason or CloseReason.REMOTE_CLOSED, calls=self.calls)


class AdminServer(Factory):
    """Serves the calls for health, drain and resume, and those that components add.

    ``drain`` and ``resume`` carry out an operator's call; ``resume`` returns False if the process is stopping.
    ``calls``: the components' calls by path.
    """

    noisy = False

    def __init__(
        self,
        deadlines: Deadlines,
        counters: Counters,
        lifecycle: Lifecycle,
        drain: Callable[[], None],
        resume: Callable[[], bool],
        calls: Mapping[str, AdminCall],
    ) -> None:
        self._calls = calls
        self.deadlines, self.counters, self.lifecycle = deadlines, counters, lifecycle
        self._drain, self._resume = drain, resume
        self._open: OrderedDict[int, AdminConnection] = OrderedDict()  # connections in eviction order
        self._last_number = 0
        self._port: Any = None

    def listen(self, reactor: Any, address: tuple[str, int]) -> None:
        """Listen on ``address``. Raises CannotListenError if it cannot be bound."""
        self._port = reactor.listenTCP(address[1], self, backlog=LISTEN_BACKLOG, interface=address[0])

    def stop(self) -> None:
        """Stop listening."""
        if self._port is not None:
            port, self._port = self._port, None
            port.stopListening()

    def buildProtocol(self, _address: object) -> AdminConnection:
        """Part of Factory."""
        return AdminConnection(self)

    # Events of connections -----------------------------------------------------------------------

    def opened(self, connection: AdminConnection) -> None:
        """Register a new connection; beyond the limit the oldest one is evicted."""
        self._last_number += 1
        connection.number = self._last_number
        self._open[connection.number] = connection
        self.counters.add("door", "opened")
        if len(self._open) > MAX_CONNECTIONS:
            # Evicts one without a complete call, if any: a complete call is answered in the turn that reads it.
            self._open.pop(next(iter(self._open))).evict()

    def responded(self, connection: AdminConnection) -> None:
        """Move a connection with a response to the end of the eviction order, as its caller may still be reading."""
        if connection.number in self._open:
            self._open.move_to_end(connection.number)

    def closed(self, connection: AdminConnection) -> None:
        """Unregister a closed connection."""
        self._open.pop(connection.number, None)

    # Calls ---------------------------------------------------------------------------------------

    def serve(self, call: Request) -> tuple[int, str | dict]:
        """Handle a call; returns the status, and a text or the fields for the body of the response."""
        path, _, query = call.target.partition("?")
        methods = METHODS | {name: method for name, (method, _) in self._calls.items()}
        method = methods.get(path)
        if method is None:
            return 404, "no such call; there are " + ", ".join(f"{verb} {name}" for name, verb in methods.items())
        if call.method != method:
            return 405, f"want {method}"
        if path in self._calls:
            return self._calls[path][1](query)
        return self._own_call(path)

    def _own_call(self, path: str) -> tuple[int, str]:
        if path == HEALTH:
            return (200, "serving") if self.lifecycle.serving else (503, "takes no new clients")
        if path == QUIESCE:
            self._drain()
            return 200, "draining"
        return (200, "serving") if self._resume() else (409, "the process is stopping")
