"""Model of one call on one connection, and a second where it is reused: HTTP client and attempt as in service.

The connection is established or times out, or both at once; the server sends its response, complete or in part, with
the call's id, another's or none, a rejection, one response too many, or malformed bytes; it closes or resets at any
step; the relay cancels at any step.

Invariants: an attempt counts as not executed only where nothing of it was written, or where a rejection of its own was
received; an attempt is complete only with its own complete response; each attempt has one outcome at most.
"""

from __future__ import annotations

from collections.abc import Hashable
from dataclasses import dataclass

from lab.model_checker import Event, InvariantViolation
from lab.tier.world import World
from lynxscale.dataplane import headers
from lynxscale.dataplane.attempt import Attempt, AttemptOutcome
from lynxscale.dataplane.endpoint_state import EndpointState
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.runtime.http_types import Head, Request

ADDRESS = "e:1"
BODY = b"0123456789"
HALF = len(BODY) // 2
MAX_SENT = 3
ANSWERS = ("own", "half", "other", "without id", "rejection", "late rejection", "malformed")


@dataclass(frozen=True)
class CallBounds:
    """``calls``: one behind the other."""

    calls: int = 2


def answer(status: int, request_id: bytes, own: bytes, rejection: bool = False) -> bytes:
    """An answer's bytes; an empty id leaves the field out."""
    fields = [b"content-length: %d" % len(BODY)]
    if request_id:
        fields.append(headers.REQUEST_ID + b": " + request_id)
    if rejection:
        fields.append(headers.NOT_EXECUTED + b": 1")
    else:
        fields.append(headers.RESPONSE_SIGNATURE + b": " + own)
    return b"HTTP/1.1 %d OK\r\n" % status + b"\r\n".join(fields) + b"\r\n\r\n" + BODY


class FakeTransport:
    """The relay's end of the connection."""

    def __init__(self) -> None:
        self.written = b""
        self.aborted = False

    def write(self, data: bytes) -> None:
        """Part of asyncio.Transport."""
        self.written += data

    def abort(self) -> None:
        """Part of asyncio.Transport."""
        self.aborted = True

    def get_extra_info(self, name: str) -> None:
        """There is no socket."""


