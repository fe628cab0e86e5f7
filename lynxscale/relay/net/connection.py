"""One connection out, which carries one call at a time: used for peers and for discovery."""

from __future__ import annotations

import socket
from collections.abc import Callable
from contextlib import suppress

import structlog
from twisted.internet import endpoints, interfaces
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Factory, Protocol
from twisted.python.failure import Failure
from zope.interface import implementer

from lynxscale.relay.deadlines import Deadline, Deadlines
from lynxscale.relay.http_parser import BODY_MOST, LIST_MOST, Response, ResponseParser

log = structlog.get_logger()

# Reason codes of ended connections, as they stand in the log.
FAR_CLOSED, RESET, IDLE, CROWDED, CANCELLED, TIMED_OUT, MALFORMED, STOPPING, MOVED, GONE = (
    "far_closed",
    "reset",
    "idle",
    "crowded",
    "cancelled",
    "timed_out",
    "malformed",
    "stopping",
    "moved",
    "gone",
)


REST_MS = 500  # from an answer's first byte to its last, or, where the caller bounds the whole, between two pieces
CROSSED_MS = 20  # for what has come in the instant of a time-out to be read; a turn or two of the loop


class Broken(Exception):
    """No whole answer. ``written``: the call's last byte had left; ``spoilt``: something came that is none;
    ``said_ok``: its first line was read, and says 200."""

    def __init__(self, written: bool, spoilt: bool = False, said_ok: bool = False) -> None:
        super().__init__("connection ended")
        self.written, self.spoilt, self.said_ok = written, spoilt, said_ok


class Late(Broken):
    """No answer in the time that the caller gave the call."""


def unread(transport) -> bytes | None:
    """A byte that the loop has not read yet; empty where the far end has closed, None where there is none."""
    try:
        return transport.getHandle().recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return None
    except OSError:
        return b""


@implementer(interfaces.IPullProducer)
class Link(Protocol):
    """A connection to one address. As a pull producer it learns when its last byte has left."""

    def __init__(
        self,
        kind: str,
        deadlines: Deadlines,
        on_lost: Callable[[Link], None] | None = None,
        most: int = BODY_MOST,
        in_pieces: bool = False,
    ) -> None:
        self.kind, self.on_lost, self._deadlines = kind, on_lost, deadlines
        self.up, self._in_pieces = False, in_pieces
        self.calls = 0
        self.since = 0  # idle since then, on the loop's clock
        self.place = -1  # among the connections of its owner
        self.home: tuple[int, tuple[str, int]] = (0, ("", 0))  # the endpoint it leads to, and the address
        self.written = False
        self._data: bytes | None = None
        self._answer: Deferred | None = None
        self._parser = ResponseParser(most)
        self._rest: Deadline | None = None
        self._reason: str | None = None

    def connectionMade(self) -> None:
        self.up = True
        self.transport.setTcpNoDelay(True)

    def call(self, data: bytes) -> Deferred:
        """Write one request; fires with its Response or fails with Broken."""
        self.calls += 1
        self.written, self._data = False, data
        self._answer = Deferred()
        answer = self._answer
        self.transport.registerProducer(self, False)
        return answer

    def resumeProducing(self) -> None:
        if self._data is not None:
            data, self._data = self._data, None
            self.transport.write(data)
        else:  # asked for more: all that there was has left
            self.written = True
            self.transport.unregisterProducer()

    def stopProducing(self) -> None:
        pass

    @property
    def busy(self) -> bool:
        return self._answer is not None

    def stale(self) -> bool:
        """Has the far end closed it, though the loop has not come to read that?

        Guards against a call written to a closed connection: it would count as one that may have run.
        """
        return unread(self.transport) is not None

    def dataReceived(self, data: bytes) -> None:
        if self._answer is None:
            self.drop(MALFORMED)  # bytes that answer no call
            return
        answers, parser = self._parser.feed(data), self._parser
        if answers:
            # A whole answer counts, whatever follows it; the connection is of no further use then.
            more = len(answers) > 1 or parser.fault is not None or not parser.idle
            if more or answers[0].close or not self.written:
                self.drop(MALFORMED if more else FAR_CLOSED, answers[0])
            else:
                self._fire(answers[0])
        elif parser.fault is not None:
            self._spoil()
        elif self._rest is None or self._in_pieces:
            # Guards against an answer that never ends: its call would keep a slot until its time is up.
            self._deadlines.cancel(self._rest)
            self._rest = self._deadlines.after(REST_MS * 1000, self._spoil)

    @property
    def said_ok(self) -> bool:
        return self._parser.said_ok

    def _spoil(self) -> None:
        """What has come is no answer and will be none."""
        self._rest = None
        answer, self._answer = self._answer, None
        self.drop(MALFORMED)
        if answer is not None:
            answer.errback(Broken(self.written, True, self.said_ok))

    def drop(self, reason: str, response: Response | None = None) -> None:
        """Close at once. The far end must see the end of this call before any later one."""
        if self._reason is not None:
            return
        self._reason, self.up = reason, False
        if response is not None:
            self._fire(response)
        # The shutdown goes out now; the abort waits for the loop's next turn.
        with suppress(OSError):
            self.transport.getHandle().shutdown(socket.SHUT_RDWR)
        self.transport.abortConnection()

    def forsake(self) -> None:
        """Nobody waits for this call's answer any more."""
        self._answer = None
        self._deadlines.cancel(self._rest)

    def connectionLost(self, reason: Failure) -> None:
        self.up = False
        # Kept, so that a later ``drop`` finds nothing left to close.
        code = self._reason = self._reason or (FAR_CLOSED if reason.check(ConnectionDone) else RESET)
        log.info("connection", kind=self.kind, reason=code, calls=self.calls)
        if self._answer is not None:
            response = self._parser.end() if code == FAR_CLOSED else None
            if response is not None:
                self._fire(response)
            else:
                answer, self._answer = self._answer, None
                self._deadlines.cancel(self._rest)
                answer.errback(Broken(self.written, False, self.said_ok))
        if self.on_lost is not None:
            self.on_lost(self)

    def _fire(self, response: Response) -> None:
        self._deadlines.cancel(self._rest)
        self._rest = None
        answer, self._answer = self._answer, None
        if answer is not None:
            answer.callback(response)


