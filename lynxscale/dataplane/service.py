"""One relay: topics from the tree, the ring's heartbeats, and requests of clients."""

from __future__ import annotations

import logging
from random import Random

import msgspec

from lynxscale.coordination.distribution_tree import ROSTER, Subscriber
from lynxscale.coordination.heartbeat_ring import RingMember
from lynxscale.coordination.messages import Message
from lynxscale.coordination.ports import Clock, Network
from lynxscale.coordination.primary_calls import PrimaryCalls
from lynxscale.dataplane import headers as h
from lynxscale.dataplane.balancer import Balancer
from lynxscale.dataplane.forwarding import ForwardedRequest, Surroundings
from lynxscale.dataplane.parking import Parking
from lynxscale.dataplane.routing import RouteTable, decode_table
from lynxscale.dataplane.status import NEVER_S, EndpointStatus, RelayStatus, tau
from lynxscale.dataplane.turns import TurnLedger
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
from lynxscale.runtime.http_server import Exchange, Responder, ServerLimits
from lynxscale.runtime.http_types import Head, Request, Response
from lynxscale.runtime.settings import Settings

log = logging.getLogger(__name__)

LOOK_EVERY_S = 0.2
OWN_READ_EVERY_S = 0.8
RATE_SHARE = 0.5  # of the platform's rate, for all relays together


class RelayService:
    """Handles messages and requests of one data plane process."""

    def __init__(self, settings: Settings, clock: Clock, network: Network, dial: Dial, random: Random) -> None:
        address = settings.internal_address
        self.limits = ServerLimits()
        self.stopping = False
        self.balancer = Balancer(settings.zone, clock, dial)
        self.tree = Subscriber(address, settings.zone, settings.contacts, clock, network, self._on_topics)
        self.ring = RingMember(address, settings.heartbeat_ms / 1000.0, clock, network)
        self.calls = PrimaryCalls(
            address, clock, network, random, lambda: self.tree.primary, lambda: self.tree.contacts
        )
        self._seeds = settings.contacts
        self._members: tuple[str, ...] = ()
        self._reader = EndpointPoller(settings.cloud.address, clock, dial, self._on_own_list)
        self._reading = False
        self._clock = clock
        self._rate_per_s = max(1.0, settings.cloud.rate_per_s)
        clock.call_later(LOOK_EVERY_S, self._look)
        self.parking = Parking(clock, self._serve)
        self._table: RouteTable | None = None
        self._around = Surroundings(clock, self.balancer, TurnLedger(self.calls, lambda: self.alone), random)

    @property
    def ready(self) -> bool:
        """May clients be sent here?"""
        return self._table is not None and self.balancer.known and not self.stopping and not self.alone

    @property
    def alone(self) -> bool:
        """Has no primary vouched for what this relay holds for long? Then others serve programs better."""
        return self.tree.alone

    def receive(self, message: Message) -> None:
        """Handle a message of another node."""
        primary = self.tree.primary
        handled = self.calls.receive(message) or self.ring.receive(message) or self.tree.receive(message)
        if handled and self.tree.primary != primary:
            self.ring.primary = self.tree.primary
            self.calls.primary_changed()

    def settings_changed(self, settings: Settings) -> None:
        """The settings file has changed: other seeds."""
        self._seeds = settings.contacts
        self._set_contacts()

    def _set_contacts(self) -> None:
        self.tree.contacts = list(dict.fromkeys((*self._members, *self._seeds)))

    def handle_readiness(self, request: Request, responder: Responder) -> None:
        """Answer the platform's question whether clients may be sent here."""
        if request.path == "/status":
            responder.respond(Response(200, Head(()), msgspec.json.encode(self.status())))
        else:
            responder.respond(h.own_answer(200 if self.ready else 503))

    def status(self) -> RelayStatus:
        """What this relay knows."""
        return RelayStatus(
            address=self.tree.address,
            ready=self.ready,
            stopping=self.stopping,
            configuration=self._table.generation if self._table else 0,
            vouched_s=min(self.tree.age, NEVER_S),
            place=self.tree.place.value,
            primary=self.tree.primary,
            endpoints=[
                EndpointStatus(name, state.endpoint.backend, state.ready, state.in_flight, state.window, tau(state))
                for name, state in sorted(self.balancer.states.items())
            ],
        )

    def handle_request(self, request: Request, responder: Responder) -> Exchange | None:
        """Begin to serve a client's request."""
        if self._table is None or not self.balancer.known:
            return self.parking.park(request, responder)
        return self._serve(request, responder)

    def _serve(self, request: Request, responder: Responder) -> Exchange | None:
        route = self._table.find(request.head.text(b"host"), request.path)
        if route is None:
            responder.respond(h.own_answer(404))
            return None
        exchange = ForwardedRequest(request, route, self._table, responder, self._around)
        exchange.start()
        return exchange

    def _look(self) -> None:
        """Without word from any primary for too long, the relay reads the platform's list itself."""
        self._clock.call_later(LOOK_EVERY_S, self._look)
        alone = self._table is not None and self.alone
        self.limits.closing = alone or self.stopping
        if alone and not self._reading:
            log.info("event=reads_the_list_itself")
            relays = max(1, len(self.tree.roster))
            self._reader.start(interval_s=max(OWN_READ_EVERY_S, relays / (RATE_SHARE * self._rate_per_s)))
        elif self._reading and not alone:
            self._reader.stop()
        self._reading = alone

    def _on_own_list(self, endpoints: list[Endpoint]) -> None:
        self.balancer.take_list(endpoints)

    def _on_topics(self, names: list[str]) -> None:
        topics = self.tree.publisher.topics
        if CONFIGURATION_TOPIC in names:
            self._take_configuration(topics[CONFIGURATION_TOPIC].value)
        if any(name.startswith(ENDPOINTS_TOPIC) for name in names):
            self._take_endpoints()
        if MEMBERS_TOPIC in names:
            self._members = msgspec.json.decode(topics[MEMBERS_TOPIC].value, type=tuple[str, ...])
            self._set_contacts()
        if ROSTER in names:
            self.ring.set_roster(self.tree.roster)
        if self._table is not None and self.balancer.known:
            self.parking.release()

    def _take_endpoints(self) -> None:
        """Take the list once all of its parts are there."""
        publisher = self.tree.publisher
        if ENDPOINTS_TOPIC not in publisher.topics:
            return
        count = msgspec.json.decode(publisher.topics[ENDPOINTS_TOPIC].value, type=int)
        publisher.drop(lambda name: is_stale_shard_topic(name, count))
        parts = [publisher.topics.get(shard_topic(count, number)) for number in range(count)]
        if all(parts):
            listed = [msgspec.json.decode(part.value, type=list[Endpoint]) for part in parts]
            self.balancer.take_list([endpoint for part in listed for endpoint in part])

    def _take_configuration(self, value: msgspec.Raw) -> None:
        try:
            self._table = decode_table(value)
        except msgspec.ValidationError as error:
            log.error("event=configuration_unusable error=%s", error)
            return
        limits = self._table.limits
        self.limits.header_bytes = limits.max_header_bytes
        self.limits.body_bytes = limits.max_body_bytes
        self.limits.header_timeout_s = limits.header_timeout_ms / 1000.0
        self.limits.idle_timeout_s = limits.idle_timeout_ms / 1000.0
        log.info("event=configuration version=%d", self._table.generation)
