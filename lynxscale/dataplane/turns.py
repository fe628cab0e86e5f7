"""Turns of agent programs: a client of the control plane that reserves budgets, reads histories and retains turns.

A turn is admitted (its tokens are reserved and its history is read), executed, and then either committed (retained, and
durable before its response ends) or closed (only its tokens are charged). Its admission states which version of the
configuration the relay has: a primary that knows a newer one does not admit the turn.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

import msgspec

from lynxscale.configuration.model import Route
from lynxscale.coordination.messages import (
    AdmitTurn,
    ConfigurationOutdated,
    FinishTurn,
    Message,
    TurnAdmitted,
    TurnFinished,
    TurnRejected,
)
from lynxscale.coordination.primary_calls import PrimaryCalls
from lynxscale.dataplane import headers
from lynxscale.dataplane.history_cache import HistoryCache
from lynxscale.dataplane.relay_configuration import RouteMatch
from lynxscale.dataplane.responses import SERVICE_UNAVAILABLE
from lynxscale.dataplane.run_events import RunEvents
from lynxscale.dataplane.server_sent_events import Event
from lynxscale.runtime.http_types import Request

ADMISSION_TIMEOUT_S = 2.5  # the election of a new primary takes less
ISOLATED_ADMISSION_TIMEOUT_S = 0.3  # short, so that the client can retry through a relay that reaches a primary
COMMIT_TIMEOUT_S = 2.5
CLOSE_TIMEOUT_S = 10.0  # no client waits for the reply
RUN_ID_BITS = 64
NO_BUDGET = -1  # value of ``AdmitTurn.budget`` for a program without a budget


class TurnListener(Protocol):
    """Receives the events of a turn; implemented by the request that it belongs to."""

    def on_turn_admitted(self, turn: Turn, history: bytes) -> None:
        """Called once the turn's tokens are reserved; ``history`` has to precede its own input."""

    def on_turn_rejected(self, status: int) -> None:
        """Called if the turn is not admitted: 402 or 404 if the primary rejects it, otherwise 503.

        No reservation remains.
        """

    def on_configuration_outdated(self, version: int) -> None:
        """Called if the turn is not admitted, as a later ``version`` of the configuration is the newest.

        No reservation remains.
        """

    def on_turn_committed(self) -> None:
        """Called once the turn is durable."""

    def on_commit_failed(self) -> None:
        """Called if the primary rejects the commit or none replies in time; the turn may or may not be durable."""


def is_admitted(request: Request, route: Route | None) -> bool:
    """Return whether the primary admits the requests on a route: they are retained, or have a budget."""
    if route is None or not route.streaming:
        return False
    return route.retained or request.head.number(headers.BUDGET) is not None


class TurnClient:
    """Creates the turns of a relay's requests."""

    def __init__(self, calls: PrimaryCalls, isolated: Callable[[], bool], random: Random) -> None:
        """``isolated()``: whether the relay is isolated from the primary."""
        self._calls = calls
        self._random = random
        self._isolated = isolated
        self._histories = HistoryCache()

    def admission_timeout_s(self, request: Request) -> float:
        """Return for how many seconds a request may wait for a reply of the primary before it is sent."""
        timeout_s = ISOLATED_ADMISSION_TIMEOUT_S if self._isolated() else ADMISSION_TIMEOUT_S
        deadline_ms = request.head.number(headers.DEADLINE_MS)
        return timeout_s if deadline_ms is None else min(timeout_s, deadline_ms / 1000.0)

    def create_turn(self, request: Request, match: RouteMatch) -> Turn | None:
        """Return the turn of a request; None if it has no budget and is not retained, or its route does not stream."""
        if not is_admitted(request, match.route):
            return None
        run_id = f"{self._random.getrandbits(RUN_ID_BITS):x}"
        return Turn(self._calls, self._histories, request, match, run_id, self.admission_timeout_s(request))


