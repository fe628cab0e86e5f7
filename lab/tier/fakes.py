"""Fakes of the systems around the tier: endpoints, the platform's endpoint list, and clients."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec

from lab.tier.late_answers import LateAnswerConnection
from lab.tier.simulated_tcp import SimulatedTcp
from lab.tier.world import World
from lynxscale.coordination.ports import Clock
from lynxscale.dataplane import headers
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.runtime.http_client import ClientConnection, ResponseFailure
from lynxscale.runtime.http_server import ServerConnection
from lynxscale.runtime.http_types import Head, Headers, Request, Response
from lynxscale.runtime.responder import Responder
from lynxscale.runtime.server_limits import ServerLimits

Listen = Callable[[str, Callable[[], ServerConnection]], None]
PLATFORM = "10.200.0.100:80"
CLIENT = "10.250.0.1:0"
EVENT_INTERVAL_S = 0.02


class FakeEndpoint:
    """An endpoint that signs its responses, and streams events if the path contains ``/stream``.

    ``executed``: all requests that it ran. ``load``: the load that it reports; none if empty. ``status``: the status of
    responses that are no streams. ``service_time_s``: the time before a response begins.

    Faults: ``rejects`` answers 503 without executing, and so does the endpoint in the first half of each
    ``full_period_s``, if that is not 0; ``repeats_late()`` says whether the previous answer on a connection is sent
    again as the next request arrives there; ``fails`` aborts each request; ``aborts_after`` aborts one stream after
    this many events; ``ends_within_event`` ends a stream in the middle of an event. Responses carry the endpoint's
    signature if ``signed``, and the id of their request if ``names_request``.

    ``states_length``: streams have a ``Content-Length``, which is too large by ``length_error`` bytes. ``event_end``:
    the bytes behind each event. ``event_tag(request)``: what the data of each event ends with.
    ``event_count(request)``: the number of events. ``ends_with_connection``: streams have neither a length nor chunks.
    ``trailer``: what follows the last event of a stream in chunks.
    """

    def __init__(self, endpoint: Endpoint, clock: Clock, listen: Listen, events: int = 4) -> None:
        self.endpoint = endpoint
        self.events = events
        self.executed: list[Request] = []
        self.running = 0
        self.max_running = 0
        self.service_time_s = 0.05
        self.rejects = False
        self.full_period_s = 0.0
        self.repeats_late: Callable[[], bool] = lambda: False
        self.fails = False
        self.aborts_after: int | None = None
        self.ends_within_event = False
        self.signed = True
        self.names_request = True
        self.states_length = False
        self.length_error = 0
        self.event_end = b"\n\n"
        self.event_tag: Callable[[Request], bytes] = lambda request: b""
        self.event_count: Callable[[Request], int] = lambda request: self.events
        self.ends_with_connection = False
        self.trailer = b""
        self.load = ""
        self.status = 200
        self._clock = clock
        listen(
            endpoint.address,
            lambda: LateAnswerConnection(self._handle, ServerLimits(), clock, lambda: self.repeats_late()),
        )

    @property
    def full(self) -> bool:
        """Whether requests are rejected now."""
        period_s = self.full_period_s
        return self.rejects or (period_s > 0 and self._clock.now() % period_s < period_s / 2)

    def _handle(self, request: Request, responder: Responder) -> EndpointRun | None:
        if request.head.text(headers.EXPECT_INSTANCE) != self.endpoint.id:
            responder.respond(self._response(request, 421, b"", with_signature=False))
        elif self.full:
            fields = Head(((headers.NOT_EXECUTED, b"1"), (headers.REQUEST_ID, request.head.get(headers.REQUEST_ID))))
            responder.respond(Response(503, fields))
        else:
            self.executed.append(request)
            self.running += 1
            self.max_running = max(self.max_running, self.running)
            return EndpointRun(self, request, responder)
        return None

    def _response(self, request: Request, status: int, body: bytes, with_signature: bool = True) -> Response:
        request_id = request.head.get(headers.REQUEST_ID) or b""
        fields = [(headers.REQUEST_ID, request_id if self.names_request else b"another")]
        if self.load:
            fields.append((headers.SERVER_LOAD, self.load.encode()))
        if with_signature and self.signed:
            fields.append((headers.RESPONSE_SIGNATURE, self.endpoint.id.encode()))
        return Response(status, Head(tuple(fields)), body)


class EndpointRun:
    """One request that an endpoint executes."""

    def __init__(self, endpoint: FakeEndpoint, request: Request, responder: Responder) -> None:
        self._endpoint = endpoint
        self._request = request
        self._responder = responder
        self._last_event_id = int(request.head.text(headers.LAST_EVENT_ID) or 0)
        self._event_count = endpoint.event_count(request)
        self._ended = False
        endpoint._clock.call_later(endpoint.service_time_s, self._begin)

    def on_client_disconnected(self) -> None:
        """Part of Exchange."""
        self._end()

    def _begin(self) -> None:
        if self._ended:
            return
        if self._endpoint.fails:
            self._responder.abort()
            self._end()
        elif "/stream" in self._request.target:
            response = self._endpoint._response(self._request, self._endpoint.status, b"")
            fields = (*response.head.fields, (b"content-type", b"text/event-stream"), *self._framing_fields())
            self._responder.start(response.status, fields)
            self._send_event()
        else:
            self._responder.respond(self._endpoint._response(self._request, self._endpoint.status, b"done"))
            self._end()

    def _framing_fields(self) -> Headers:
        if self._endpoint.ends_with_connection:
            # h11 frames the response as for a client of HTTP/1.0, which ends it with the connection.
            self._responder._connection._http.their_http_version = b"1.0"
            return ((b"connection", b"close"),)
        if not self._endpoint.states_length:
            return ()
        numbers = range(self._last_event_id + 1, self._event_count + 1)
        length = sum(len(self._event(number)) for number in numbers) + self._endpoint.length_error
        return ((b"content-length", b"%d" % length),)

    def _event(self, number: int) -> bytes:
        tag = self._endpoint.event_tag(self._request)
        return b"id: %d\ndata: word%d%s%s" % (number, number, tag, self._endpoint.event_end)

    def _send_event(self) -> None:
        if self._ended:
            return
        if self._last_event_id >= self._event_count:
            if self._endpoint.ends_within_event:
                self._responder.data(b"id: 9\ndata: cut")
            if self._endpoint.trailer:
                self._responder.data(self._endpoint.trailer)
            self._responder.end()
            self._end()
        elif self._last_event_id == self._endpoint.aborts_after and not self._endpoint.ends_with_connection:
            self._endpoint.aborts_after = None
            self._responder.abort()
            self._end()
        else:
            self._last_event_id += 1
            self._responder.data(self._event(self._last_event_id))
            self._endpoint._clock.call_later(EVENT_INTERVAL_S, self._send_event)

    def _end(self) -> None:
        if not self._ended:
            self._ended = True
            self._endpoint.running -= 1


class FakePlatform:
    """Serves the endpoint list as one page; if ``rejects``, it answers 429."""

    def __init__(self, address: str, clock: Clock, listen: Listen) -> None:
        self.listed: list[Endpoint] = []
        self.calls = 0
        self.rejects = False
        listen(address, lambda: ServerConnection(self._handle, ServerLimits(), clock, set()))

    def _handle(self, request: Request, responder: Responder) -> None:
        self.calls += 1
        if self.rejects:
            responder.respond(Response(429))
            return
        body = msgspec.json.encode({"instances": self.listed, "next-page-token": None})
        responder.respond(Response(200, Head(()), body))


class ClientResponse:
    """A response as the client receives it. Implements ResponseReceiver; times are simulated seconds."""

    def __init__(self, world: World, on_end: Callable[[ClientResponse], None] | None = None) -> None:
        self.status = 0
        self.head = Head(())
        self.body = b""
        self.complete = False
        self.ended = False
        self.failure: ResponseFailure | None = None
        self.first_byte_at = 0.0
        self.ended_at = 0.0
        self._world = world
        self._on_end = on_end

    def on_head(self, status: int, head: Head) -> None:
        """Part of ResponseReceiver."""
        self.status, self.head = status, head

    def on_data(self, data: bytes) -> None:
        """Part of ResponseReceiver."""
        self.first_byte_at = self.first_byte_at or self._world.time
        self.body += data

    def on_end(self) -> None:
        """Part of ResponseReceiver."""
        self.complete = True
        self._end()

    def on_failure(self, failure: ResponseFailure) -> None:
        """Part of ResponseReceiver."""
        self.failure = failure
        self._end()

    def _end(self) -> None:
        self.ended = True
        self.ended_at = self._world.time
        if self._on_end is not None:
            self._on_end(self)


def send_request(
    world: World,
    tcp: SimulatedTcp,
    address: str,
    request: Request,
    on_end: Callable[[ClientResponse], Any] | None = None,
) -> tuple[ClientResponse, ClientConnection]:
    """Send a request from a client outside the tier, on a new connection."""
    response = ClientResponse(world, on_end)
    connection = ClientConnection(address, world.machine(CLIENT).clock(), lambda connection: None)
    connection.send(request, response)
    tcp.dialer(CLIENT)(address, connection)
    return response, connection
