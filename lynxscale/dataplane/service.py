"""A relay: handles topics from the distribution tree, heartbeats of the ring, and requests of clients."""

from __future__ import annotations

import logging
from random import Random

import msgspec

from lynxscale.configuration.model import ClientLimits
from lynxscale.coordination.distribution_tree import Subscriber
from lynxscale.coordination.heartbeat_ring import RingMember
from lynxscale.coordination.messages import Message
from lynxscale.coordination.ports import Clock, Network
from lynxscale.coordination.primary_calls import PrimaryCalls
from lynxscale.coordination.relay_roster import ROSTER_TOPIC
from lynxscale.dataplane.exceptions import UnusableConfigurationError
from lynxscale.dataplane.load_balancer import LoadBalancer
from lynxscale.dataplane.relay_configuration import RelayConfiguration
from lynxscale.dataplane.request_router import RequestRouter
from lynxscale.dataplane.responses import OK, SERVICE_UNAVAILABLE, relay_response
from lynxscale.dataplane.routing import RouteTable, decode_route_table
from lynxscale.dataplane.status import UNKNOWN_AGE_S, RelayStatus, endpoint_status
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.discovery.endpoint_poller import EndpointPoller
from lynxscale.discovery.topics import (
    CONFIGURATION_TOPIC,
    ENDPOINTS_TOPIC,
    MEMBERS_TOPIC,
    is_stale_shard_topic,
    shard_topic,
)
from lynxscale.runtime.http_client import Dial
from lynxscale.runtime.http_types import Head, Request, Response
from lynxscale.runtime.resource_limits import ResourceLimits
from lynxscale.runtime.responder import Exchange, Responder
from lynxscale.runtime.server_limits import ServerLimits
from lynxscale.runtime.settings import Settings

log = logging.getLogger(__name__)

ISOLATION_CHECK_INTERVAL_S = 0.2
MIN_DIRECT_POLL_INTERVAL_S = 0.8
DIRECT_POLL_RATE_SHARE = 0.5  # share of the platform's rate limit that all relays together may use


