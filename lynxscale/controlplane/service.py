"""One process of the control plane: a member of the replicated group, and its tasks as primary.

It dispatches messages, requests and ticks to its components. A member serves as primary once it holds the lease and has
established that everything that earlier primaries committed is committed; it stops once it loses the lease.
"""

from __future__ import annotations

import logging
from collections.abc import Callable
from http import HTTPStatus
from random import Random

import msgspec

from lynxscale.controlplane.http_responses import json_response
from lynxscale.controlplane.newest_configuration import CurrentConfiguration
from lynxscale.controlplane.operator_api import OperatorApi
from lynxscale.controlplane.relay_requests import RelayRequestHandler
from lynxscale.controlplane.state_limit import StateLimit
from lynxscale.controlplane.status import ControlStatus, ReplicaStatus
from lynxscale.controlplane.topic_publication import TopicPublication
from lynxscale.controlplane.turn_admission import TurnAdmission
from lynxscale.coordination.acceptor_state import AcceptorStateFile, MemberIdentity
from lynxscale.coordination.member import ControlMember, MemberSettings
from lynxscale.coordination.messages import Attach, Call, Message, Suspicion, TurnEvents
from lynxscale.coordination.outcomes import CommitOutcome
from lynxscale.coordination.ports import Clock, Files, Network, Worker
from lynxscale.coordination.topic_publisher import Publisher
from lynxscale.discovery.endpoint_poller import EndpointPoller
from lynxscale.runtime.http_client import Dial
from lynxscale.runtime.http_types import Request
from lynxscale.runtime.resource_limits import ResourceLimits
from lynxscale.runtime.responder import Responder
from lynxscale.runtime.settings import Settings

log = logging.getLogger(__name__)

STATUS_PATH = "/status"
TICK_INTERVAL_S = 0.02  # between checks whether to serve, publish or run periodic tasks
EXPIRY_INTERVAL_S = 5.0  # between removals of expired records
SCRUB_INTERVAL_S = 1.0  # between comparisons of the replicas' checksums


