"""Client connections: messages in, answers out, readiness and counters."""

from __future__ import annotations

import logging
import math
from collections import OrderedDict, deque

import orjson
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure

from lynxscale import http
from lynxscale.deadlines import Deadline, Deadlines
from lynxscale.net import link
from lynxscale.relay import Envelope, Relay, Verdict
from lynxscale.slots import Slots

log = logging.getLogger("lynxscale")

TASK_PATH, READY_PATH, COUNTERS_PATH = "/api", "/_health", "/_counters"
IDLE_MS = 120_000  # a client connection with no request for so long is closed
READ_MS = 20_000  # from a request's first byte to its last
LINGER_MS = 1000  # after our last byte, for the client to read it and close
QUEUED_MOST = 16  # requests read ahead on one connection
NAME_MOST = 200  # characters of an id or a key
STATUS = {
    Verdict.TAKEN: 202, Verdict.REJECTED: 429, Verdict.NO_ROOM: 503, Verdict.DISK_FULL: 503,
}
SERVED, SLOW = "served", "slow"


class BadMessage(Exception):
    """A request that can be no message; the text names the header at fault."""


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
    try:
        left = float(headers.get("req-deadline", ""))
    except ValueError:
        left = math.nan
    if not 0 <= left < 1e6:
        raise BadMessage("req-deadline: want seconds")
    parts = headers.get("x-envelope", "").replace(";", ",").split(",")
    fields = dict(part.strip().partition("=")[::2] for part in parts)
    dest = fields.get("dest", "")
    if not (dest.isascii() and dest.isdigit()) or len(dest) > 9:
        raise BadMessage("x-envelope: want dest=NUMBER")
    return Envelope(
        _name(headers, "req-id"), cls, tenant, _name(headers, "idempotency-key", needed=False), int(dest),
        int(left * 1e6), request.body,
    )


class ClientConnection(Protocol):
    """One client: its requests are answered one after the other, in their order."""

    def __init__(self, desk: Clients) -> None:
        self._desk = desk
        self.place = 0
        self._parser = http.RequestParser()
        self._waiting: deque[http.Request] = deque()
        self._request: http.Request | None = None
        self._deadline: Deadline | None = None
        self._reason: str | None = None
        self._closing = False
        self._paused = False
        self.served = 0

    @property
    def idle(self) -> bool:
        return self._request is None and not self._waiting and self._parser.idle and not self._closing

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        # Guards against a client that sends and never reads: while answers pile up, nothing more is read.
        self.transport.registerProducer(self.transport, True)
        self._desk.joined(self)
        self._wait_for_next()

    def _wait_for_next(self) -> None:
        self._set_deadline(IDLE_MS, link.IDLE)
        self._desk.rests(self)

    def _set_deadline(self, ms: int, reason: str) -> None:
        deadlines = self._desk.deadlines
        deadlines.cancel(self._deadline)
        self._deadline = deadlines.after(ms * 1000, self._late, reason)

    def _late(self, reason: str) -> None:
        if reason == SLOW:
            self._refuse(http.BadHttp(408, "the request did not come in time"))
        else:
            self.abandon(reason)

    def dataReceived(self, data: bytes) -> None:
        if self._closing:
            return  # read past, so that the answer is not lost to a reset
        was_idle = self.idle
        try:
            self._waiting.extend(self._parser.feed(data))
        except http.BadHttp as error:
            self._refuse(error)
            return
        if was_idle:
            self._desk.works(self)
            self._set_deadline(READ_MS, SLOW)
        if self._parser.expects_continue and self._parser.item is not None:
            self._parser.expects_continue = False
            self.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        if len(self._waiting) > QUEUED_MOST and not self._paused:
            self._paused = True
            self.transport.pauseProducing()
        self._next()

    def _next(self) -> None:
        while self._request is None and self._waiting and not self._closing:
            self._request = self._waiting.popleft()
            self._desk.serve(self, self._request)
        if self._paused and not self._waiting:
            self._paused = False
            self.transport.resumeProducing()

    def answer(self, status: int, *, body: bytes = b"", kind: str = "text/plain",
               retry_after_ms: float = 0.0) -> None:
        request, self._request = self._request, None
        if request is None or self._closing:
            return  # the client has gone meanwhile
        self.served += 1
        close = request.close or self._desk.stopping
        self.transport.write(http.answer(
            status, body=body, kind=kind, close=close, retry_after_ms=retry_after_ms,
        ))
        if close:
            self._finish(link.STOPPING if self._desk.stopping else SERVED)
        elif self.idle:
            self._wait_for_next()
        else:
            self._set_deadline(READ_MS, SLOW)

    def answer_verdict(self, verdict: Verdict, retry_after_ms: float) -> None:
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
        if self._paused:
            self._paused = False
            self.transport.resumeProducing()
        self.transport.loseWriteConnection()
        self._set_deadline(LINGER_MS, reason)

    def abandon(self, reason: str) -> None:
        self._reason = self._reason or reason
        self._closing = True
        self.transport.loseConnection()

    def connectionLost(self, reason: Failure) -> None:
        self._desk.deadlines.cancel(self._deadline)
        self._closing = True
        code = self._reason or (link.FAR_CLOSED if reason.check(ConnectionDone) else link.RESET)
        log.info("connection kind=client reason=%s calls=%d", code, self.served)
        self._desk.left(self)


