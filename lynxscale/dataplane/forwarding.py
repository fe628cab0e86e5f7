"""One request of a client: its tries at endpoints, restarts, and its one answer.

States: ADMITTING (a turn asks for its budget and history), QUEUED (waits for a place), SENT, STREAMING (bytes of the
answer have gone to the client), SETTLING (a retained turn is made durable before its last byte goes) and ENDED.
``_become`` is the one place of change.
"""

from __future__ import annotations

import logging
from enum import Enum
from random import Random

import attrs

from lynxscale.coordination.ports import Clock, Timer
from lynxscale.dataplane import headers as h
from lynxscale.dataplane.attempt import Attempt, Outcome
from lynxscale.dataplane.balancer import Balancer, Demand
from lynxscale.dataplane.endpoints import EndpointState
from lynxscale.dataplane.events import EventScanner
from lynxscale.dataplane.routing import Route, RouteTable
from lynxscale.dataplane.turns import TurnLedger
from lynxscale.runtime.http_server import Responder
from lynxscale.runtime.http_types import Head, Headers, Request, Response

log = logging.getLogger(__name__)

HOLD_SHARE = 0.25  # of the time left: a request that finds no place is refused after it
RETRY_AFTER_S = 0.1
MOST_OFFERS = 6  # endpoints asked in all, refusals included
LEAST_LEFT_MS = 5.0
LEAST_LEFT_MEDIANS = 1.0  # with less time than a usual answer takes nothing is sent (design)


class State(Enum):
    """Where a request stands."""

    ADMITTING = "admitting"
    QUEUED = "queued"
    SENT = "sent"
    STREAMING = "streaming"
    SETTLING = "settling"
    ENDED = "ended"


@attrs.frozen
class Surroundings:
    """What all requests of a relay share."""

    clock: Clock
    balancer: Balancer
    turns: TurnLedger
    random: Random