class RelayService:
    """Handles the messages and requests of one relay process."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        network: Network,
        dial: Dial,
        random: Random,
        resources: ResourceLimits | None = None,
    ) -> None:
        """``resources``: the quotas of memory and descriptors; without them nothing is limited."""
        address = settings.internal_address
        self.accepting = True  # whether the process listens for clients
        self.stopping = False
        self._resources = resources
        quotas = resources or ResourceLimits()
        self.balancer = LoadBalancer(settings.zone, clock, dial, quotas.idle_endpoint_connections)
        self.tree = Subscriber(address, settings.zone, settings.contacts, clock, network, self._on_topics)
        self.ring = RingMember(address, settings.heartbeat_ms / 1000.0, clock, network)
        self.calls = PrimaryCalls(
            address, clock, network, random, lambda: self.tree.primary, lambda: self.tree.contacts
        )
        self._seeds = settings.contacts
        self._members: tuple[str, ...] = ()
        self._clock = clock
        self._endpoint_poller = EndpointPoller(settings.cloud.address, clock, dial, self.balancer.update_endpoints)
        self._polls_endpoints = False
        self._platform_rate_per_s = max(1.0, settings.cloud.rate_per_s)
        clock.call_later(ISOLATION_CHECK_INTERVAL_S, self._check_isolation)
        self._configuration = RelayConfiguration(self.tree)
        self.limits = ServerLimits(
            outdated=lambda: self._configuration.outdated,
            waiting_requests=quotas.requests,
            waiting_responses=quotas.responses,
        )
        self._router = RequestRouter(
            self._configuration,
            lambda: self._configured,
            self.tree,
            self.calls,
            self.balancer,
            clock,
            random,
            quotas.responses,
        )

    @property
    def route_table(self) -> RouteTable | None:
        """The route table in use, None until there is a configuration."""
        return self._configuration.table

    @property
    def ready(self) -> bool:
        """Whether the health check succeeds: the relay is configured, accepts clients, and is not isolated."""
        return self._configured and self.accepting and not self.stopping and not self.isolated

    @property
    def isolated(self) -> bool:
        """Whether no primary confirmed this relay's topics for ``ISOLATED_AFTER_INTERVALS``; it is then not ready."""
        return self.tree.isolated

    @property
    def _configured(self) -> bool:
        return self.route_table is not None and self.balancer.has_endpoint_list

    def receive(self, message: Message) -> None:
        """Handle a message of another node."""
        primary = self.tree.primary
        handled = self.calls.receive(message) or self.ring.receive(message) or self.tree.receive(message)
        if handled and self.tree.primary != primary:
            self.ring.primary = self.tree.primary
            self.calls.primary_changed()

    def settings_changed(self, settings: Settings) -> None:
        """Apply a changed settings file; a running relay uses only its seeds."""
        self._seeds = settings.contacts
        self._update_contacts()

    # Requests ----------------------------------------------------------------------------------------

    def handle_readiness(self, request: Request, responder: Responder) -> None:
        """Answer the platform's health checks and requests for the status."""
        if request.path == "/status":
            responder.respond(Response(OK, Head(()), msgspec.json.encode(self.status())))
        else:
            responder.respond(relay_response(OK if self.ready else SERVICE_UNAVAILABLE))

    def handle_request(self, request: Request, responder: Responder) -> Exchange | None:
        """Serve a client's request, or hold it until the relay is configured."""
        self._update_closing()  # the timer may not have run since the process was frozen
        return self._router.handle(request, responder)

    def status(self) -> RelayStatus:
        """Return the status of this relay."""
        return RelayStatus(
            address=self.tree.address,
            ready=self.ready,
            stopping=self.stopping,
            generation=self.route_table.generation if self.route_table else 0,
            confirmed_age_s=min(self.tree.age_s, UNKNOWN_AGE_S),
            tree_position=self.tree.state.value,
            primary=self.tree.primary,
            endpoints=[endpoint_status(name, state) for name, state in sorted(self.balancer.states.items())],
            configuration_error=self._configuration.error or msgspec.UNSET,
            resources=msgspec.UNSET if self._resources is None else self._resources.status(),
        )

    # Isolation ---------------------------------------------------------------------------------------

    def _check_isolation(self) -> None:
        """While isolated, poll the platform's endpoint list directly, and close client connections after a response."""
        self._clock.call_later(ISOLATION_CHECK_INTERVAL_S, self._check_isolation)
        isolated = self._update_closing()
        if isolated and not self._polls_endpoints:
            log.info("event=polling_endpoints_directly")
            self._endpoint_poller.start(interval_s=self._direct_poll_interval_s())
        elif self._polls_endpoints and not isolated:
            self._endpoint_poller.stop()
        self._polls_endpoints = isolated

    def _update_closing(self) -> bool:
        """Decide whether responses close their connections; return whether the relay is isolated and configured."""
        isolated = self.route_table is not None and self.isolated
        self.limits.closing = isolated or self.stopping
        return isolated

    def _direct_poll_interval_s(self) -> float:
        """Return the seconds between polls that keep all relays together within their share of the platform's rate."""
        relays = max(1, len(self.tree.roster))
        return max(MIN_DIRECT_POLL_INTERVAL_S, relays / (DIRECT_POLL_RATE_SHARE * self._platform_rate_per_s))

    # Topics ------------------------------------------------------------------------------------------

    def _on_topics(self, names: list[str]) -> None:
        """Apply the topics of which new versions have arrived."""
        topics = self.tree.publisher.topics
        if CONFIGURATION_TOPIC in names:
            self._apply_configuration(topics[CONFIGURATION_TOPIC].value)
        if any(name.startswith(ENDPOINTS_TOPIC) for name in names):
            self._apply_endpoints()
        if MEMBERS_TOPIC in names:
            self._members = msgspec.json.decode(topics[MEMBERS_TOPIC].value, type=tuple[str, ...])
            self._update_contacts()
        if ROSTER_TOPIC in names:
            self.ring.set_roster(self.tree.roster)
        self._router.topics_changed()

    def _apply_configuration(self, value: msgspec.Raw) -> None:
        try:
            table = decode_route_table(value)
        except UnusableConfigurationError as error:
            log.error("event=configuration_unusable error=%s", error)
            self._configuration.error = str(error)
            return
        self._configuration.table, self._configuration.error = table, ""
        self._apply_limits(table.limits)
        log.info("event=configuration version=%d", table.generation)

    def _apply_limits(self, limits: ClientLimits) -> None:
        self.limits.header_bytes = limits.max_header_bytes
        self.limits.body_bytes = limits.max_body_bytes
        self.limits.header_timeout_s = limits.header_timeout_ms / 1000.0
        self.limits.idle_timeout_s = limits.idle_timeout_ms / 1000.0

    def _apply_endpoints(self) -> None:
        """Apply the endpoint list once all of its shards have arrived."""
        topics = self.tree.publisher.topics
        if ENDPOINTS_TOPIC not in topics:
            return
        count = msgspec.json.decode(topics[ENDPOINTS_TOPIC].value, type=int)
        self.tree.publisher.discard(lambda name: is_stale_shard_topic(name, count))
        shards = [shard_topic(count, number) for number in range(count)]
        if not all(shard in topics for shard in shards):
            return
        lists = [msgspec.json.decode(topics[shard].value, type=list[Endpoint]) for shard in shards]
        self.balancer.update_endpoints([endpoint for endpoints in lists for endpoint in endpoints])

    def _update_contacts(self) -> None:
        self.tree.contacts = list(dict.fromkeys((*self._members, *self._seeds)))