def dial(reactor, deadlines: Deadlines, micros: int, address: tuple[str, int], make: Callable[[], Link]) -> Deferred:
    """Open a connection, within that time."""
    where = endpoints.TCP4ClientEndpoint(reactor, *address, timeout=None)
    factory = Factory.forProtocol(make)
    factory.noisy = False
    dialled = where.connect(factory)
    late = deadlines.after(micros, dialled.cancel)

    def settled(result):
        deadlines.cancel(late)
        return result

    return dialled.addBoth(settled)


class Caller:
    """Calls to one address, over one connection that is opened when needed; one call at a time."""

    def __init__(self, reactor, deadlines: Deadlines, where: tuple[str, int], kind: str) -> None:
        self._reactor, self._deadlines, self._where, self._kind = reactor, deadlines, where, kind
        self.host = f"{where[0]}:{where[1]}"
        self._link: Link | None = None
        self._answer: Deferred | None = None
        self._round = 0  # what belongs to an earlier call is not heard any more
        self._deadline: Deadline | None = None

    def call(self, data: bytes, micros: int) -> Deferred:
        """The Response within that time, else a failure. An earlier call is dropped and never fires."""
        self.drop(CANCELLED)
        answer = self._answer = Deferred()
        number = self._round
        self._deadline = self._deadlines.after(micros, self._late, number)
        ready = self._link
        if ready is not None and ready.up and not ready.stale():
            self._send(ready, data, number)
            return answer
        if ready is not None:
            ready.drop(FAR_CLOSED)
        dialled = dial(self._reactor, self._deadlines, micros, self._where, self._make)
        dialled.addCallbacks(self._connected, self._failed, (data, number), None, (number,))
        return answer

    def drop(self, reason: str) -> None:
        """End the call that is under way, if any."""
        self._round += 1
        self._answer = None
        self._deadlines.cancel(self._deadline)
        if self._link is not None and self._link.busy:
            self._link.forsake()
            self._link.drop(reason)

    def close(self, reason: str) -> None:
        """Nothing more is called here."""
        self.drop(reason)
        self.close_idle(reason)

    def close_idle(self, reason: str) -> None:
        if self._link is not None and not self._link.busy:
            self._link.drop(reason)

    def _make(self) -> Link:
        return Link(self._kind, self._deadlines, most=LIST_MOST, in_pieces=True)

    def _connected(self, ready: Link, data: bytes, number: int) -> None:
        if number != self._round:
            ready.drop(CANCELLED)
            return
        self._link = ready
        self._send(ready, data, number)

    def _send(self, ready: Link, data: bytes, number: int) -> None:
        ready.call(data).addCallbacks(self._answered, self._failed, (number,), None, (number,))

    def _answered(self, response: Response, number: int) -> None:
        if number == self._round:
            answer, self._answer = self._answer, None
            self._deadlines.cancel(self._deadline)
            answer.callback(response)

    def _failed(self, failure: Failure, number: int) -> None:
        if number == self._round:
            answer = self._answer
            self.drop(RESET)
            answer.errback(failure)

    def _late(self, number: int) -> None:
        if number == self._round:
            answer = self._answer
            self.drop(TIMED_OUT)
            answer.errback(Late(False))
