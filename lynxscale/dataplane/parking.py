"""Requests that came before the relay knew its configuration: they wait a little, as it is about to come."""

from __future__ import annotations

from collections.abc import Callable

from lynxscale.coordination.ports import Clock
from lynxscale.dataplane import headers as h
from lynxscale.runtime.http_server import Exchange, Responder
from lynxscale.runtime.http_types import Request

MOST_PARKED = 500
MOST_WAIT_S = 1.2
WAIT_SHARE = 0.45  # of the time that the client gives
RETRY_AFTER_S = 0.4


class Parked:
    """One waiting request. Implements Exchange, and passes on to the one that serves it later."""

    def __init__(self, request: Request, responder: Responder) -> None:
        self.request = request
        self.responder = responder
        self.waiting = True
        self.served_by: Exchange | None = None

    def on_client_disconnected(self) -> None:
        """Part of Exchange."""
        self.waiting = False
        if self.served_by is not None:
            self.served_by.on_client_disconnected()


class Parking:
    """Holds requests until ``release``; each is refused once it has waited for its share of time."""

    def __init__(self, clock: Clock, serve: Callable[[Request, Responder], Exchange | None]) -> None:
        self._clock = clock
        self._serve = serve
        self._parked: list[Parked] = []

    def park(self, request: Request, responder: Responder) -> Parked | None:
        """Let a request wait, or refuse it where too many do."""
        if len(self._parked) >= MOST_PARKED:
            responder.respond(h.own_answer(503, RETRY_AFTER_S))
            return None
        parked = Parked(request, responder)
        self._parked.append(parked)
        allowed_ms = request.head.number(h.DEADLINE)
        wait = MOST_WAIT_S if allowed_ms is None else min(MOST_WAIT_S, WAIT_SHARE * allowed_ms / 1000.0)
        self._clock.call_later(wait, lambda: self._refuse(parked))
        return parked

    def release(self) -> None:
        """The relay can serve now."""
        parked, self._parked = self._parked, []
        for one in parked:
            if one.waiting:
                one.waiting = False
                one.served_by = self._serve(one.request, one.responder)

    def _refuse(self, parked: Parked) -> None:
        if parked in self._parked:
            self._parked.remove(parked)
        if parked.waiting:
            parked.waiting = False
            parked.responder.respond(h.own_answer(503, RETRY_AFTER_S))