class Call:
    """One attempt, as its relay sees it. Implements AttemptListener."""

    def __init__(self, number: int) -> None:
        self.id = b"r%d" % number
        self.outcomes: list[AttemptOutcome] = []
        self.body = b""
        self.signature = b""
        self.written_before = 0

    def on_response_head(self, attempt: Attempt, status: int, head: Head) -> None:
        """Part of AttemptListener."""
        self.signature = head.get(headers.RESPONSE_SIGNATURE)

    def on_response_data(self, attempt: Attempt, data: bytes) -> None:
        """Part of AttemptListener."""
        self.body += data

    def on_restart_timeout(self, attempt: Attempt) -> None:
        """Part of AttemptListener."""

    def on_attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Part of AttemptListener."""
        self.outcomes.append(outcome)


class OneConnection:
    """The state machine that is searched."""

    def __init__(self, bounds: CallBounds) -> None:
        self.bounds = bounds
        clock = World(1).machine("relay:1").clock()
        self.state = EndpointState(Endpoint("i-1", "s", ADDRESS, "z", 4, "ready"), clock, self._dial)
        self.transport = FakeTransport()
        self.connection = None
        self.dialled = ""  # how the dial ended
        self.calls: list[Call] = []
        self.attempts: list[Attempt] = []
        self.sent: list[tuple[str, int]] = []  # by the server, and during which call
        self.over = False  # has the server ended the connection?
        self._clock = clock
        self._begin()

    def _dial(self, address: str, connection) -> None:
        if self.connection is None:
            self.connection = connection
        else:
            connection.on_connect_failed()  # another connection is another machine

    def _begin(self) -> None:
        call = Call(len(self.calls) + 1)
        call.written_before = len(self.transport.written)
        self.calls.append(call)
        request = Request("POST", "/", Head(((b"host", b"h"), (headers.REQUEST_ID, call.id))), b"x")
        self.attempts.append(Attempt(self.state, request, call, self._clock, 0))

    @property
    def _open(self) -> bool:
        return self.dialled == "up" and not self.over and not self.transport.aborted

    def events(self) -> list[Event]:
        """Part of StateMachine."""
        found: list[Event] = []
        if not self.dialled:
            found += [("dial", "up"), ("dial", "out of time"), ("dial", "both at once")]
        if self._open and len(self.sent) < MAX_SENT:
            # Behind a part nothing but the rest is told from it: its length is all that frames it.
            parted = bool(self.sent) and self.sent[-1] == ("half", len(self.calls))
            found += [("server", what) for what in (("rest",) if parted else ANSWERS)]
        if self._open:
            found += [("server", "closes"), ("server", "resets")]
        if not self.calls[-1].outcomes and self.attempts[-1]._listener is not None:
            found.append(("relay", "cancels"))
        if self.calls[-1].outcomes and len(self.calls) < self.bounds.calls:
            found.append(("relay", "calls again"))
        return found

    def apply(self, event: Event) -> None:
        """Part of StateMachine."""
        who, what = event
        if who == "dial":
            self._end_dial(what)
        elif who == "relay":
            if what == "cancels":
                self.attempts[-1].cancel()
            else:
                self._begin()
        elif what in ("closes", "resets"):
            self.over = True
            if what == "closes":
                self.connection.eof_received()
            self.connection.connection_lost(ConnectionResetError() if what == "resets" else None)
        else:
            self._serve(what)

    def _end_dial(self, what: str) -> None:
        self.dialled = "out of time" if what == "out of time" else "up"
        if what != "out of time":
            self.connection.connection_made(self.transport)
        if what != "up":
            self.connection.on_connect_failed()

    def _serve(self, what: str) -> None:
        number = len(self.calls)
        self.sent.append((what, number))
        call = self.calls[-1]
        stamp = b"stamp-of-" + call.id
        data = {
            "own": answer(200, call.id, stamp),
            "half": answer(200, call.id, stamp)[:-HALF],
            "rest": BODY[-HALF:],
            "other": answer(200, b"r0", b"stamp-of-r0"),
            "without id": answer(200, b"", b"stamp-of-r0"),
            "rejection": answer(503, call.id, b"", rejection=True),
            "late rejection": answer(503, b"r0", b"", rejection=True),
            "malformed": b"\x00\x01 no answer\r\n\r\n",
        }[what]
        self.connection.data_received(data)

    def key(self) -> Hashable:
        """Part of StateMachine."""
        calls = tuple((tuple(call.outcomes), call.body, call.signature, call.written_before) for call in self.calls)
        return (
            self.connection.state,
            self.connection.used,
            self.transport.written,
            self.transport.aborted,
            self.dialled,
            self.over,
            tuple(self.sent),
            calls,
            tuple(attempt._listener is None for attempt in self.attempts),
            str(self.connection._http.states),
        )

    def check(self) -> None:
        """Part of StateMachine. Raises InvariantViolation."""
        for number, call in enumerate(self.calls, 1):
            if len(call.outcomes) > 1:
                raise InvariantViolation(f"call {number} has outcomes {call.outcomes}")
            if not call.outcomes:
                continue
            served = {what for what, during in self.sent if during == number}
            if call.outcomes[0] is AttemptOutcome.NOT_EXECUTED:
                written = call.id in self.transport.written[call.written_before :]
                if written and "rejection" not in served:
                    raise InvariantViolation(f"call {number} counts as not run, and was written")
            first = number == 1 and "without id" in served
            own = call.signature == b"stamp-of-" + call.id or first
            if call.outcomes[0] is AttemptOutcome.COMPLETE and (call.body != BODY or not own):
                raise InvariantViolation(f"call {number} is answered with {call.signature} {call.body}")


BOUNDS = (CallBounds(calls=1), CallBounds(calls=2))