class Clients(Factory):
    """All client connections, within a budget of descriptors."""

    noisy = False

    def __init__(self, deadlines: Deadlines, relay: Relay, most: int) -> None:
        self.deadlines, self.relay, self._most = deadlines, relay, most
        self.stopping = False
        self._connections: Slots = Slots()
        self._idle: OrderedDict[int, ClientConnection] = OrderedDict()  # the longest idle first
        self._port = None
        self._full = False

    def listen(self, reactor, where: tuple[str, int]) -> None:
        self._port = reactor.listenTCP(where[1], self, backlog=511, interface=where[0])

    def buildProtocol(self, _address) -> ClientConnection:
        return ClientConnection(self)

    # The budget ----------------------------------------------------------------------------------

    def joined(self, connection: ClientConnection) -> None:
        connection.place = self._connections.add(connection)
        self.relay.counters.add("connections", "client_opened")
        self._make_room()

    def _make_room(self) -> None:
        """Guards against the descriptor limit: an idle connection goes; with none, new ones wait."""
        if len(self._connections) < self._most:
            self._accept(True)
        elif not self._close_idle(link.CROWDED, 1):
            self._accept(False)

    def _close_idle(self, reason: str, most: int) -> int:
        """Close so many of the longest idle; how many it were.

        Guards against a request lost in the crossing: what the loop has still to read is answered first.
        """
        closed = 0
        for connection in list(self._idle.values()):
            if closed == most:
                break
            if not link.unread(connection.transport):
                self.works(connection)
                connection.abandon(reason)
                closed += 1
        return closed

    def _accept(self, open_: bool) -> None:
        if self._port is None or self._full != open_:
            return
        self._full = not open_
        if open_:
            self._port.startReading()
        else:
            self._port.stopReading()

    def rests(self, connection: ClientConnection) -> None:
        self._idle[connection.place] = connection
        self._idle.move_to_end(connection.place)
        if self._full:
            self._make_room()

    def works(self, connection: ClientConnection) -> None:
        self._idle.pop(connection.place, None)

    def left(self, connection: ClientConnection) -> None:
        self.works(connection)
        self._connections.remove(connection.place)
        if self._full:
            self._make_room()

    # Requests ------------------------------------------------------------------------------------

    def serve(self, connection: ClientConnection, request: http.Request) -> None:
        path = request.target.partition("?")[0]
        if path == TASK_PATH:
            self._hand_in(connection, request)
        elif path == READY_PATH and request.method == "GET":
            connection.answer(503 if self.stopping else 200)
        elif path == COUNTERS_PATH and request.method == "GET":
            connection.answer(200, body=orjson.dumps(self.relay.counters.table()), kind="application/json")
        else:
            connection.answer(405 if path in (READY_PATH, COUNTERS_PATH) else 404)

    def _hand_in(self, connection: ClientConnection, request: http.Request) -> None:
        status, text = 0, ""
        if request.method != "POST":
            status = 405
        elif request.too_large:
            status = 413
        else:
            try:
                envelope = envelope_from(request, self.relay)
            except BadMessage as error:
                status, text = 400, f"{error}\n"
        if status:
            self.relay.counters.add("reject", f"status_{status}")
            connection.answer(status, body=text.encode())
            return
        self.relay.offer(envelope, connection.answer_verdict)

    # The end -------------------------------------------------------------------------------------

    def part(self) -> None:
        """Send away whoever has nothing to ask: the front deals out no more of us."""
        self._close_idle(link.STOPPING, len(self._idle))

    def stop_accepting(self) -> None:
        if self._port is not None:
            port, self._port = self._port, None
            port.stopListening()
        self.part()
