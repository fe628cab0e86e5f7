"""The life cycle of one client request, from its arrival to its response.

``ForwardedRequest`` is a state machine; ``request_state`` defines its states and transitions, and only ``_transition``
changes the state. ``retry_policy`` decides about retries and restarts, ``load_balancer`` chooses an endpoint, an
``Attempt`` sends the request once, ``response_stream`` assembles the response, and ``turns`` admits and commits turns.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import attrs

from lynxscale.configuration.model import Route
from lynxscale.coordination.ports import Clock, Timer
from lynxscale.dataplane import headers, retry_policy
from lynxscale.dataplane.attempt import FIRST_SERVER_ERROR, Attempt, AttemptOutcome
from lynxscale.dataplane.endpoint_state import EndpointState
from lynxscale.dataplane.load_balancer import EndpointDemand, LoadBalancer
from lynxscale.dataplane.relay_configuration import RouteMatch
from lynxscale.dataplane.request_state import RequestState
from lynxscale.dataplane.response_stream import ResponseStream
from lynxscale.dataplane.responses import BAD_GATEWAY, GATEWAY_TIMEOUT, SERVICE_UNAVAILABLE, relay_response
from lynxscale.dataplane.turns import Turn, TurnClient
from lynxscale.runtime.http_client import ClientConnection
from lynxscale.runtime.http_types import Head, Request, Response
from lynxscale.runtime.memory_budget import MemoryBudget, Reservation
from lynxscale.runtime.responder import Exchange, Responder

RETRY_AFTER_S = 0.1


@attrs.frozen
class ForwardingContext:
    """The objects that all requests of a relay share.

    ``route_by_version(request, responder, version)`` routes a request anew once the relay has a version of the
    configuration, and returns its exchange. ``responses``: the memory for responses that are kept until their end.
    """

    clock: Clock
    balancer: LoadBalancer
    turns: TurnClient
    random: Random
    route_by_version: Callable[[Request, Responder, int], Exchange | None]
    responses: MemoryBudget


class ForwardedRequest:
    """Implements Exchange towards the client, AttemptListener towards attempts and TurnListener towards its turn."""

    def __init__(self, request: Request, match: RouteMatch, responder: Responder, context: ForwardingContext) -> None:
        route, table = match.route, match.table
        self.state = RequestState.QUEUED
        self._request = request
        self._route = route
        self._responder = responder
        self._route_by_version = context.route_by_version
        self._rerouted: Exchange | None = None
        self._clock = context.clock
        self._arrived_at = context.clock.now()
        self._balancer = context.balancer
        self._service = route.pick_backend(context.random)
        self._tokens_per_event = table.tokens_per_event(self._service)
        self._demand = endpoint_demand(request.head, route, table.kv_cache_tokens(self._service))
        client_ms = request.head.number(headers.DEADLINE_MS)
        timeout_s = (route.timeout_ms if client_ms is None else min(client_ms, route.timeout_ms)) / 1000.0
        self._deadline = self._clock.now() + timeout_s
        self._attempt: Attempt | None = None  # the attempt in flight
        self._sends = 0
        self._executions = 0
        self._attempted: set[str] = set()  # ids of the endpoints that it was sent to
        self._carriers: set[ClientConnection] = set()  # the connections that it was sent on
        self._turn = context.turns.create_turn(request, match)
        self._history_memory = Reservation(context.responses)
        self._response = ResponseStream(responder, route, Reservation(context.responses))
        self._queue_wait_timer: Timer | None = None
        self._deadline_timer: Timer = self._clock.call_later(timeout_s, self._deadline_expired)

    def start(self) -> None:
        """Dispatch the request, after its admission if it is a turn."""
        if self._turn is None:
            self._dispatch()
            return
        self._transition(RequestState.ADMITTING)
        self._turn.admit(self._remaining_ms / 1000.0, self)

    @property
    def _remaining_ms(self) -> float:
        return (self._deadline - self._clock.now()) * 1000.0

    # Admission of a turn -----------------------------------------------------------------------------

    def on_turn_admitted(self, turn: Turn, history: bytes) -> None:
        """Part of TurnListener."""
        if self.state is not RequestState.ADMITTING:
            turn.close(0)
            return
        if history and not self._history_memory.resize(len(history)):
            turn.close(0)
            self._respond(relay_response(SERVICE_UNAVAILABLE, RETRY_AFTER_S))
            return
        if history:
            self._request = attrs.evolve(self._request, body=history + self._request.body)
        self._dispatch()

    def on_turn_rejected(self, status: int) -> None:
        """Part of TurnListener."""
        if self.state is RequestState.ADMITTING:
            self._respond(relay_response(status, RETRY_AFTER_S if status == SERVICE_UNAVAILABLE else None))

    def on_configuration_outdated(self, version: int) -> None:
        """Part of TurnListener. Another exchange serves the request once the relay has the version."""
        if self.state is RequestState.ADMITTING:
            self._transition(RequestState.ENDED)
            request = headers.after_wait(self._request, self._clock.now() - self._arrived_at)
            self._rerouted = self._route_by_version(request, self._responder, version)

    # Queueing ----------------------------------------------------------------------------------------

    def _dispatch(self) -> None:
        """Send the request to an endpoint, or queue it until a slot is free."""
        self._transition(RequestState.QUEUED)
        if not retry_policy.may_send(self._sends, self._remaining_ms):
            self._give_up()
            return
        endpoint = self._balancer.choose(self._service, self._demand, self._attempted)
        if endpoint is None:
            self._enqueue()
        elif retry_policy.can_answer_in_time(endpoint, self._remaining_ms):
            self._send(endpoint)
        else:
            self._give_up()

    def _enqueue(self) -> None:
        if self._queue_wait_timer is None:
            wait_s = retry_policy.queue_wait_s(self._remaining_ms, self._route)
            self._queue_wait_timer = self._clock.call_later(wait_s, self._queue_wait_expired)
        self._balancer.queue.enqueue(self._service, self, self._route.priority, self._slot_may_be_free)

    def _slot_may_be_free(self) -> None:
        if self.state is RequestState.QUEUED:
            self._dispatch()

    def _queue_wait_expired(self) -> None:
        self._queue_wait_timer = None
        if self.state is RequestState.QUEUED:
            self._give_up()

    # Attempts ----------------------------------------------------------------------------------------

    def _send(self, endpoint: EndpointState) -> None:
        self._sends += 1
        self._attempted.add(endpoint.endpoint.id)
        fields = headers.upstream_fields(
            self._request, self._remaining_ms, endpoint.endpoint.id, self._route.priority, self._response.resume_after
        )
        self._response.begin_attempt()
        if self.state is not RequestState.STREAMING:
            self._transition(RequestState.SENT)
        request = attrs.evolve(self._request, head=Head(fields))
        connection = endpoint.connections.acquire(excluded=self._carriers)
        self._carriers.add(connection)
        self._attempt = Attempt(endpoint, connection, request, self, self._clock, self._demand.max_tokens)
        if retry_policy.may_restart(self._route, self._executions):
            restart_timeout_ms = endpoint.sample.restart_timeout_ms
            if restart_timeout_ms < self._remaining_ms:
                self._attempt.start_restart_timer(restart_timeout_ms)

    def on_restart_timeout(self, attempt: Attempt) -> None:
        """Part of AttemptListener. Abandon the attempt and send another one (the restart of van Moorsel and Wolter)."""
        if self.state is not RequestState.SENT:
            return
        if not retry_policy.restart_is_worthwhile(attempt.endpoint, self._remaining_ms):
            return
        attempt.endpoint.on_restart()
        self._cancel_attempt(attempt)
        self._executions += 1
        self._dispatch()

    def _cancel_attempt(self, attempt: Attempt) -> None:
        """Cancel the attempt, which releases its slot, and let a queued request use the slot."""
        attempt.cancel()
        self._attempt = None
        self._balancer.queue.notify(self._service)

    def on_attempt_ended(self, attempt: Attempt, outcome: AttemptOutcome) -> None:
        """Part of AttemptListener."""
        self._attempt = None
        self._balancer.queue.notify(self._service)
        if outcome is AttemptOutcome.NOT_EXECUTED:
            self._send_again()
            return
        self._executions += 1
        if outcome is AttemptOutcome.COMPLETE:
            self._response_complete()
        else:
            self._attempt_broken()

    def _may_execute_again(self) -> bool:
        return retry_policy.may_execute_again(self._route, self._executions, self._remaining_ms)

    def _attempt_broken(self) -> None:
        """Handle an attempt that the endpoint may have executed, but whose response is incomplete."""
        if self._may_execute_again():
            self._send_again()
        elif self.state is RequestState.STREAMING:
            self._abort()
        else:
            self._respond(relay_response(BAD_GATEWAY))

    def _send_again(self) -> None:
        if self.state is RequestState.STREAMING:
            self._resume_stream()
        else:
            self._dispatch()

    def _resume_stream(self) -> None:
        """Continue the stream at another endpoint; it is aborted if no slot is free, as its client cannot wait."""
        endpoint = self._balancer.choose(self._service, self._demand, self._attempted)
        if endpoint is None or self._remaining_ms < retry_policy.MIN_REMAINING_MS:
            self._abort()
        else:
            self._send(endpoint)

    # The endpoint's response -------------------------------------------------------------------------

    def on_response_head(self, attempt: Attempt, status: int, head: Head) -> None:
        """Part of AttemptListener."""
        self._response.set_head(status, head)

    def on_response_data(self, attempt: Attempt, data: bytes) -> None:
        """Part of AttemptListener."""
        if not self._response.reserve(data):
            self._response_too_large(attempt)
            return
        known = len(self._response.events.events)
        events = self._response.receive(data)
        if not events:
            return
        if self._turn is not None:
            self._turn.report(self._response.events.events[known:])
        if self.state is RequestState.SENT:
            self._transition(RequestState.STREAMING)
            self._response.start()
        self._response.send(events)
        if self._responder.paused:
            attempt.pause()
            self._responder.when_writable(self._resume_attempt)

    def _resume_attempt(self) -> None:
        """Receive the response again, as the client has read what was sent of it."""
        if self._attempt is not None:
            self._attempt.resume()

    def _response_too_large(self, attempt: Attempt) -> None:
        """Give up a response that does not fit into the memory for responses: 502, as the endpoint has executed it."""
        self._cancel_attempt(attempt)
        self._executions += 1
        if self.state is RequestState.STREAMING:
            self._abort()
        else:
            self._respond(relay_response(BAD_GATEWAY))

    def _response_complete(self) -> None:
        if self._response.streams:
            if self._response.events.within_event:
                self._attempt_broken()
            else:
                self._stream_complete()
        elif self._response.status >= FIRST_SERVER_ERROR and self._may_execute_again():
            self._send_again()
        else:
            self._transition(RequestState.ENDED)
            self._response.send_buffered()

    def _stream_complete(self) -> None:
        if self.state is RequestState.SENT:
            self._response.start()
        if self._turn is None or not self._route.retained:
            self._end_stream()
            return
        self._transition(RequestState.COMMITTING)
        self._turn.commit(self._generated_tokens, self._response.events.content(), self)

    def on_turn_committed(self) -> None:
        """Part of TurnListener."""
        if self.state is RequestState.COMMITTING:
            self._end_stream()

    def on_commit_failed(self) -> None:
        """Part of TurnListener. Abort: the turn may be lost, so the client must not take it for complete."""
        if self.state is RequestState.COMMITTING:
            self._abort()

    # End of the request ------------------------------------------------------------------------------

    def _give_up(self) -> None:
        """Give up a request that has no response yet: 503 if it was certainly not executed, otherwise 502."""
        if self._executions:
            self._respond(relay_response(BAD_GATEWAY))
        else:
            self._respond(relay_response(SERVICE_UNAVAILABLE, RETRY_AFTER_S))

    def _deadline_expired(self) -> None:
        if self.state is RequestState.ENDED:
            return
        attempt = self._attempt
        if attempt is not None:
            attempt.endpoint.on_deadline_expired()
            self._cancel_attempt(attempt)
            self._executions += 1
        if self.state in (RequestState.STREAMING, RequestState.COMMITTING):
            self._abort()
        elif self._executions:
            self._respond(relay_response(GATEWAY_TIMEOUT))
        else:
            self._give_up()

    def on_client_disconnected(self) -> None:
        """Part of Exchange. Cancel the attempt; a commit that has begun continues."""
        if self._rerouted is not None:
            self._rerouted.on_client_disconnected()
        if self.state is RequestState.ENDED:
            return
        if self._attempt is not None:
            self._cancel_attempt(self._attempt)
        self._transition(RequestState.ENDED)

    @property
    def _generated_tokens(self) -> int:
        return self._response.events.event_count * self._tokens_per_event

    def _respond(self, response: Response) -> None:
        self._transition(RequestState.ENDED)
        self._responder.respond(response)

    def _end_stream(self) -> None:
        self._transition(RequestState.ENDED)
        self._response.end()

    def _abort(self) -> None:
        """Close the client's connection, so that it cannot take the response for complete."""
        self._transition(RequestState.ENDED)
        self._responder.abort()

    def _transition(self, state: RequestState) -> None:
        """Change the state, and release what only the earlier state needs: queue entry, timers and turn."""
        if state is not RequestState.QUEUED:
            self._balancer.queue.remove(self._service, self)
            if self._queue_wait_timer is not None:
                self._queue_wait_timer.cancel()
                self._queue_wait_timer = None
        if state is RequestState.ENDED:
            self._response.release()
            self._history_memory.release()
            self._deadline_timer.cancel()
            self._close_turn()
        self.state = state

    def _close_turn(self) -> None:
        """Charge the generated tokens and release the rest, unless the turn is committed or not yet admitted."""
        if self._turn is not None and self.state is not RequestState.ADMITTING:
            self._turn.close(self._generated_tokens)


def endpoint_demand(head: Head, route: Route, kv_cache_tokens: int) -> EndpointDemand:
    """Return what a request on this route requires of an endpoint."""
    if not route.streaming:
        return EndpointDemand("", 0, 0)
    max_tokens = headers.prompt_tokens(head) + headers.max_output_tokens(head)
    return EndpointDemand(headers.affinity_key(head), max_tokens, kv_cache_tokens)
