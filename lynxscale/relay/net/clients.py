"""Client connections: messages in, answers out, readiness and counters."""

from __future__ import annotations

import os
import re
import socket
from collections import deque
from collections.abc import Iterable

import orjson
import structlog
from twisted.internet import interfaces
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from lynxscale.relay import http_parser as http
from lynxscale.relay.connection_budget import Room
from lynxscale.relay.core import BUSY_RETRY_MS, Envelope, Relay, Verdict
from lynxscale.relay.deadlines import Deadline, Deadlines
from lynxscale.relay.http_parser import FRAMING
from lynxscale.relay.lifecycle import Lifecycle
from lynxscale.relay.net import connection as link
from lynxscale.relay.slot_table import Slots

log = structlog.get_logger()

TASK_PATH, READY_PATH, COUNTERS_PATH = "/api", "/_health", "/_counters"
BACKLOG = 511
FIRST_MS = 2000  # from connecting to the first request's last byte
IDLE_MS = 15_000  # a connection at rest after its answers is kept for so long, as a new one costs time
READ_MS = 2000  # from a later request's first byte to its last
LINGER_MS = 500  # after our last byte, for the client to read it and close
PAST_MOST = 256 * 1024  # read past after our last byte; then the client is left to wait for the close
FRESH_MS = 200  # at the stop a connection this young may still bring its request
FAULT_REST_MS, FAULT_REST_MOST_MS = 20, 1000  # what was no message delays its client's next request
NAME_MOST = 200  # characters of an id or a key
DEADLINE_SLACK = 2.0  # a message's time left may be so many times its class's deadline
NUMBER = re.compile(r"[0-9]{1,6}(?:\.[0-9]{1,9})?")  # Python's own reading takes nan, inf, signs and 1_0
ONCE = FRAMING | {"host", "req-id", "req-kind", "req-owner", "req-deadline", "idempotency-key", "x-envelope"}
STATUS = {
    Verdict.TAKEN: 202,
    Verdict.REJECTED: 429,
    Verdict.NO_ROOM: 503,
    Verdict.DISK_FULL: 503,
}
SERVED, SLOW, SILENT, HEAVY = "served", "slow", "silent", "heavy"


class BadMessage(Exception):
    """A request that can be no message; the text names the header at fault."""

    def __init__(self, text: str, status: int = 400) -> None:
        super().__init__(text)
        self.status = status


def _name(headers: dict[str, str], key: str, needed: bool = True) -> str:
    text = headers.get(key, "")
    if (needed and not text) or len(text) > NAME_MOST or not (text.isascii() and text.isprintable()):
        raise BadMessage(f"{key}: missing or not of use")
    return text


def envelope_from(request: http.Request, relay: Relay) -> Envelope:
    """The message in a client's request."""
    headers = request.headers
    cls = relay.class_number(headers.get("req-kind", ""))
    if cls is None:
        raise BadMessage("req-kind: not a class of the settings")
    tenant = relay.tenant_number(headers.get("req-owner", ""))
    if tenant is None:
        raise BadMessage("req-owner: not a tenant of the settings")
    seconds = headers.get("req-deadline", "")
    if not NUMBER.fullmatch(seconds):
        raise BadMessage("req-deadline: want seconds")
    left = float(seconds)
    if left * 1000 > relay.settings.classes[cls].deadline_ms * DEADLINE_SLACK:
        raise BadMessage("req-deadline: beyond what its class may have")
    parts = headers.get("x-envelope", "").replace(";", ",").split(",")
    dests = [value for name, _, value in (part.strip().partition("=") for part in parts) if name == "dest"]
    dest = dests[0] if len(dests) == 1 else ""
    if not (dest.isascii() and dest.isdigit()) or len(dest) > 9:
        raise BadMessage("x-envelope: want dest=NUMBER")
    if not relay.group.knows(int(dest)):
        # Until discovery has told what is new, the list that is known may be old: come again then.
        raise BadMessage("x-envelope: no such destination in the list", 404 if relay.group.told else 503)
    return Envelope(
        _name(headers, "req-id"),
        cls,
        tenant,
        _name(headers, "idempotency-key", needed=False),
        int(dest),
        int(left * 1e6),
        request.body,
    )


