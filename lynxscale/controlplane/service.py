"""One process of the control plane: a member of the group, the operator's API, and what the primary does besides."""

from __future__ import annotations

import logging
from collections.abc import Callable
from random import Random

import msgspec

from lynxscale.controlplane.ledger import Ledger
from lynxscale.controlplane.operator_api import OperatorApi, json_response
from lynxscale.controlplane.status import ControlStatus, ReplicaStatus
from lynxscale.coordination.acceptor_state import AcceptorStateFile, MemberIdentity
from lynxscale.coordination.member import ControlMember, MemberSettings
from lynxscale.coordination.messages import (
    AdmitTurn,
    Attach,
    Call,
    Message,
    Put,
    Redirect,
    Reply,
    Suspicion,
    Topic,
    TurnFinished,
    Version,
    address_of,
)
from lynxscale.coordination.outcomes import CommitOutcome
from lynxscale.coordination.ports import Clock, Files, Network
from lynxscale.coordination.relay_roster import ROSTER_TOPIC, Roster
from lynxscale.coordination.topic_publisher import Publisher
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.discovery.endpoint_poller import EndpointPoller
from lynxscale.discovery.topics import (
    CONFIGURATION_TOPIC,
    ENDPOINTS_TOPIC,
    MEMBERS_TOPIC,
    is_stale_shard_topic,
    shard_count,
    shard_endpoints,
)
from lynxscale.runtime.http_client import Dial
from lynxscale.runtime.http_server import Responder
from lynxscale.runtime.http_types import Request
from lynxscale.runtime.settings import Settings

log = logging.getLogger(__name__)

TICK_S = 0.02
MOST_UNANSWERED = 10_000  # relays that asked while there was no primary
SWEEP_EVERY_S = 5.0
SCRUB_EVERY_S = 1.0


