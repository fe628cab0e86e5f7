"""Turns of agent programs, as a client of the control plane: budgets, histories, and turns that are kept."""

from __future__ import annotations

from collections.abc import Callable

from lynxscale.coordination.messages import AdmitTurn, FinishTurn, Message, TurnAdmitted, TurnRejected
from lynxscale.coordination.primary_calls import PrimaryCalls
from lynxscale.dataplane import headers as h
from lynxscale.dataplane.history_cache import HistoryCache
from lynxscale.dataplane.routing import Route
from lynxscale.runtime.http_types import Request

ADMISSION_TIMEOUT_S = 2.5  # a new primary stands well within it
ALONE_TIMEOUT_S = 0.3  # another relay may reach one
FINISH_TIMEOUT_S = 2.5
SETTLE_TIMEOUT_S = 10.0  # nobody waits for it
NO_BUDGET = -1
UNSURE = 503


class TurnLedger:
    """Makes the turns of a relay's requests."""

    def __init__(self, calls: PrimaryCalls, alone: Callable[[], bool]) -> None:
        """``alone()``: is no primary to be reached for some time already?"""
        self.calls = calls
        self.alone = alone
        self.histories = HistoryCache()

    def turn(self, request: Request, route: Route) -> Turn | None:
        """The turn that a request is; None where it neither has a budget nor is kept."""
        budget = request.head.number(h.BUDGET)
        if not route.streaming or (budget is None and not route.retained):
            return None
        timeout_s = ALONE_TIMEOUT_S if self.alone() else ADMISSION_TIMEOUT_S
        budget_tokens = NO_BUDGET if budget is None else int(budget)
        return Turn(self.calls, self.histories, request, route, budget_tokens, timeout_s)


class Turn:
    """One try of a client for a turn."""

    def __init__(
        self,
        calls: PrimaryCalls,
        histories: HistoryCache,
        request: Request,
        route: Route,
        budget: int,
        timeout_s: float,
    ) -> None:
        self._histories = histories
        self._timeout_s = timeout_s
        self.input = request.body
        self._calls = calls
        self._route = route
        self._budget = budget
        self._program = request.head.text(h.PROGRAM)
        self._session = f"{self._program}/{request.head.text(h.SESSION)}"
        self._history = b""
        self._request_id = request.head.text(h.REQUEST_ID)
        self._previous = request.head.text(h.PREVIOUS) if route.retained else ""
        self._most = h.most_tokens(request.head)
        self._settled = False

    def admit(self, left_s: float, done: Callable[[int, bytes], None]) -> None:
        """``done(status, history)``: 200, or 402 or 404 where that is certain, or 503."""
        cached = self._histories.best_for(self._session, self._previous)
        # Taken now: by the time of the answer it may be cached no more.
        history = self._histories.get(cached) or b""

        def answered(answer: Message | None) -> None:
            if isinstance(answer, TurnAdmitted):
                self._history = (history if answer.after else b"") + answer.history
                done(200, self._history)
            elif isinstance(answer, TurnRejected):
                self._settled = True
                done(answer.status, b"")
            else:
                # It may be decided yet: what it reserves is given back, as nothing runs.
                self.settle(0)
                done(UNSURE, b"")

        self._calls.call(self._admission(cached), min(left_s, self._timeout_s), answered)

    def _admission(self, cached: str) -> AdmitTurn:
        return AdmitTurn(
            self._program,
            self._request_id,
            self._budget,
            self._most,
            self._route.retention_s,
            self._route.retained,
            self._previous,
            cached,
        )

    def settle(self, tokens: int) -> None:
        """The turn has ended, and is not kept."""
        if not self._settled:
            self._settled = True
            self._calls.call(self._finish(tokens, None), SETTLE_TIMEOUT_S, lambda answer: None)

    def finish(self, tokens: int, content: bytes, done: Callable[[bool], None]) -> None:
        """The turn has ended whole; ``done(True)`` once it is durable."""
        self._settled = True

        def answered(answer: Message | None) -> None:
            if answer is not None:
                self._histories.put(self._session, self._request_id, self._history + content)
            done(answer is not None)

        self._calls.call(self._finish(tokens, content), FINISH_TIMEOUT_S, answered)

    def _finish(self, tokens: int, content: bytes | None) -> FinishTurn:
        return FinishTurn(self._program, self._request_id, tokens, self._route.retention_s, content, self._previous)