@implementer(interfaces.IHalfCloseableProtocol)
class ClientConnection(Protocol):
    """One client: its requests are answered one after the other, in their order."""

    def __init__(self, desk: Clients) -> None:
        self._desk = desk
        self.place = 0
        self._parser = http.RequestParser(ONCE)
        self._waiting: deque[http.Request] = deque()
        self._request: http.Request | None = None
        self._deadline: Deadline | None = None
        self._reason: str | None = None
        self._closing = self._leaving = self._ended = False  # leaving: the answer that is owed is the last one
        self._paused = False
        self._past = 0  # bytes read past since our last
        self._faults = 0  # requests in a row that were no message
        self.served = 0
        self._half = 0  # bytes of requests that wait for their rest or their turn

    @property
    def silent(self) -> bool:
        """It has asked for nothing yet, or not to the end."""
        return not self.served and self._request is None and not self._waiting and not self._closing

    @property
    def idle(self) -> bool:
        return self._request is None and not self._waiting and self._parser.idle and not self._closing

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        # Guards against a client that sends and never reads: while answers pile up, nothing more is read.
        self.transport.registerProducer(self.transport, True)
        self._set_deadline(FIRST_MS, SILENT)
        self._desk.joined(self)

    def _set_deadline(self, ms: int, reason: str) -> None:
        deadlines = self._desk.deadlines
        deadlines.cancel(self._deadline)
        self._deadline = deadlines.after(ms * 1000, self._late, reason)

    def _late(self, reason: str, looked: bool = False) -> None:
        if self._request is not None or not looked and link.unread(self.transport):
            # Guards against a request that comes, or has just come whole, in this very instant: what the loop has still
            # to read or to answer goes first, once.
            self._deadline = self._desk.deadlines.after(link.CROSSED_MS * 1000, self._late, reason, True)
            return
        # Guards against heads that never end and against silence, which would hold a descriptor for nothing.
        if reason == SLOW or (reason == SILENT and not self._parser.idle):
            self._refuse(http.BadHttp(408, "the request did not come in time"))
        else:
            self.abandon(reason)

    def dataReceived(self, data: bytes) -> None:
        if self._closing or self._leaving:
            # Read past, so that the answer is not lost to a reset. Guards against one that sends without end.
            self._past += len(data)
            if self._past > PAST_MOST:
                self._pause()
            return
        was_idle = self.idle
        self._waiting.extend(self._parser.feed(data))
        if self._parser.fault is not None and self._parser.fault.status == 429:
            # Hundreds of requests at once: clients send one at a time. None of them is served.
            self._waiting.clear()
        if was_idle and self.served:
            self._desk.works(self)
            self._set_deadline(READ_MS, SLOW)
        if self._parser.expects_continue and self._parser.item is not None:
            self._parser.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self._next()
        if not self._closing and (self._parser.kept or self._waiting or self._half):
            self._half = self._parser.kept + sum(len(request.body) for request in self._waiting)
            self._desk.holds(self, self._half)

    def _next(self) -> None:
        while self._request is None and self._waiting and not self._closing:
            self._request = self._waiting.popleft()
            self._desk.serve(self, self._request)
        if self._parser.fault is not None and self._request is None and not self._closing:
            self._refuse(self._parser.fault)  # what came before it has been answered

    def _pause(self) -> None:
        if not self._paused:
            self._paused = True
            self.transport.pauseProducing()

    def _resume(self) -> None:
        if self._paused:
            self._paused = False
            self.transport.resumeProducing()

    def reject(self, status: int, text: str) -> None:
        """The request is no message, and is answered so at once.

        Guards against the same thing again and again at full speed: this client's next request is read later.
        """
        self._desk.relay.counters.add("reject", f"status_{status}")
        again = BUSY_RETRY_MS if status == 503 else 0.0
        self.answer(status, body=f"{text}\n".encode(), retry_after_ms=again)
        self._faults += 1
        if not self._closing:
            self._pause()
            rest = min(FAULT_REST_MOST_MS, FAULT_REST_MS * self._faults)
            self._desk.deadlines.after(rest * 1000, self._resume)

    def answer(self, status: int, *, body: bytes = b"", kind: str = "text/plain", retry_after_ms: float = 0.0) -> None:
        request, self._request = self._request, None
        if request is None or self._closing:
            return  # the client has gone meanwhile
        self.served += 1
        parting = not self._desk.lifecycle.serving
        close = request.close or parting or self._leaving
        self.transport.write(
            http.answer(
                status,
                body=body,
                kind=kind,
                close=close,
                retry_after_ms=retry_after_ms,
            )
        )
        if close:
            self._finish(self._reason or (link.STOPPING if parting else SERVED))
        elif self.idle:
            self._set_deadline(IDLE_MS, link.IDLE)
            self._desk.rests(self)
        else:
            self._set_deadline(READ_MS, SLOW)

    def answer_verdict(self, verdict: Verdict, retry_after_ms: float) -> None:
        self._faults = 0
        self.answer(STATUS[verdict], retry_after_ms=retry_after_ms)
        self._next()

    def _refuse(self, error: http.BadHttp) -> None:
        """Malformed input is answered as well as it can be; what follows it cannot be told apart."""
        self._desk.relay.counters.add("reject", f"status_{error.status}")
        text = str(error).encode() + b"\n"
        self.transport.write(http.answer(error.status, body=text, close=True))
        self._request = None
        self._waiting.clear()
        self._finish(link.MALFORMED)

    def _finish(self, reason: str) -> None:
        """Our side is done. The far side closes, or time does: a reset would tear up the answer."""
        self._closing, self._reason = True, reason
        self._desk.works(self)
        self._resume()
        self.transport.loseWriteConnection()
        self._set_deadline(LINGER_MS, reason)

    def abandon(self, reason: str) -> None:
        self._reason = self._reason or reason
        self._parser.forget()  # now: by the hundred in one turn, what they keep would add up until its end
        if self._request is not None and not self._closing:
            self._last_answer()
        elif self._closing:
            self.transport.abortConnection()  # guards against a client that never reads its last answer
        else:
            self._closing = True
            self.transport.loseConnection()

    def _last_answer(self) -> None:
        """Guards against a request that has come whole and would get no answer: that goes yet, in this turn."""
        self._leaving = True
        self._waiting.clear()

    def readConnectionLost(self) -> None:
        """The client sends no more, and has perhaps gone. It may still hear what it has asked for."""
        self._reason, self._ended = self._reason or link.FAR_CLOSED, True
        if self._request is not None:
            self._last_answer()
        else:
            self.transport.loseConnection()

    def writeConnectionLost(self) -> None:
        if self._ended:
            self.transport.loseConnection()

    def connectionLost(self, reason: Failure) -> None:
        self._desk.deadlines.cancel(self._deadline)
        self._closing = True
        self._parser.forget()
        self._waiting.clear()
        code = self._reason or (link.FAR_CLOSED if reason.check(ConnectionDone) else link.RESET)
        log.info("connection", kind="client", reason=code, calls=self.served)
        self._desk.left(self)


