"""One try of a request at one endpoint, from its sending to one outcome."""

from __future__ import annotations

from enum import Enum
from typing import Protocol

from lynxscale.coordination.ports import Clock
from lynxscale.dataplane import headers as h
from lynxscale.dataplane.endpoints import EndpointState
from lynxscale.runtime.http_client import ClientConnection, ResponseFailure
from lynxscale.runtime.http_types import Head, Request

MISDIRECTED = 421
SERVER_ERROR = 500


class Outcome(Enum):
    """How a try ended."""

    COMPLETE = "complete"  # a whole answer of the endpoint
    NOT_RUN = "not_run"  # for certain
    MAY_HAVE_RUN = "may_have_run"


class Listener(Protocol):
    """The request that a try belongs to."""

    def on_answer(self, attempt: Attempt, status: int, head: Head) -> None:
        """The endpoint's own answer begins."""

    def on_body(self, attempt: Attempt, data: bytes) -> None:
        """A piece of its body."""

    def on_outcome(self, attempt: Attempt, outcome: Outcome) -> None:
        """The try has ended."""


class Attempt:
    """Implements ResponseReceiver of one connection. After an outcome or ``cancel`` the listener hears nothing more."""

    def __init__(self, state: EndpointState, request: Request, listener: Listener, clock: Clock, tokens: int) -> None:
        self.state = state
        self.sent_at = clock.now()
        self.answered = False
        self._request_id = request.head.get(h.REQUEST_ID)
        self._listener: Listener | None = listener
        self._clock = clock
        self._refusal = False
        self._status = 0
        self._first_latency_ms = 0.0
        self._tokens = tokens
        state.in_flight += 1
        state.tokens_in_flight += tokens
        self._connection: ClientConnection = state.connection()
        self._connection.send(request, self)

    @property
    def elapsed_ms(self) -> float:
        """Since the try was sent."""
        return (self._clock.now() - self.sent_at) * 1000.0

    def on_head(self, status: int, head: Head) -> None:
        """Part of ResponseReceiver. An answer to another request ends the try: its connection is out of step.

        An answer without an id may be an earlier request's where the connection carried one.
        """
        answered = head.get(h.REQUEST_ID)
        if answered != self._request_id and (answered is not None or self._connection.used):
            self._spoilt()
            return
        load = h.server_load(head)
        if load is not None:
            self.state.told_load(*load)
        if head.get(h.NOT_EXECUTED) is not None or status == MISDIRECTED:
            self._refusal = True
            if status == MISDIRECTED:
                self.state.gone()
            return
        if status < 300 and head.get(h.SIGNATURE) is None:
            self._spoilt()
            return
        self.answered = True
        self._status = status
        self._listener.on_answer(self, status, head)

    def on_data(self, data: bytes) -> None:
        """Part of ResponseReceiver."""
        if not self._first_latency_ms:
            self._first_latency_ms = self.elapsed_ms
        if not self._refusal and self._listener is not None:
            self._listener.on_body(self, data)

    def on_end(self) -> None:
        """Part of ResponseReceiver."""
        if self._refusal:
            self.state.refused()
            self._end(Outcome.NOT_RUN)
        else:
            self.state.succeeded(self._first_latency_ms or self.elapsed_ms)
            if self._status >= SERVER_ERROR:
                self.state.errored()
            self._end(Outcome.COMPLETE)

    def on_failure(self, failure: ResponseFailure) -> None:
        """Part of ResponseReceiver."""
        if self._refusal:
            self.state.refused()
            self._end(Outcome.NOT_RUN)
            return
        self.state.failed()
        self._end(Outcome.NOT_RUN if failure is ResponseFailure.NOT_CONNECTED else Outcome.MAY_HAVE_RUN)

    def cancel(self) -> None:
        """End the try at the endpoint too; nobody is told."""
        if self._listener is not None:
            self._listener = None
            self._leave()
            self._connection.close()

    def _leave(self) -> None:
        self.state.in_flight -= 1
        self.state.tokens_in_flight -= self._tokens

    def _spoilt(self) -> None:
        self._connection.close()
        self.state.failed()
        self._end(Outcome.MAY_HAVE_RUN)

    def _end(self, outcome: Outcome) -> None:
        listener, self._listener = self._listener, None
        if listener is not None:
            self._leave()
            listener.on_outcome(self, outcome)