class ControlService:
    """Handles messages and requests of one control process."""

    def __init__(self, settings: Settings, clock: Clock, network: Network, files: Files, dial: Dial, random: Random):
        self._clock = clock
        self._network = network
        address = settings.internal_address
        identity = MemberIdentity(address, settings.bootstrap, settings.contacts)
        member_settings = MemberSettings(settings.node_name, settings.contacts, settings.fault_tolerance.machines)
        register = AcceptorStateFile(identity, files, random)
        self.member = ControlMember(member_settings, register, clock, network, files, random, self._on_lead)
        control_port = int(settings.listen.control.rpartition(":")[2] or 0)
        self.api = OperatorApi(self.member, control_port, self._publish_committed)
        self.ledger = Ledger(self.member.store.values, clock)
        self.publisher = Publisher(address, clock, network)
        self.roster = Roster(clock, self._roster_changed)
        self._reader = EndpointPoller(settings.cloud.address, clock, dial, self._on_list)
        self._serving = False
        self._unanswered: set[str] = set()
        self._endpoints: list[Endpoint] = []
        self._parts: dict[str, list[Endpoint]] = {}
        self._members: tuple[str, ...] = ()
        self._numbers: dict[str, int] = {}
        self._roster_dirty = False
        self._sweep_at = self._scrub_at = 0.0
        clock.call_later(TICK_S, self._tick)

    def handle_request(self, request: Request, responder: Responder) -> None:
        """Answer the operator."""
        if (request.method, request.path) == ("GET", "/status"):
            responder.respond(json_response(200, self.status()))
        else:
            self.api.handle(request, responder)

    def status(self) -> ControlStatus:
        """What this process knows of itself and, as primary, of the others."""
        member = self.member
        leads = member.leads()
        current = self.api.current()
        return ControlStatus(
            node=member.settings.node,
            member=member.me,
            state=member.state.value,
            leads=leads,
            epoch=member.record.epoch,
            primary=member.primary(),
            position=f"{member.store.position.epoch}/{member.store.position.index}",
            configuration=current.generation if current else 0,
            endpoints=len(self._endpoints) if leads else 0,
            relays=[entry.address for entry in self.roster.entries()] if leads else [],
            retiring=sorted(self.api.retiring()),
            replicas=self._replicas() if leads else [],
        )

    def _replicas(self) -> list[ReplicaStatus]:
        now = self._clock.now()
        record = self.member.record
        return [
            ReplicaStatus(one, peer.node, one in record.voters, one in record.in_sync, now - peer.heard_at)
            for one, peer in sorted(self.member.leadership.peers.items())
        ]

    def receive(self, message: Message) -> None:
        """Handle a message of another node."""
        if self.member.receive(message):
            return
        if isinstance(message, Call):
            self._on_call(message)
        elif isinstance(message, Attach):
            self._on_attach(message)
        elif isinstance(message, Suspicion) and self._serving:
            self.roster.on_suspicion(message)

    def settings_changed(self, settings: Settings) -> None:
        """The settings file has changed: other seeds, another address of the list."""
        self.member.contacts = settings.contacts
        self._reader.address = settings.cloud.address

    def leave(self, on_release: Callable[[], None]) -> None:
        """The process is to stop; ``on_release()`` once nothing depends on it any more."""
        self.member.leave(on_release)

    # Requests of relays ----------------------------------------------------------------------------

    def _on_call(self, call: Call) -> None:
        if not self._serving or not self.member.leads():
            self._redirect(call.caller)
        elif isinstance(call.body, AdmitTurn):
            answer, puts = self.ledger.admit(call.body)
            self._reply_when_durable(call, answer, puts)
        else:
            self._reply_when_durable(call, TurnFinished(), self.ledger.finish(call.body))

    def _reply_when_durable(self, call: Call, answer: Message, puts: tuple[Put, ...]) -> None:
        def reply(outcome: CommitOutcome) -> None:
            if outcome.committed and self.member.leads():
                self._network.send(call.caller, Reply(call.number, call.incarnation, answer))

        if puts:
            self.member.submit(puts, reply)
        else:
            self.member.barrier(reply)

    def _on_attach(self, message: Attach) -> None:
        if not self._serving or not self.member.leads():
            self._redirect(message.sender)
            return
        self.roster.on_attach(message.sender, message.zone)
        self.publisher.on_attach(message, self.publisher.address, self.member.record.epoch, 0.0)

    def _redirect(self, address: str) -> None:
        """Tell who is primary, now or as soon as it is known here."""
        if self._primary_that_serves():
            self._network.send(address, Redirect(self._primary_that_serves(), self.member.record.epoch))
        elif len(self._unanswered) < MOST_UNANSWERED:
            self._unanswered.add(address)

    def _primary_that_serves(self) -> str:
        return "" if self.member.leads() and not self._serving else self.member.primary()

    def _answer_waiting(self) -> None:
        if self._unanswered and self._primary_that_serves():
            waiting, self._unanswered = self._unanswered, set()
            for address in waiting:
                self._redirect(address)

    # What the primary does ---------------------------------------------------------------------------

    def _on_lead(self, leading: bool) -> None:
        """A lead begins once all that earlier primaries committed is known to be committed; it ends at once."""
        if not leading and self._serving:
            self._serving = False
            self._reader.stop()

    def _begin_serving(self) -> None:
        self._serving = True
        self.publisher.topics, self.publisher.children, self._numbers = {}, {}, {}
        self._endpoints, self._parts, self._members = [], {}, ()
        self.roster = Roster(self._clock, self._roster_changed)
        self.ledger = Ledger(self.member.store.values, self._clock)
        self.ledger.begin()
        self._publish_committed()
        self._reader.start()
        log.info("event=serving epoch=%d", self.member.record.epoch)

    def _publish_committed(self) -> None:
        """Publish the configuration in force, and act on retirements."""
        self.member.retiring = self.api.retiring()
        current = self.api.current()
        if current is not None:
            topic = Topic(Version(0, current.generation), current.body)
            self.publisher.update({CONFIGURATION_TOPIC: topic})
        self._push()

    def _on_list(self, endpoints: list[Endpoint]) -> None:
        if endpoints != self._endpoints and self.member.leads():
            log.info("event=endpoints count=%d", len(endpoints))
            self._endpoints = endpoints
            self._publish_endpoints()

    def _publish_endpoints(self) -> None:
        """Publish the parts of the list that have changed."""
        count = shard_count(len(self._endpoints))
        parts = shard_endpoints(self._endpoints, count)
        changed = {name: part for name, part in parts.items() if self._parts.get(name) != part}
        if len(parts) != len(self._parts):
            self.publisher.discard(lambda name: is_stale_shard_topic(name, count))
            changed[ENDPOINTS_TOPIC] = count
        self._parts = parts
        for name, value in changed.items():
            self._set_topic(name, value)
        self._push()

    def _roster_changed(self) -> None:
        self._roster_dirty = True

    def _publish(self, name: str, value: object) -> None:
        self._set_topic(name, value)
        self._push()

    def _set_topic(self, name: str, value: object) -> None:
        self._numbers[name] = self._numbers.get(name, 0) + 1
        version = Version(self.member.record.epoch, self._numbers[name])
        self.publisher.update({name: Topic(version, msgspec.Raw(msgspec.json.encode(value)))})

    def _push(self) -> None:
        self.publisher.push(self.publisher.address, self.member.record.epoch, 0.0)

    def _tick(self) -> None:
        self._clock.call_later(TICK_S, self._tick)
        if self.member.leads() and not self._serving:
            self._begin_serving()
        self._answer_waiting()
        if not self.member.leads():
            return
        members = tuple(address_of(one) for one in self.member.record.voters)
        if members != self._members:
            self._members = members
            self._publish(MEMBERS_TOPIC, members)
        if self._roster_dirty:
            self._roster_dirty = False
            self._publish(ROSTER_TOPIC, self.roster.entries())
        self._sweep(self._clock.now())

    def _sweep(self, now: float) -> None:
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_EVERY_S
            if gone := self.ledger.expired():
                self.member.submit(gone, lambda outcome: None)
        if now >= self._scrub_at:
            self._scrub_at = now + SCRUB_EVERY_S
            self.member.leadership.scrub()