class Clients(Factory):
    """All client connections, within a budget of descriptors."""

    noisy = False

    def __init__(self, deadlines: Deadlines, relay: Relay, lifecycle: Lifecycle, bytes_most: int) -> None:
        self.deadlines, self.relay = deadlines, relay
        self.lifecycle = lifecycle
        self._connections: Slots = Slots()
        self._room = Room(bytes_most)
        self._port = None
        self._full = self._shared = False
        self._parting = False  # to listen no more, once who waits for it is accepted

    def listen(self, reactor, where: tuple[str, int]) -> None:
        self._port = reactor.listenTCP(where[1], self, backlog=BACKLOG, interface=where[0])

    def adopt(self, reactor, handle: int) -> None:
        """Take clients from a listening socket that others hold, too. It is never shut, only let go."""
        self._shared = True
        os.set_blocking(handle, False)  # guards against an accept that waits, when another process was faster
        self._port = reactor.adoptStreamPort(handle, socket.AF_INET, self)

    def bound(self, most: int, easy: int) -> None:
        """Hold so many connections at most from now on, and so many before those at rest go."""
        self._room.most, self._room.easy = most, easy

    def buildProtocol(self, _address) -> ClientConnection:
        return ClientConnection(self)

    def open(self) -> int:
        """Connections, those with their last answer included."""
        return len(self._connections)

    # The budget ----------------------------------------------------------------------------------

    def joined(self, connection: ClientConnection) -> None:
        connection.place = self._connections.add(connection)
        self._room.joined(connection.place, self.deadlines.now())
        self.relay.counters.add("connections", "client_opened")
        self._make_room()

    def _make_room(self) -> None:
        """Guards against the descriptor limit: one that has asked for nothing goes, else one that is idle.

        With none, new ones wait in the listen queue. Guards as well against clients that ask once and stay: usual ones
        may have no more connections left to open than a third of the descriptors, long before the table is full.
        """
        now = self.deadlines.now()
        if len(self._connections) < self._room.most:
            self._accept(True)
            if len(self._connections) > self._room.easy:
                self._close(self._room.rested(now), link.CROWDED, 2)
        elif not self._close(self._room.leavers(now), link.CROWDED, 1):
            self._accept(False)

    def _close(self, places: Iterable[int], reason: str, most: int) -> int:
        """Close so many of them; how many it were.

        Guards against a request lost in the crossing: what the loop has still to read is answered first.
        """
        closed = 0
        for place in places:
            connection = self._connections.get(place)
            if (
                connection is not None
                and (connection.silent or connection.idle)
                and not link.unread(connection.transport)
            ):
                self._room.closing(place)
                connection.abandon(reason)
                closed += 1
                if closed == most:
                    break
        return closed

    def holds(self, connection: ClientConnection, size: int) -> None:
        """So many bytes of its requests wait for their rest, or for their turn.

        Guards against half requests by the thousand, each within its own bound, that fill the memory together.
        """
        self._room.holds(connection.place, size)
        for place in self._room.heavy():
            if (heavy := self._connections.get(place)) is not None:
                self._room.closing(place)
                heavy.abandon(HEAVY)

    def _accept(self, open_: bool) -> None:
        if self._port is None or self._full != open_:
            return
        self._full = not open_
        if open_:
            self._port.startReading()
        else:
            self._port.stopReading()

    def rests(self, connection: ClientConnection) -> None:
        self._room.rests(connection.place, self.deadlines.now())
        if self._full:
            self._make_room()

    def works(self, connection: ClientConnection) -> None:
        self._room.works(connection.place)

    def left(self, connection: ClientConnection) -> None:
        self._room.closing(connection.place)
        self._connections.remove(connection.place)
        if self._full:
            self._make_room()
        if self._parting:
            self.stop_accepting()

    # Requests ------------------------------------------------------------------------------------

    def serve(self, connection: ClientConnection, request: http.Request) -> None:
        path = request.target.partition("?")[0]
        if path == TASK_PATH:
            self._hand_in(connection, request)
        elif path == READY_PATH and request.method == "GET":
            connection.answer(200 if self.lifecycle.ready else 503)
        elif path == COUNTERS_PATH and request.method == "GET":
            connection.answer(200, body=orjson.dumps(self.relay.counters.table()), kind="application/json")
        else:
            connection.reject(405 if path in (READY_PATH, COUNTERS_PATH) else 404, "no such thing here")

    def _hand_in(self, connection: ClientConnection, request: http.Request) -> None:
        try:
            if request.method != "POST":
                raise BadMessage("want POST", 405)
            if request.too_large:
                raise BadMessage("the body is too long", 413)
            envelope = envelope_from(request, self.relay)
        except BadMessage as error:
            connection.reject(error.status, str(error))
            return
        self.relay.offer(envelope, connection.answer_verdict)

    # The end -------------------------------------------------------------------------------------

    def part(self) -> None:
        """Send away whoever has nothing to ask: the front deals out no more of us."""
        now = self.deadlines.now()
        self._close(self._room.silent(now, FRESH_MS * 1000), link.STOPPING, len(self._connections))
        self._close(self._room.idle(), link.STOPPING, len(self._connections))

    def stop_accepting(self) -> None:
        """Listen no more. Where there is no room for those who wait to be accepted, once they have had it."""
        port = self._port
        if port is None:
            return
        if not self._shared:
            # Guards against connections that the kernel has taken and the loop has not: they would be reset.
            self._parting = True
            port.numberAccepts = self._room.most - len(self._connections)
            if port.numberAccepts > 0:
                port.doRead()
            if len(self._connections) >= self._room.most:
                return  # again as soon as one of them leaves
        self._port = None
        port.stopListening()
