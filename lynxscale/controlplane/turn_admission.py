"""Admission and completion of turns on the primary: budgets of programs and histories of conversations."""

from __future__ import annotations

import msgspec

from lynxscale.controlplane.exceptions import AdmissionError
from lynxscale.controlplane.program_state import PROGRAM_PREFIX, ProgramState
from lynxscale.controlplane.retention import RetentionRecord, RetentionTracker
from lynxscale.controlplane.turn_history import TURN_PREFIX, TurnHistory, turn_key
from lynxscale.coordination.messages import AdmitTurn, FinishTurn, Put, TurnAdmitted, TurnRejected, put_value
from lynxscale.coordination.ports import Clock


class TurnAdmission:
    """Admits and finishes turns.

    ``values`` are the store's entries in memory. Methods return changes as puts and apply none.
    """

    def __init__(self, values: dict[str, msgspec.Raw], clock: Clock) -> None:
        self._values = values
        self._retention = RetentionTracker(clock)
        self._programs = ProgramState(values, self._retention)
        self._turns = TurnHistory(values, self._retention)

    def restart_retention(self) -> None:
        """Restart the retention of all stored records, as another primary may have written them."""
        self._retention.clear()
        for key, raw in self._values.items():
            if key.startswith((PROGRAM_PREFIX, TURN_PREFIX)):
                record = msgspec.json.decode(raw, type=RetentionRecord)
                self._retention.retain(key, record.retention_s, turn_key(record.previous))

    def admit(self, request: AdmitTurn) -> tuple[TurnAdmitted | TurnRejected, tuple[Put, ...]]:
        """Return the reply to an admission request, and the puts that must be durable before it is sent."""
        try:
            admitted = self._turns.compose(request.previous, request.cached)
            return admitted, self._programs.reserve(request)
        except AdmissionError as error:
            return TurnRejected(error.status), ()

    def finish(self, request: FinishTurn) -> tuple[Put, ...]:
        """Return the puts that must be durable before the end of a turn is acknowledged."""
        return self._programs.settle(request) + self._turns.record(request)

    def remove_expired(self) -> tuple[Put, ...]:
        """Return the puts that remove expired records."""
        return tuple(put_value(key, None) for key in self._retention.pop_expired())
