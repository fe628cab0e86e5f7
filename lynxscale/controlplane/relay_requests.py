"""Requests of relays: to admit and finish turns, to read the configuration's version, and to subscribe to topics.

Only a serving primary answers them.
"""

from __future__ import annotations

import msgspec

from lynxscale.controlplane.turn_admission import AdmissionReply, FinishReply, TurnAdmission
from lynxscale.coordination.member import ControlMember
from lynxscale.coordination.messages import (
    AdmitTurn,
    Attach,
    Call,
    ConfigurationVersion,
    FinishTurn,
    Put,
    ReadConfigurationVersion,
    Redirect,
    Reply,
    Suspicion,
    TurnAdmitted,
    TurnEvents,
    TurnRejected,
    address_of,
)
from lynxscale.coordination.outcomes import CommitOutcome
from lynxscale.coordination.ports import Network
from lynxscale.coordination.relay_roster import Roster
from lynxscale.coordination.topic_publisher import Publisher

MAX_PENDING_REDIRECTS = 10_000  # relays that wait for a primary to become known; further ones are not redirected


class RelayRequestHandler:
    """Answers relays, or redirects them to the primary as soon as it is known.

    The primary answers relays between ``start_serving`` and ``stop_serving``.
    """

    def __init__(self, member: ControlMember, publisher: Publisher, network: Network) -> None:
        self._member = member
        self._publisher = publisher
        self._network = network
        self._admission: TurnAdmission | None = None
        self._roster: Roster | None = None
        self._pending_redirects: dict[str, None] = {}  # relay addresses in order of arrival

    def start_serving(self, admission: TurnAdmission, roster: Roster) -> None:
        """Answer requests from now on, with the admission state and roster of a new primary."""
        self._admission = admission
        self._roster = roster

    def stop_serving(self) -> None:
        """Redirect all relays to the primary from now on."""
        self._admission = self._roster = None

    def on_call(self, call: Call) -> None:
        """Admit or finish a turn, or read the configuration's version; reply once that is durable."""
        if self._admission is None or not self._member.leads():
            self._redirect(call.caller)
        elif isinstance(call.body, AdmitTurn):
            answer, puts = self._admission.admit(call.body)
            self._reply_when_durable(call, self._with_own_address(answer), puts)
        elif isinstance(call.body, ReadConfigurationVersion):
            self._reply_when_durable(call, self._admission.configuration_version(), ())
        else:
            self._finish(self._admission, call, call.body)

    def _with_own_address(self, answer: AdmissionReply) -> AdmissionReply:
        """Add where the events of an admitted turn are reported to, if they are to be reported."""
        if isinstance(answer, TurnAdmitted) and isinstance(answer.earlier_events, tuple):
            return msgspec.structs.replace(answer, admitted_by=address_of(self._member.member_id))
        return answer

    def _finish(self, admission: TurnAdmission, call: Call, request: FinishTurn) -> None:
        answer, puts = admission.finish(request)
        if isinstance(answer, TurnRejected) and request.run_id is msgspec.UNSET:
            if puts:  # its program takes each reply for an acknowledgement, so that it gets none
                self._member.submit(puts, lambda outcome: None)
        else:
            self._reply_when_durable(call, answer, puts)

    def on_turn_events(self, message: TurnEvents) -> None:
        """Add events of a running turn."""
        if self._admission is not None and self._member.leads():
            self._admission.running.add(message)

    def on_attach(self, message: Attach) -> None:
        """Add a relay to the roster and send it the topics that it lacks."""
        if self._roster is None or not self._member.leads():
            self._redirect(message.sender)
            return
        self._roster.on_attach(message.sender, message.zone)
        self._publisher.on_attach(message, self._publisher.address, self._member.record.epoch, 0.0)

    def on_suspicion(self, message: Suspicion) -> None:
        """Count a relay's report that another relay's heartbeats are missing."""
        if self._roster is not None:
            self._roster.on_suspicion(message)

    def send_pending_redirects(self) -> None:
        """Redirect the relays that sent requests while no primary was known, if one is known now."""
        if self._pending_redirects and self._serving_primary():
            addresses, self._pending_redirects = self._pending_redirects, {}
            for address in addresses:
                self._redirect(address)

    def _reply_when_durable(
        self, call: Call, answer: AdmissionReply | ConfigurationVersion | FinishReply, puts: tuple[Put, ...]
    ) -> None:
        def on_outcome(outcome: CommitOutcome) -> None:
            if outcome.committed and self._member.leads():
                self._network.send(call.caller, Reply(call.number, call.incarnation, answer))

        if puts:
            self._member.submit(puts, on_outcome)
        else:
            self._member.barrier(on_outcome)

    def _redirect(self, address: str) -> None:
        primary = self._serving_primary()
        if primary:
            self._network.send(address, Redirect(primary, self._member.record.epoch))
        elif len(self._pending_redirects) < MAX_PENDING_REDIRECTS:
            self._pending_redirects[address] = None

    def _serving_primary(self) -> str:
        """Return the primary's address; empty if it is unknown, or is this member and not serving yet."""
        starting = self._member.leads() and self._admission is None
        return "" if starting else self._member.primary()
