"""Turns of agent programs: a client of the control plane that reserves budgets, reads histories and retains turns.

A turn is admitted (its tokens are reserved and its history is read), executed, and then either committed (retained, and
durable before its response ends) or closed (only its tokens are charged).
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from lynxscale.coordination.messages import AdmitTurn, FinishTurn, Message, TurnAdmitted, TurnRejected
from lynxscale.coordination.primary_calls import PrimaryCalls
from lynxscale.dataplane import headers
from lynxscale.dataplane.history_cache import HistoryCache
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

    def on_turn_committed(self) -> None:
        """Called once the turn is durable."""

    def on_commit_timeout(self) -> None:
        """Called if no primary acknowledges the commit in time; the turn may or may not be durable."""


class TurnClient:
    """Creates the turns of a relay's requests."""

    def __init__(self, calls: PrimaryCalls, isolated: Callable[[], bool]) -> None:
        """``isolated()``: whether the relay is isolated from the primary."""
        self._calls = calls
        self._isolated = isolated
        self._histories = HistoryCache()

    def create_turn(self, request: Request, route: Route) -> Turn | None:
        """Return the turn of a request; None if it has no budget and is not retained, or its route does not stream."""
        budget = request.head.number(headers.BUDGET)
        if not route.streaming or (budget is None and not route.retained):
            return None
        timeout_s = ISOLATED_ADMISSION_TIMEOUT_S if self._isolated() else ADMISSION_TIMEOUT_S
        budget_tokens = NO_BUDGET if budget is None else int(budget)
        return Turn(self._calls, self._histories, request, route, budget_tokens, timeout_s)


class Turn:
    """The turn of one request. Every turn that was admitted has to be committed or closed."""

    def __init__(
        self,
        calls: PrimaryCalls,
        histories: HistoryCache,
        request: Request,
        route: Route,
        budget_tokens: int,
        admission_timeout_s: float,
    ) -> None:
        self._calls = calls
        self._histories = histories
        self._route = route
        self._input = request.body
        self._budget_tokens = budget_tokens
        self._admission_timeout_s = admission_timeout_s
        self._program = request.head.text(headers.PROGRAM)
        self._session = f"{self._program}/{request.head.text(headers.SESSION)}"
        self._request_id = request.head.text(headers.REQUEST_ID)
        self._previous_turn = request.head.text(headers.PREVIOUS_TURN) if route.retained else ""
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
        )

    def _finish(self, tokens: int, content: bytes | None) -> FinishTurn:
        retention_s = self._route.retention_s
        return FinishTurn(self._program, self._request_id, tokens, retention_s, content, self._previous_turn)
