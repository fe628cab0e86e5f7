"""Turns of agent programs: a client of the control plane that reserves budgets, reads histories and retains turns.

A turn is admitted (its tokens are reserved and its history is read), executed, and then either committed (retained, and
durable before its response ends) or closed (only its tokens are charged). Its admission states which version of the
configuration the relay has: a primary that knows a newer one does not admit the turn.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

import msgspec

from lynxscale.coordination.messages import (
    AdmitTurn,
    ConfigurationOutdated,
    FinishTurn,
    Message,
    TurnAdmitted,
    TurnRejected,
)
from lynxscale.coordination.primary_calls import PrimaryCalls
from lynxscale.dataplane import headers
from lynxscale.dataplane.history_cache import HistoryCache
from lynxscale.dataplane.relay_configuration import RouteMatch
from lynxscale.dataplane.responses import SERVICE_UNAVAILABLE
from lynxscale.dataplane.routing import Route
from lynxscale.runtime.http_types import Request

ADMISSION_TIMEOUT_S = 2.5  # the election of a new primary takes less
ISOLATED_ADMISSION_TIMEOUT_S = 0.3  # short, so that the client can retry through a relay that reaches a primary
COMMIT_TIMEOUT_S = 2.5
CLOSE_TIMEOUT_S = 10.0  # no client waits for the reply
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

    def on_commit_timeout(self) -> None:
        """Called if no primary acknowledges the commit in time; the turn may or may not be durable."""


def is_admitted(request: Request, route: Route | None) -> bool:
    """Return whether the primary admits the requests on a route: they are retained, or have a budget."""
    if route is None or not route.streaming:
        return False
    return route.retained or request.head.number(headers.BUDGET) is not None


class TurnClient:
    """Creates the turns of a relay's requests."""

    def __init__(self, calls: PrimaryCalls, isolated: Callable[[], bool]) -> None:
        """``isolated()``: whether the relay is isolated from the primary."""
        self._calls = calls
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
        return Turn(self._calls, self._histories, request, match, self.admission_timeout_s(request))


class Turn:
    """The turn of one request. Every turn that was admitted has to be committed or closed."""

    def __init__(
        self,
        calls: PrimaryCalls,
        histories: HistoryCache,
        request: Request,
        match: RouteMatch,
        admission_timeout_s: float,
    ) -> None:
        budget = request.head.number(headers.BUDGET)
        self._calls = calls
        self._histories = histories
        self._route = match.route
        self._stated_version = msgspec.UNSET if match.stated_version is None else match.stated_version
        self._route_version = match.table.generation
        self._input = request.body
        self._budget_tokens = NO_BUDGET if budget is None else int(budget)
        self._admission_timeout_s = admission_timeout_s
        self._program = request.head.text(headers.PROGRAM)
        self._session = f"{self._program}/{request.head.text(headers.SESSION)}"
        self._request_id = request.head.text(headers.REQUEST_ID)
        self._previous_turn = request.head.text(headers.PREVIOUS_TURN) if match.route.retained else ""
        self._max_tokens = headers.max_output_tokens(request.head)
        self._history = b""
        self._closed = False

    def admit(self, remaining_s: float, listener: TurnListener) -> None:
        """Reserve the turn's tokens and get its history."""
        cached_turn = self._histories.best_match(self._session, self._previous_turn)
        # Read now, as the entry may be evicted before the reply arrives.
        cached_history = self._histories.get(cached_turn) or b""

        def on_reply(reply: Message | None) -> None:
            if isinstance(reply, TurnAdmitted):
                self._history = (cached_history if reply.base_turn else b"") + reply.history
                listener.on_turn_admitted(self, self._history)
            elif isinstance(reply, TurnRejected):
                self._closed = True
                listener.on_turn_rejected(reply.status)
            elif isinstance(reply, ConfigurationOutdated):
                self._closed = True
                listener.on_configuration_outdated(reply.newest)
            else:
                # The primary may still admit the turn: close it, so that its reservation is released.
                self.close(0)
                listener.on_turn_rejected(SERVICE_UNAVAILABLE)

        self._calls.call(self._admission(cached_turn), min(remaining_s, self._admission_timeout_s), on_reply)

    def close(self, tokens: int) -> None:
        """Charge the tokens, release the rest of the reservation, and retain nothing. Repeated calls have no effect."""
        if not self._closed:
            self._closed = True
            self._calls.call(self._finish(tokens, None), CLOSE_TIMEOUT_S, lambda reply: None)

    def commit(self, tokens: int, output: bytes, listener: TurnListener) -> None:
        """Charge the tokens and retain the turn's input and output; the listener is called with the outcome."""
        self._closed = True
        content = self._input + output

        def on_reply(reply: Message | None) -> None:
            if reply is None:
                listener.on_commit_timeout()
                return
            self._histories.put(self._session, self._request_id, self._history + content)
            listener.on_turn_committed()

        self._calls.call(self._finish(tokens, content), COMMIT_TIMEOUT_S, on_reply)

    def _admission(self, cached_turn: str) -> AdmitTurn:
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
        )
