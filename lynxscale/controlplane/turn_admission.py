"""Admission and completion of turns on the primary: budgets of programs and histories of conversations.

A turn is admitted only if its relay has received the newest configuration: with an older one, the relay might run it
without its history, or not retain it. The comparison costs no further message.
"""

from __future__ import annotations

import logging

import msgspec

from lynxscale.controlplane.exceptions import AdmissionError
from lynxscale.controlplane.newest_configuration import NewestConfiguration
from lynxscale.controlplane.program_state import PROGRAM_PREFIX, ProgramState
from lynxscale.controlplane.retention import RetentionRecord, RetentionTracker
from lynxscale.controlplane.running_turns import RunningTurns
from lynxscale.controlplane.state_limit import StateLimit
from lynxscale.controlplane.turn_history import TURN_PREFIX, TurnHistory, turn_key
from lynxscale.coordination.messages import (
    AdmitTurn,
    ConfigurationOutdated,
    ConfigurationVersion,
    FinishTurn,
    Put,
    TurnAdmitted,
    TurnFinished,
    TurnRejected,
    put_value,
)
from lynxscale.coordination.ports import Clock

log = logging.getLogger(__name__)

AdmissionReply = TurnAdmitted | TurnRejected | ConfigurationOutdated
HOLD_MARGIN_S = 10.0  # for the commit after a turn's own time, and its retries
FinishReply = TurnFinished | TurnRejected


class TurnAdmission:
    """Admits and finishes turns.

    ``values`` are the store's entries in memory. Methods return changes as puts and apply none.
    """

    def __init__(self, values: dict[str, msgspec.Raw], clock: Clock, state_limit: StateLimit | None = None) -> None:
        """``state_limit``: how large the store may become; unlimited without it."""
        self._values = values
        self._state_limit = state_limit or StateLimit()
        self._configuration = NewestConfiguration(values)
        self._retention = RetentionTracker(clock)
        self._programs = ProgramState(values, self._retention)
        self.running = RunningTurns(clock)
        self._turns = TurnHistory(values, self._retention, self.running)

    def restart_retention(self) -> None:
        """Restart the retention of all stored records, as another primary may have written them.

        Another primary may have admitted turns that continue them, so each is retained as long as a turn may last.
        """
        self._retention.clear()
        longest_turn_s = self._longest_turn_s()
        for key, raw in self._values.items():
            if key.startswith((PROGRAM_PREFIX, TURN_PREFIX)):
                record = msgspec.json.decode(raw, type=RetentionRecord)
                self._retention.retain(key, max(record.retention_s, longest_turn_s), turn_key(record.previous))

    def configuration_version(self) -> ConfigurationVersion:
        """Return the version of the newest configuration; it has to be committed before it is sent."""
        return ConfigurationVersion(self._configuration.version)

    def admit(self, request: AdmitTurn) -> tuple[AdmissionReply, tuple[Put, ...]]:
        """Return the reply to an admission request, and the puts that must be durable before it is sent.

        A repeated request whose tokens are reserved is admitted again, whatever has changed since.
        """
        if self._is_older(request.configuration) and not self._programs.holds_reservation(request):
            return ConfigurationOutdated(self._configuration.version), ()
        try:
            if request.retained:
                self._state_limit.check_admission()
            admitted = self._turns.compose(request.previous, request.cached, request.cached_run)
            puts = self._programs.reserve(request)
            earlier = self.running.begin(request)
        except AdmissionError as error:
            return TurnRejected(error.status), ()
        self._hold_previous(request)
        if earlier is not None:
            admitted = msgspec.structs.replace(admitted, earlier_events=earlier)
        return admitted, puts

    def _hold_previous(self, request: AdmitTurn) -> None:
        """Retain the turn that an admitted one continues for at least as long as the admitted one may last."""
        if not request.previous:
            return
        stated = request.duration_s
        duration_s = stated + HOLD_MARGIN_S if isinstance(stated, float) else self._longest_turn_s()
        self._retention.hold(turn_key(request.previous), duration_s)

    def _longest_turn_s(self) -> float:
        return self._configuration.maxima().timeout_s + HOLD_MARGIN_S

    def finish(self, request: FinishTurn) -> tuple[FinishReply, tuple[Put, ...]]:
        """Return the reply to the end of a turn, and the puts that must be durable before it is sent.

        A turn that ends under a newer configuration than it began with is retained for as long as either asks for.
        """
        if request.content is not None and self._is_older(request.configuration):
            longest_s = max(request.retention_s, self._configuration.maxima().retention_s)
            request = msgspec.structs.replace(request, retention_s=longest_s)
        if request.content is None:
            self.running.on_closed(request)
        settled = self._programs.settle(request)
        try:
            if request.content is not None:
                self._state_limit.check_storing(len(request.content))
            return TurnFinished(), settled + self._turns.record(request)
        except AdmissionError as error:
            log.warning("event=turn_not_retained error=%s", error)
            return TurnRejected(error.status), settled

    def _is_older(self, version: int | msgspec.UnsetType) -> bool:
        """Whether a version is older than the newest configuration; False if it is not stated."""
        return version is not msgspec.UNSET and version < self._configuration.version

    def remove_expired(self) -> tuple[Put, ...]:
        """Forget expired runs, and return the puts that remove expired records."""
        self.running.remove_expired()
        return tuple(put_value(key, None) for key in self._retention.pop_expired())