class ForwardedRequest:
    """Implements Exchange towards the client and Listener towards its tries."""

    def __init__(
        self, request: Request, route: Route, table: RouteTable, responder: Responder, around: Surroundings
    ) -> None:
        self.state = State.QUEUED
        self._request = request
        self._route = route
        self._around = around
        self._responder = responder
        self._clock = around.clock
        self._service = route.pick_backend(around.random)
        self._stride = table.stride(self._service)
        self._demand = demand_of(request.head, route, table.memory(self._service))
        client_ms = request.head.number(h.DEADLINE)
        allowed_ms = route.timeout_ms if client_ms is None else min(client_ms, route.timeout_ms)
        self._arrived = self._clock.now()
        self._deadline = self._arrived + allowed_ms / 1000.0
        self._attempt: Attempt | None = None
        self._runs = 0  # tries that may have run
        self._offers = 0
        self._tried: set[str] = set()
        self._turn = around.turns.turn(request, route)
        self._scanner = EventScanner(keep_data=route.retained)
        self._head: tuple[int, Head] | None = None
        self._body = bytearray()
        self._restart: Timer | None = None
        self._hold: Timer | None = None
        self._expiry: Timer = self._clock.call_later(allowed_ms / 1000.0, self._expired)

    def start(self) -> None:
        """Begin."""
        if self._turn is None:
            self._dispatch()
            return
        self._become(State.ADMITTING)
        self._turn.admit(self._left_ms / 1000.0, self._admitted)

    @property
    def _left_ms(self) -> float:
        return (self._deadline - self._clock.now()) * 1000.0

    # Admission of turns ------------------------------------------------------------------------------

    def _admitted(self, status: int, history: bytes) -> None:
        if self.state is not State.ADMITTING:
            if status == 200:
                self._turn.settle(0)
            return
        if status != 200:
            self._answer(h.own_answer(status, RETRY_AFTER_S if status == 503 else None))
            return
        if history:
            self._request = attrs.evolve(self._request, body=history + self._request.body)
        self._dispatch()

    # Tries --------------------------------------------------------------------------------------------

    def _dispatch(self) -> None:
        """Send to an endpoint, or wait for one."""
        self._become(State.QUEUED)
        if self._left_ms < LEAST_LEFT_MS or self._offers >= MOST_OFFERS:
            self._give_up()
            return
        state = self._around.balancer.choose(self._service, self._demand, self._tried)
        if state is None:
            self._wait()
            return
        if state.sample.median * LEAST_LEFT_MEDIANS > self._left_ms:
            self._give_up()
            return
        self._send(state)

    def _wait(self) -> None:
        if self._hold is None:
            hold_s = HOLD_SHARE * min(self._left_ms, self._route.timeout_ms) / 1000.0
            self._hold = self._clock.call_later(hold_s, self._held_too_long)
        self._around.balancer.queue.wait(self._service, self, self._route.priority, self._place_free)

    def _place_free(self) -> None:
        """A place may have come free; meanwhile the request may have ended."""
        if self.state is State.QUEUED:
            self._dispatch()

    def _held_too_long(self) -> None:
        self._hold = None
        if self.state is State.QUEUED:
            self._give_up()

    def _send(self, state: EndpointState) -> None:
        self._offers += 1
        self._tried.add(state.endpoint.id)
        resume = self._scanner.last_id if self._scanner.count else None
        fields = h.upstream_fields(self._request, self._left_ms, state.endpoint.id, self._route.priority, resume)
        self._head, self._body = None, bytearray()
        self._scanner.restart()
        if self.state is not State.STREAMING:
            self._become(State.SENT)
        request = attrs.evolve(self._request, head=Head(fields))
        self._attempt = Attempt(state, request, self, self._clock, self._demand.tokens)
        if self._may_restart():
            tau_ms = state.sample.tau
            if tau_ms < self._left_ms:
                self._restart = self._clock.call_later(tau_ms / 1000.0, self._cut_at_tau)

    def _may_restart(self) -> bool:
        """May this try be cut for another one? Not the last that the route allows."""
        return self._route.repeatable and self._runs + 1 < self._route.max_attempts

    def _cut_at_tau(self) -> None:
        """The design's restart: cut a call that lasts longer than τ, while time and the budget allow."""
        self._restart = None
        attempt = self._attempt
        if self.state is not State.SENT or attempt is None or attempt.answered or attempt.state.restarts < 1.0:
            return
        if self._left_ms < 2 * attempt.state.sample.median:
            return
        attempt.state.cut(attempt.elapsed_ms)
        attempt.cancel()
        self._attempt = None
        self._runs += 1
        self._around.balancer.queue.released(self._service)
        self._dispatch()

    def on_answer(self, attempt: Attempt, status: int, head: Head) -> None:
        """Part of Listener."""
        self._head = (status, head)

    def on_body(self, attempt: Attempt, data: bytes) -> None:
        """Part of Listener."""
        if not self._streams_through():
            self._body += data
            return
        whole = self._scanner.feed(data)
        if whole:
            self._pass_on(whole)

    def _streams_through(self) -> bool:
        return self._route.streaming and self._head is not None and self._head[0] == 200

    def _pass_on(self, data: bytes) -> None:
        if self.state is State.SENT:
            self._cancel_restart()
            status, head = self._head
            self._become(State.STREAMING)
            self._responder.start(status, answer_fields(head))
        self._responder.data(data)

    def on_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """Part of Listener."""
        self._attempt = None
        self._cancel_restart()
        self._around.balancer.queue.released(self._service)
        if outcome is Outcome.COMPLETE:
            self._completed()
        elif outcome is Outcome.NOT_RUN:
            self._again()
        else:
            self._runs += 1
            self._broken()

    def _completed(self) -> None:
        self._runs += 1
        if self._streams_through():
            if self._scanner.within_event:
                self._broken()
            else:
                self._stream_ended()
            return
        status, head = self._head
        if status >= 500 and self._may_repeat():
            self._again()
            return
        self._settle_turn()
        self._answer(Response(status, Head(without_length(answer_fields(head))), bytes(self._body)))

    def _may_repeat(self) -> bool:
        return self._route.repeatable and self._runs < self._route.max_attempts and self._left_ms > LEAST_LEFT_MS

    def _broken(self) -> None:
        """The try may have run, and there is no whole answer."""
        if self._may_repeat():
            self._again()
        elif self.state is State.STREAMING:
            self._settle_turn()
            self._end_broken()
        else:
            self._settle_turn()
            self._answer(h.own_answer(502))

    def _again(self) -> None:
        if self.state is State.STREAMING:
            state = self._around.balancer.choose(self._service, self._demand, self._tried)
            if state is None or self._left_ms < LEAST_LEFT_MS:
                self._settle_turn()
                self._end_broken()
            else:
                self._send(state)
            return
        self._dispatch()

    # Ends ---------------------------------------------------------------------------------------------

    def _stream_ended(self) -> None:
        if self.state is State.SENT:
            status, head = self._head
            self._responder.start(status, answer_fields(head))
        if self._turn is None or not self._route.retained:
            self._settle_turn()
            self._responder.end()
            self._become(State.ENDED)
            return
        self._become(State.SETTLING)
        content = self._turn.input + self._scanner.content()
        self._turn.finish(self._scanner.count * self._stride, content, self._finished)

    def _finished(self, durable: bool) -> None:
        if self.state is not State.SETTLING:
            return
        if durable:
            self._responder.end()
            self._become(State.ENDED)
        else:
            self._end_broken()

    def _give_up(self) -> None:
        """The final answer, at once: refused where it has not run, else failed."""
        self._settle_turn()
        if self.state is State.STREAMING:
            self._end_broken()
        elif self._runs:
            self._answer(h.own_answer(502))
        else:
            self._answer(h.own_answer(503, RETRY_AFTER_S))

    def _expired(self) -> None:
        """All time is used."""
        if self.state is State.ENDED:
            return
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.state.timed_out()
            attempt.cancel()
            self._runs += 1
            self._around.balancer.queue.released(self._service)
        if self.state in (State.STREAMING, State.SETTLING):
            self._settle_turn()
            self._end_broken()
        elif self._runs:
            self._settle_turn()
            self._answer(h.own_answer(504))
        else:
            self._give_up()

    def on_client_disconnected(self) -> None:
        """Part of Exchange: the endpoint is freed at once."""
        if self.state is State.ENDED:
            return
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.cancel()
            self._around.balancer.queue.released(self._service)
        if self.state is not State.SETTLING:
            self._settle_turn()
        self._become(State.ENDED)

    def _settle_turn(self) -> None:
        """Give back what was reserved and not handed out."""
        if self._turn is not None and self.state not in (State.ADMITTING, State.ENDED):
            self._turn.settle(self._scanner.count * self._stride)

    def _answer(self, response: Response) -> None:
        self._become(State.ENDED)
        self._responder.respond(response)

    def _end_broken(self) -> None:
        self._become(State.ENDED)
        self._responder.abort()

    def _cancel_restart(self) -> None:
        if self._restart is not None:
            self._restart.cancel()
            self._restart = None

    def _become(self, state: State) -> None:
        """The one change of state."""
        if state is not State.QUEUED:
            self._around.balancer.queue.leave(self._service, self)
            if self._hold is not None:
                self._hold.cancel()
                self._hold = None
        if state is State.ENDED:
            self._expiry.cancel()
            self._cancel_restart()
        self.state = state


def answer_fields(head: Head) -> Headers:
    """The endpoint's fields that go on to the client."""
    return head.end_to_end()


def without_length(fields: Headers) -> Headers:
    """Fields of an answer whose length is told anew."""
    return tuple(entry for entry in fields if entry[0] != h.CONTENT_LENGTH)


def demand_of(head: Head, route: Route, memory: int) -> Demand:
    """What a request asks of an endpoint."""
    if not route.streaming:
        return Demand("", 0, 0)
    return Demand(h.affinity_key(head), h.prompt_tokens(head) + h.most_tokens(head), memory)
