"""Routes each request by the relay's route table, and refuses the requests that no route matches.

A table may be outdated without the relay's knowledge: the relay was frozen or cut off while others served by a newer
configuration. A request that continues a turn must not suffer from that, as a 404 ends its program, and without its
history it would be another request. So it is refused, or sent without its history, only after a linearizable read: the
relay asks the primary for the version of the newest configuration once the request has arrived, like the ReadIndex of
Raft (Ongaro, "Consensus: Bridging Theory and Practice", 2014, section 6.4), and waits for that version if it lacks it.
Turns that the primary admits need no read, as their admission states the version.

All other requests without a route are refused immediately, with 503 while the table counts as outdated.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from enum import Enum
from random import Random

from lynxscale.configuration.model import Route
from lynxscale.coordination.distribution_tree import Subscriber
from lynxscale.coordination.messages import ConfigurationVersion, Message, ReadConfigurationVersion
from lynxscale.coordination.ports import Clock
from lynxscale.coordination.primary_calls import PrimaryCalls
from lynxscale.dataplane import headers
from lynxscale.dataplane.forwarding import RETRY_AFTER_S, ForwardedRequest, ForwardingContext
from lynxscale.dataplane.load_balancer import LoadBalancer
from lynxscale.dataplane.pending_until_configured import PendingUntilConfigured
from lynxscale.dataplane.relay_configuration import RelayConfiguration, RouteMatch
from lynxscale.dataplane.responses import BAD_REQUEST, NOT_FOUND, SERVICE_UNAVAILABLE, relay_response
from lynxscale.dataplane.turns import TurnClient, is_admitted
from lynxscale.runtime.http_types import Request
from lynxscale.runtime.memory_budget import MemoryBudget
from lynxscale.runtime.responder import Exchange, Responder

log = logging.getLogger(__name__)

TOPIC_REQUEST_INTERVAL_S = 0.1  # between two additional requests for topics
NEVER = -1e9  # seconds: earlier than every event


class CheckState(Enum):
    """The state of a checked request: CHECKING -> ROUTED, and ENDED from both."""

    CHECKING = "checking"  # the newest configuration's version is being read
    ROUTED = "routed"  # refused, forwarded, or waiting for a version that the relay lacks
    ENDED = "ended"  # rejected with 503, or the client has disconnected


class CheckedRequest:
    """A request whose route is chosen after a read of the configuration's version. Implements Exchange."""

    def __init__(self, responder: Responder) -> None:
        self.state = CheckState.CHECKING
        self._responder = responder
        self._exchange: Exchange | None = None

    def routed(self, exchange: Exchange | None) -> None:
        """The request continues as ``exchange``; None if it has been answered."""
        self.state = CheckState.ROUTED
        self._exchange = exchange

    def reject(self) -> None:
        """Respond with 503, as the newest version is not known."""
        self.state = CheckState.ENDED
        self._responder.respond(relay_response(SERVICE_UNAVAILABLE, RETRY_AFTER_S))

    def on_client_disconnected(self) -> None:
        """Part of Exchange."""
        self.state = CheckState.ENDED
        if self._exchange is not None:
            self._exchange.on_client_disconnected()


class RequestRouter:
    """Routes the requests of one relay. ``configured()``: whether it has a configuration and an endpoint list."""

    def __init__(
        self,
        configuration: RelayConfiguration,
        configured: Callable[[], bool],
        tree: Subscriber,
        calls: PrimaryCalls,
        balancer: LoadBalancer,
        clock: Clock,
        random: Random,
        responses: MemoryBudget,
    ) -> None:
        """``responses``: the memory for responses that are kept until their end."""
        self._configuration = configuration
        self._configured = configured
        self._tree = tree
        self._calls = calls
        self._clock = clock
        self._requested_at = NEVER  # when newer topics were last requested
        self._turns = TurnClient(calls, lambda: tree.isolated, random)
        self._context = ForwardingContext(clock, balancer, self._turns, random, self._route_by_version, responses)
        self._until_configured = PendingUntilConfigured(clock, self._route)
        self._until_newer = PendingUntilConfigured(clock, self._route_by_proven_table)

    def handle(self, request: Request, responder: Responder) -> Exchange | None:
        """Serve a client's request, or hold it until the relay is configured."""
        if not self._configured():
            return self._until_configured.add(request, responder)
        return self._route(request, responder)

    def topics_changed(self) -> None:
        """Serve the requests that waited for the topics that have arrived."""
        if self._configured():
            self._until_configured.serve_all()
            self._until_newer.serve_all(self._configuration.version)

    # Routing -----------------------------------------------------------------------------------------

    def _route(self, request: Request, responder: Responder) -> Exchange | None:
        """Route a request by a table that may be outdated."""
        route = self._find(request)
        if request.head.get(headers.PREVIOUS_TURN) and not is_admitted(request, route):
            return self._check_version(request, responder)
        if route is not None:
            return self._forward(request, responder, route, self._configuration.version)
        outdated = self._configuration.outdated
        responder.respond(relay_response(SERVICE_UNAVAILABLE, RETRY_AFTER_S) if outdated else relay_response(NOT_FOUND))
        return None

    def _route_by_proven_table(self, request: Request, responder: Responder) -> Exchange | None:
        """Route a request by a table that is at least as new as the newest configuration was when it arrived."""
        route = self._find(request)
        if route is not None:
            return self._forward(request, responder, route, None)
        responder.respond(relay_response(NOT_FOUND))
        return None

    def _find(self, request: Request) -> Route | None:
        table = self._configuration.table
        return table.find(request.head.text(b"host"), request.path) if table else None

    def _forward(
        self, request: Request, responder: Responder, route: Route, stated_version: int | None
    ) -> Exchange | None:
        if route.streaming and headers.has_invalid_budget(request.head):
            responder.respond(relay_response(BAD_REQUEST))
            return None
        table = self._configuration.table
        assert table is not None  # it contains the route
        exchange = ForwardedRequest(request, RouteMatch(route, table, stated_version), responder, self._context)
        exchange.start()
        return exchange

    # Reads of the newest version ---------------------------------------------------------------------

    def _check_version(self, request: Request, responder: Responder) -> CheckedRequest:
        """Route a request once the table is known to be as new as the newest configuration is now."""
        checked = CheckedRequest(responder)
        arrived_at = self._clock.now()

        def on_reply(reply: Message | None) -> None:
            if checked.state is not CheckState.CHECKING:
                return
            if isinstance(reply, ConfigurationVersion):
                waited = headers.after_wait(request, self._clock.now() - arrived_at)
                checked.routed(self._route_by_version(waited, responder, reply.newest))
            else:
                log.info("event=configuration_version_unknown version=%d", self._configuration.version)
                checked.reject()

        self._calls.call(ReadConfigurationVersion(), self._turns.admission_timeout_s(request), on_reply)
        return checked

    def _route_by_version(self, request: Request, responder: Responder, version: int) -> Exchange | None:
        """Route a request once the table has at least a version that was the newest after the request arrived."""
        if self._configuration.version >= version:
            return self._route_by_proven_table(request, responder)
        log.info("event=configuration_outdated version=%d newest=%d", self._configuration.version, version)
        self._request_newer_topics()
        return self._until_newer.add(request, responder, version)

    def _request_newer_topics(self) -> None:
        now = self._clock.now()
        if now - self._requested_at >= TOPIC_REQUEST_INTERVAL_S:
            self._requested_at = now
            self._tree.ask_primary()