class Turn:
    """The turn of one request. Every turn that was admitted has to be committed or closed."""

    def __init__(
        self,
        calls: PrimaryCalls,
        histories: HistoryCache,
        request: Request,
        match: RouteMatch,
        run_id: str,
        admission_timeout_s: float,
    ) -> None:
        budget = headers.budget_tokens(request.head)
        self._calls = calls
        self._histories = histories
        self._route = match.route
        self._stated_version = msgspec.UNSET if match.stated_version is None else match.stated_version
        self._route_version = match.table.generation
        self._input = request.body
        self._budget_tokens = NO_BUDGET if budget is None else budget
        self._admission_timeout_s = admission_timeout_s
        self._program = request.head.text(headers.PROGRAM)
        self._session = f"{self._program}/{request.head.text(headers.SESSION)}"
        self._request_id = request.head.text(headers.REQUEST_ID)
        self._previous_turn = request.head.text(headers.PREVIOUS_TURN) if match.route.retained else ""
        self._max_tokens = headers.max_output_tokens(request.head)
        self._run_id = run_id
        self._resume_after = request.head.text(headers.LAST_EVENT_ID) if match.route.retained else ""
        # Without both fields nothing tells the streams of different clients apart.
        named = bool(self._program and request.head.text(headers.SESSION))
        self._resumable = match.route.retained and match.route.resumable and named
        self._events = RunEvents(calls, run_id)
        self._history = b""
        self._closed = False

    def admit(self, remaining_s: float, listener: TurnListener) -> None:
        """Reserve the turn's tokens and get its history."""
        cached_turn = self._histories.best_match(self._session, self._previous_turn)
        # Read now, as the entry may be evicted before the reply arrives.
        cached = self._histories.get(cached_turn)

        def on_reply(reply: Message | None) -> None:
            if isinstance(reply, TurnAdmitted) and not self._lacks_earlier_events(reply):
                self._events.admitted(reply)
                self._history = (cached.content if cached and reply.base_turn else b"") + reply.history
                listener.on_turn_admitted(self, self._history)
            elif isinstance(reply, TurnRejected):
                self._closed = True
                listener.on_turn_rejected(reply.status)
            elif isinstance(reply, ConfigurationOutdated):
                self._closed = True
                listener.on_configuration_outdated(reply.newest)
            else:
                # The turn may be admitted, now or later: close it, so that its reservation is released.
                self.close(0)
                listener.on_turn_rejected(SERVICE_UNAVAILABLE)

        cached_run = msgspec.UNSET if cached is None else cached.run_id
        admission = self._admission(cached_turn, cached_run, remaining_s + COMMIT_TIMEOUT_S)
        self._calls.call(admission, min(remaining_s, self._admission_timeout_s), on_reply)

    def _lacks_earlier_events(self, reply: TurnAdmitted) -> bool:
        """Whether the turn was to be resumed, and the primary's program does not know how."""
        return bool(self._resume_after) and reply.earlier_events is msgspec.UNSET

    def report(self, events: list[Event]) -> None:
        """Report events to the primary; to be called before they are sent to the client."""
        self._events.report(events)

    def close(self, tokens: int) -> None:
        """Charge the tokens, release the rest of the reservation, and retain nothing. Repeated calls have no effect."""
        if not self._closed:
            self._closed = True
            self._calls.call(self._finish(tokens, None), CLOSE_TIMEOUT_S, lambda reply: None)

    def commit(self, tokens: int, output: bytes, listener: TurnListener) -> None:
        """Charge the tokens and retain the turn's input and output; the listener is called with the outcome.

        ``output``: what this run has generated. It follows the output of the runs that this one resumes.
        """
        self._closed = True
        content = self._input + self._events.earlier_output + output

        def on_reply(reply: Message | None) -> None:
            if not isinstance(reply, TurnFinished):
                listener.on_commit_failed()
                return
            self._histories.put(self._session, self._request_id, self._run_id, self._history + content)
            listener.on_turn_committed()

        self._calls.call(self._finish(tokens, content), COMMIT_TIMEOUT_S, on_reply)

    def _admission(self, cached_turn: str, cached_run: str | msgspec.UnsetType, duration_s: float) -> AdmitTurn:
        return AdmitTurn(
            self._program,
            self._request_id,
            self._budget_tokens,
            self._max_tokens,
            self._route.retention_s,
            self._route.retained,
            self._previous_turn,
            cached_turn,
            self._stated_version,
            self._run_id if self._route.retained else msgspec.UNSET,
            self._session if self._resumable else msgspec.UNSET,
            self._resume_after or msgspec.UNSET,
            duration_s if self._route.retained else msgspec.UNSET,
            cached_run,
        )

    def _finish(self, tokens: int, content: bytes | None) -> FinishTurn:
        return FinishTurn(
            self._program,
            self._request_id,
            tokens,
            self._route.retention_s,
            content,
            self._previous_turn,
            self._route_version,
            self._run_id if self._route.retained else msgspec.UNSET,
        )
