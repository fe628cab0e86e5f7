"""Requests that arrive before the relay has its configuration and endpoint list: they wait for a bounded time."""

from __future__ import annotations

from collections.abc import Callable

from lynxscale.coordination.ports import Clock
from lynxscale.dataplane.headers import DEADLINE_MS
from lynxscale.dataplane.responses import SERVICE_UNAVAILABLE, relay_response
from lynxscale.runtime.http_server import Exchange, Responder
from lynxscale.runtime.http_types import Request

MAX_PENDING = 500
MAX_WAIT_S = 1.2
WAIT_DEADLINE_SHARE = 0.45  # of the time that the client gives
RETRY_AFTER_S = 0.4


class PendingRequest:
    """One waiting request. Implements Exchange, and passes on to the exchange that serves it later."""

    def __init__(self, request: Request, responder: Responder) -> None:
        self.request = request
        self.responder = responder
        self.waiting = True
        self.exchange: Exchange | None = None

    def on_client_disconnected(self) -> None:
        """Part of Exchange."""
        self.waiting = False
        if self.exchange is not None:
            self.exchange.on_client_disconnected()


class PendingUntilConfigured:
    """Holds requests until ``serve_all``; each is rejected once it has waited for its share of the client's time."""

    def __init__(self, clock: Clock, serve: Callable[[Request, Responder], Exchange | None]) -> None:
        self._clock = clock
        self._serve = serve
        self._pending: list[PendingRequest] = []

    def add(self, request: Request, responder: Responder) -> PendingRequest | None:
        """Let a request wait; None where it is rejected at once, as too many wait already."""
        if len(self._pending) >= MAX_PENDING:
            responder.respond(relay_response(SERVICE_UNAVAILABLE, RETRY_AFTER_S))
            return None
        pending = PendingRequest(request, responder)
        self._pending.append(pending)
        allowed_ms = request.head.number(DEADLINE_MS)
        wait_s = MAX_WAIT_S if allowed_ms is None else min(MAX_WAIT_S, WAIT_DEADLINE_SHARE * allowed_ms / 1000.0)
        self._clock.call_later(wait_s, lambda: self._reject(pending))
        return pending

    def serve_all(self) -> None:
        """The relay is configured: serve everything that still waits."""
        all_pending, self._pending = self._pending, []
        for pending in all_pending:
            if pending.waiting:
                pending.waiting = False
                pending.exchange = self._serve(pending.request, pending.responder)

    def _reject(self, pending: PendingRequest) -> None:
        if pending in self._pending:
            self._pending.remove(pending)
        if pending.waiting:
            pending.waiting = False
            pending.responder.respond(relay_response(SERVICE_UNAVAILABLE, RETRY_AFTER_S))
