"""Holds requests that arrive before the relay has the configuration that they need, for a bounded time."""

from __future__ import annotations

from collections.abc import Callable

from lynxscale.coordination.ports import Clock
from lynxscale.dataplane.headers import DEADLINE_MS, after_wait
from lynxscale.dataplane.responses import SERVICE_UNAVAILABLE, relay_response
from lynxscale.runtime.http_types import Request
from lynxscale.runtime.responder import Exchange, Responder

MAX_PENDING = 500
MAX_WAIT_S = 1.2
WAIT_DEADLINE_SHARE = 0.45  # share of the client's deadline that a request may wait
RETRY_AFTER_S = 0.4


class PendingRequest:
    """One waiting request. Implements Exchange, and forwards a disconnect to the exchange that serves it later.

    ``version``: the lowest version of the configuration by which it may be served.
    """

    def __init__(self, request: Request, responder: Responder, version: int, added_at: float) -> None:
        self.request = request
        self.responder = responder
        self.version = version
        self.added_at = added_at
        self.waiting = True
        self.exchange: Exchange | None = None

    def on_client_disconnected(self) -> None:
        """Part of Exchange."""
        self.waiting = False
        if self.exchange is not None:
            self.exchange.on_client_disconnected()


class PendingUntilConfigured:
    """Holds requests until ``serve_all``; each is rejected if it waits for longer than its share of the deadline."""

    def __init__(self, clock: Clock, serve: Callable[[Request, Responder], Exchange | None]) -> None:
        self._clock = clock
        self._serve = serve
        self._pending: list[PendingRequest] = []

    def add(self, request: Request, responder: Responder, version: int = 0) -> PendingRequest | None:
        """Add a request; it is rejected immediately, and None returned, if too many are waiting already."""
        if len(self._pending) >= MAX_PENDING:
            responder.respond(relay_response(SERVICE_UNAVAILABLE, RETRY_AFTER_S))
            return None
        pending = PendingRequest(request, responder, version, self._clock.now())
        self._pending.append(pending)
        deadline_ms = request.head.number(DEADLINE_MS)
        wait_s = MAX_WAIT_S if deadline_ms is None else min(MAX_WAIT_S, WAIT_DEADLINE_SHARE * deadline_ms / 1000.0)
        self._clock.call_later(wait_s, lambda: self._reject(pending))
        return pending

    def serve_all(self, version: int = 0) -> None:
        """Serve all requests that still wait for a configuration of at most this version, as the relay has it now."""
        served = [pending for pending in self._pending if pending.version <= version]
        self._pending = [pending for pending in self._pending if pending.version > version]
        for pending in served:
            if pending.waiting:
                pending.waiting = False
                request = after_wait(pending.request, self._clock.now() - pending.added_at)
                pending.exchange = self._serve(request, pending.responder)

    def _reject(self, pending: PendingRequest) -> None:
        if pending in self._pending:
            self._pending.remove(pending)
        if pending.waiting:
            pending.waiting = False
            pending.responder.respond(relay_response(SERVICE_UNAVAILABLE, RETRY_AFTER_S))
