"""Model of one call on one connection, and of a second one: the relay's HTTP client, connection pool and attempts.

The second call is another request, or the first request once more, with the same id. The connection is established or
times out, or both at the same time. The server sends a complete or partial response with the call's id, another id or
none, a rejection, a copy of an earlier response, one response too many, or malformed bytes; it closes or resets the
connection at any step. The relay cancels at any step.

Invariants: an attempt is reported as not executed only if nothing of it was written, or if its own rejection was
received; an attempt is complete only with its own complete response; each attempt has at most one outcome.
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
from lynxscale.runtime.http_client import ClientConnection
from lynxscale.runtime.http_types import Head, Request

ADDRESS = "e:1"
BODY = b"0123456789"
HALF_LENGTH = len(BODY) // 2
MAX_RESPONSES = 3
RESPONSES = ("own", "half", "other", "without id", "rejection", "late rejection", "copy", "malformed")
COPIED = ("own", "rejection")  # the responses that the server may send once more


@dataclass(frozen=True)
class CallBounds:
    """``calls``: the number of calls, one after the other."""

    calls: int = 2


def response_bytes(status: int, request_id: bytes, signature: bytes, rejection: bool = False) -> bytes:
    """The bytes of a response; with an empty id it has no id field."""
    fields = [b"content-length: %d" % len(BODY)]
    if request_id:
        fields.append(headers.REQUEST_ID + b": " + request_id)
    if rejection:
        fields.append(headers.NOT_EXECUTED + b": 1")
    else:
        fields.append(headers.RESPONSE_SIGNATURE + b": " + signature)
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
        """Part of asyncio.Transport: None, as there is no socket."""


class Call:
    """A call of the relay, with the events of its attempt. Implements AttemptListener."""

    def __init__(self, number: int, request: int) -> None:
        """``number``: the number of the call, which its signature names; ``request``: the number in its id."""
        self.id = b"r%d" % request
        self.expected_signature = b"stamp-of-call-%d" % number
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
    """The state machine of the model."""

    def __init__(self, bounds: CallBounds) -> None:
        self.bounds = bounds
        clock = World(1).machine("relay:1").clock()
        self.state = EndpointState(Endpoint("i-1", "s", ADDRESS, "z", 4, "ready"), clock, self._dial)
        self.transport = FakeTransport()
        self.connection = None
        self.dial_outcome = ""  # empty while the dial is in progress
        self.calls: list[Call] = []
        self.attempts: list[Attempt] = []
        self.responses_sent: list[tuple[str, int]] = []  # responses of the server, with the call number
        self._copy = b""  # the last response that the server may send once more
        self._carriers: set[ClientConnection] = set()  # the connections that carried the request of the last call
        self.server_closed = False  # whether the server has closed or reset the connection
        self._clock = clock
        self._begin_call(request=1)

    def _dial(self, address: str, connection) -> None:
        if self.connection is None:
            self.connection = connection
        else:
            connection.on_connect_failed()  # the model has a single connection

    def _begin_call(self, request: int) -> None:
        call = Call(len(self.calls) + 1, request)
        call.written_before = len(self.transport.written)
        self.calls.append(call)
        request = Request("POST", "/", Head(((b"host", b"h"), (headers.REQUEST_ID, call.id))), b"x")
        if len(self.calls) > 1 and call.id != self.calls[-2].id:
            self._carriers.clear()
        connection = self.state.connections.acquire(excluded=self._carriers)
        self._carriers.add(connection)
        self.attempts.append(Attempt(self.state, connection, request, call, self._clock, 0))

    @property
    def _open(self) -> bool:
        return self.dial_outcome == "up" and not self.server_closed and not self.transport.aborted

    def events(self) -> list[Event]:
        """Part of StateMachine."""
        possible_events: list[Event] = []
        if not self.dial_outcome:
            possible_events += [("dial", "up"), ("dial", "out of time"), ("dial", "both at once")]
        if self._open and len(self.responses_sent) < MAX_RESPONSES:
            # After a partial response the server can only send the rest: only the length delimits the body.
            partial_sent = bool(self.responses_sent) and self.responses_sent[-1] == ("half", len(self.calls))
            actions = ("rest",) if partial_sent else RESPONSES
            possible_events += [("server", action) for action in actions if action != "copy" or self._copy]
        if self._open:
            possible_events += [("server", "closes"), ("server", "resets")]
        if not self.calls[-1].outcomes and self.attempts[-1]._listener is not None:
            possible_events.append(("relay", "cancels"))
        if self.calls[-1].outcomes and len(self.calls) < self.bounds.calls:
            possible_events += [("relay", "calls again"), ("relay", "sends again")]
        return possible_events

    def apply(self, event: Event) -> None:
        """Part of StateMachine."""
        actor, action = event
        if actor == "dial":
            self._end_dial(action)
        elif actor == "relay":
            if action == "cancels":
                self.attempts[-1].cancel()
            else:
                again = action == "sends again"
                self._begin_call(request=len(self.calls) + (not again))
        elif action in ("closes", "resets"):
            self.server_closed = True
            if action == "closes":
                self.connection.eof_received()
            self.connection.connection_lost(ConnectionResetError() if action == "resets" else None)
        else:
            self._send_response(action)

    def _end_dial(self, action: str) -> None:
        self.dial_outcome = "out of time" if action == "out of time" else "up"
        if action != "out of time":
            self.connection.connection_made(self.transport)
        if action != "up":
            self.connection.on_connect_failed()

    def _send_response(self, action: str) -> None:
        number = len(self.calls)
        self.responses_sent.append((action, number))
        call = self.calls[-1]
        signature = call.expected_signature
        data = {
            "own": response_bytes(200, call.id, signature),
            "half": response_bytes(200, call.id, signature)[:-HALF_LENGTH],
            "rest": BODY[-HALF_LENGTH:],
            "other": response_bytes(200, b"r0", b"stamp-of-r0"),
            "without id": response_bytes(200, b"", b"stamp-of-r0"),
            "rejection": response_bytes(503, call.id, b"", rejection=True),
            "late rejection": response_bytes(503, b"r0", b"", rejection=True),
            "copy": self._copy,
            "malformed": b"\x00\x01 no answer\r\n\r\n",
        }[action]
        if action in COPIED:
            self._copy = data
        self.connection.data_received(data)

    def key(self) -> Hashable:
        """Part of StateMachine."""
        calls = tuple(
            (call.id, tuple(call.outcomes), call.body, call.signature, call.written_before) for call in self.calls
        )
        return (
            self.connection.state,
            self.connection.used,
            self.transport.written,
            self.transport.aborted,
            self.dial_outcome,
            self.server_closed,
            tuple(self.responses_sent),
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
            served = {action for action, during in self.responses_sent if during == number}
            if call.outcomes[0] is AttemptOutcome.NOT_EXECUTED:
                written = call.id in self.transport.written[call.written_before :]
                if written and "rejection" not in served:
                    raise InvariantViolation(f"call {number} counts as not executed, but was written")
            first = number == 1 and "without id" in served
            has_own_signature = call.signature == call.expected_signature or first
            if call.outcomes[0] is AttemptOutcome.COMPLETE and (call.body != BODY or not has_own_signature):
                raise InvariantViolation(f"call {number} was answered with {call.signature} {call.body}")


BOUNDS = (CallBounds(calls=1), CallBounds(calls=2))
