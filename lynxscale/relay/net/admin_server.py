"""The operators' door: a listener of its own, one call to a connection.

Its connections are few and short, so that neither a crowd of clients nor slow callers keep an operator out:
descriptors are set aside for them, a call must have come whole in a second, and beyond the bound the longest
without a whole call goes.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Mapping

import orjson
import structlog
from twisted.internet import interfaces
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from lynxscale.relay import http_parser as http
from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadline, Deadlines
from lynxscale.relay.lifecycle import Lifecycle
from lynxscale.relay.net import connection as link

log = structlog.get_logger()

MOST = 12  # connections at once; more wait in the listen queue for a turn at most
CALL_MS = 1000  # from connecting to the call's last byte
LINGER_MS = 500  # after our last byte, for the caller to read it and close
PAST_MOST = 64 * 1024  # read past after our last byte
HEALTH, QUIESCE, RESUME = "/admin/health", "/admin/quiesce", "/admin/resume"
METHODS = {HEALTH: "GET", QUIESCE: "POST", RESUME: "POST"}
SERVED, SLOW, SILENT = "served", "slow", "silent"


@implementer(interfaces.IHalfCloseableProtocol)
class DoorConnection(Protocol):
    """One call, one answer."""

    def __init__(self, door: Door) -> None:
        self._door = door
        self.number = 0
        self._parser = http.RequestParser()
        self._deadline: Deadline | None = None
        self._reason: str | None = None
        self._past = 0
        self._ended = False
        self.calls = 0

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self._deadline = self._door.deadlines.after(CALL_MS * 1000, self._late)
        self._door.joined(self)

    def dataReceived(self, data: bytes) -> None:
        if self._reason is not None:
            self._past += len(data)
            if self._past > PAST_MOST:
                self.transport.abortConnection()  # guards against one that sends without end
            return
        calls, fault = self._parser.feed(data), self._parser.fault
        if calls:
            self.calls = 1
            self._answer(*self._door.serve(calls[0]), SERVED)
        elif fault is not None:
            self._answer(fault.status, str(fault), link.MALFORMED)

    def _answer(self, status: int, said: str | dict, reason: str) -> None:
        self._door.counters.add("door", f"status_{status}")
        told = {"said": said} if isinstance(said, str) else said
        body = orjson.dumps({"state": self._door.lifecycle.state.value, **told}) + b"\n"
        self.transport.write(http.answer(status, body=body, kind="application/json", close=True))
        self._reason = reason
        self._door.settled(self)
        self.transport.loseWriteConnection()
        self._door.deadlines.cancel(self._deadline)
        self._deadline = self._door.deadlines.after(LINGER_MS * 1000, self.transport.abortConnection)

    def _late(self, looked: bool = False) -> None:
        if not looked and link.unread(self.transport):
            # Guards against a call that has come, and that the loop has still to read: that goes first, once.
            self._deadline = self._door.deadlines.after(link.CROSSED_MS * 1000, self._late, True)
            return
        # Guards against half a call that would hold a descriptor for nothing.
        self._answer(408, "the call did not come in time", SILENT if self._parser.idle else SLOW)

    def readConnectionLost(self) -> None:
        """The caller sends no more. Guards against the loss of the answer to a call that has come whole."""
        self._ended = True
        if self._reason is None:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        if self._ended:
            self.transport.loseConnection()

    def crowd_out(self) -> None:
        self._reason = link.CROWDED
        self.transport.abortConnection()

    def connectionLost(self, reason: Failure) -> None:
        self._door.deadlines.cancel(self._deadline)
        self._door.left(self)
        log.info("connection", kind="door", reason=self._reason or link.FAR_CLOSED, calls=self.calls)


class Door(Factory):
    """``drain`` and ``resume`` are called once an operator wants it; ``resume`` gives False where it cannot be.

    ``calls``: those of other parts, as ``parts.Host`` has them.
    """

    noisy = False

    def __init__(
        self,
        deadlines: Deadlines,
        counters: Counters,
        lifecycle: Lifecycle,
        drain,
        resume,
        calls: Mapping[str, tuple[str, Callable[[str], tuple[int, dict]]]],
    ) -> None:
        self._calls = calls
        self.deadlines, self.counters, self.lifecycle = deadlines, counters, lifecycle
        self._drain, self._resume = drain, resume
        self._open: OrderedDict[int, DoorConnection] = OrderedDict()  # without a whole call first, the oldest first
        self._number = 0
        self._port = None

    def listen(self, reactor, where: tuple[str, int]) -> None:
        """Raises CannotListenError where the address cannot be had."""
        self._port = reactor.listenTCP(where[1], self, backlog=128, interface=where[0])

    def stop(self) -> None:
        if self._port is not None:
            port, self._port = self._port, None
            port.stopListening()

    def buildProtocol(self, _address) -> DoorConnection:
        return DoorConnection(self)

    # Connections ---------------------------------------------------------------------------------

    def joined(self, connection: DoorConnection) -> None:
        self._number += 1
        connection.number = self._number
        self._open[connection.number] = connection
        self.counters.add("door", "opened")
        if len(self._open) > MOST:
            # The oldest: one with a whole call is answered in the turn that reads it, and needs little of the bound.
            self._open.pop(next(iter(self._open))).crowd_out()

    def settled(self, connection: DoorConnection) -> None:
        """It has its answer: it goes behind those that wait, as its caller may still be reading."""
        if connection.number in self._open:
            self._open.move_to_end(connection.number)

    def left(self, connection: DoorConnection) -> None:
        self._open.pop(connection.number, None)

    # Calls ---------------------------------------------------------------------------------------

    def serve(self, call: http.Request) -> tuple[int, str | dict]:
        """Status, and a text or what the body tells."""
        path, _, query = call.target.partition("?")
        methods = METHODS | {one: method for one, (method, _) in self._calls.items()}
        method = methods.get(path)
        if method is None:
            return 404, "no such call; there are " + ", ".join(f"{way} {name}" for name, way in methods.items())
        if call.method != method:
            return 405, f"want {method}"
        if path in self._calls:
            return self._calls[path][1](query)
        if path == HEALTH:
            return (200, "serving") if self.lifecycle.serving else (503, "takes no new clients")
        if path == QUIESCE:
            self._drain()
            return 200, "draining"
        if self._resume():
            return 200, "serving"
        return 409, "the process is stopping"