class ControlService:
    """Handles messages, operators' requests and ticks of one control process."""

    def __init__(
        self,
        settings: Settings,
        clock: Clock,
        network: Network,
        files: Files,
        dial: Dial,
        random: Random,
        worker: Worker,
        resources: ResourceLimits | None = None,
    ) -> None:
        """``resources``: the quotas of memory and descriptors. Raises OSError if the disk fails."""
        address = settings.internal_address
        self._resources = resources
        identity = MemberIdentity(address, settings.bootstrap, settings.contacts)
        member_settings = MemberSettings(settings.node_name, settings.contacts, settings.fault_tolerance.machines)
        acceptor_state = AcceptorStateFile(identity, files, random)
        self.member = ControlMember(member_settings, acceptor_state, clock, network, files, random, self._on_lead)
        control_port = int(settings.listen.control.rpartition(":")[2] or 0)
        self.operator_api = OperatorApi(self.member, control_port, self._publish, self._apply_retirements, worker)
        self.publisher = Publisher(address, clock, network)
        self.publication = TopicPublication(self.member, self.publisher, clock)
        self._relay_requests = RelayRequestHandler(self.member, self.publisher, network)
        self._poller = EndpointPoller(settings.cloud.address, clock, dial, self.publication.publish_endpoints)
        self._clock = clock
        self._admission: TurnAdmission | None = None  # not None while this member serves as primary
        self._next_expiry = self._next_scrub = 0.0
        clock.call_later(TICK_INTERVAL_S, self._tick)

    def handle_request(self, request: Request, responder: Responder) -> None:
        """Answer an operator's HTTP request."""
        if (request.method, request.path) == ("GET", STATUS_PATH):
            responder.respond(json_response(HTTPStatus.OK, self.status()))
        else:
            self.operator_api.handle(request, responder)

    def receive(self, message: Message) -> None:
        """Handle a message of another node."""
        if self.member.receive(message):
            return
        if isinstance(message, Call):
            self._relay_requests.on_call(message)
        elif isinstance(message, Attach):
            self._relay_requests.on_attach(message)
        elif isinstance(message, TurnEvents):
            self._relay_requests.on_turn_events(message)
        elif isinstance(message, Suspicion):
            self._relay_requests.on_suspicion(message)

    def settings_changed(self, settings: Settings) -> None:
        """Apply a changed settings file: its seeds and the address of the platform's API."""
        self.member.contacts = settings.contacts
        self._poller.address = settings.cloud.address

    def leave(self, on_release: Callable[[], None]) -> None:
        """Leave the group; ``on_release()`` is called once nothing depends on this member any more."""
        self.member.leave(on_release)

    def status(self) -> ControlStatus:
        """Return the status of this process and, if it is the primary, of the other members."""
        member = self.member
        leads = member.leads()
        current = self.operator_api.configuration.current()
        configuration_error = current.error if current else ""
        return ControlStatus(
            node=member.settings.node,
            member=member.member_id,
            state=member.role.value,
            leads=leads,
            epoch=member.record.epoch,
            primary=member.primary(),
            position=f"{member.store.position.epoch}/{member.store.position.index}",
            configuration=current.generation if current else 0,
            endpoints=len(self.publication.endpoints) if leads else 0,
            relays=[entry.address for entry in self.publication.roster.entries()] if leads else [],
            retiring=sorted(self.operator_api.retirement.retiring_nodes()),
            replicas=self._replicas() if leads else [],
            configuration_error=configuration_error or msgspec.UNSET,
            resources=msgspec.UNSET if self._resources is None else self._resources.status(),
        )

    def _replicas(self) -> list[ReplicaStatus]:
        leadership = self.member.leadership
        if leadership is None:
            return []
        now = self._clock.now()
        record = self.member.record
        return [
            ReplicaStatus(name, peer.node, name in record.voters, name in record.in_sync, now - peer.heard_at)
            for name, peer in sorted(leadership.peers.items())
        ]

    def _on_lead(self, leading: bool) -> None:
        if not leading and self._admission is not None:
            self._admission = None
            self._relay_requests.stop_serving()
            self._poller.stop()

    def _start_serving(self) -> None:
        limit_bytes = float("inf") if self._resources is None else self._resources.state_bytes
        state_limit = StateLimit(limit_bytes, lambda: self.member.store.size_bytes)
        self._admission = TurnAdmission(self.member.store.values, self._clock, state_limit)
        self._admission.restart_retention()
        self.publication.start()
        self._relay_requests.start_serving(self._admission, self.publication.roster)
        self._apply_retirements()
        self._publish_once_committed()
        self._poller.start()
        log.info("event=serving epoch=%d", self.member.record.epoch)

    def _apply_retirements(self) -> None:
        self.member.retiring = self.operator_api.retirement.retiring_nodes()

    def _publish_once_committed(self) -> None:
        """Publish the configuration that this member has as it begins to lead, once that is known to be committed."""
        found = self.operator_api.configuration.current()

        def on_outcome(outcome: CommitOutcome) -> None:
            if outcome.committed:
                self._publish(found)

        self.member.barrier(on_outcome)

    def _publish(self, configuration: CurrentConfiguration | None) -> None:
        """Publish a configuration. It must be committed, as relays never return to an earlier version."""
        self.publication.publish_configuration(configuration)

    def _tick(self) -> None:
        self._clock.call_later(TICK_INTERVAL_S, self._tick)
        if self.member.leads() and self._admission is None:
            self._start_serving()
        self._relay_requests.send_pending_redirects()
        if self._admission is not None and self.member.leads():
            self.publication.publish_membership()
            self._run_periodic_tasks(self._admission)

    def _run_periodic_tasks(self, admission: TurnAdmission) -> None:
        now = self._clock.now()
        if now >= self._next_expiry:
            self._next_expiry = now + EXPIRY_INTERVAL_S
            if removals := admission.remove_expired():
                self.member.submit(removals, lambda outcome: None)
        if now >= self._next_scrub and self.member.leadership is not None:
            self._next_scrub = now + SCRUB_INTERVAL_S
            self.member.leadership.scrub()
