"""Token budgets of programs, as records of the replicated store.

The maximum number of tokens that a turn may use is reserved before it runs, and replaced by the number it has used when
it ends. If the relay fails in between, the reservation stays, so that the budget is never exceeded.
"""

from __future__ import annotations

import msgspec

from lynxscale.controlplane.exceptions import BudgetExceededError
from lynxscale.controlplane.retention import RetentionTracker
from lynxscale.coordination.messages import AdmitTurn, FinishTurn, Put, put_value

PROGRAM_PREFIX = "program/"
MIN_PROGRAM_RETENTION_S = 600.0  # for programs that are resumed after a pause
NO_BUDGET = -1  # value of ``AdmitTurn.budget`` for a program without a budget


class ProgramRecord(msgspec.Struct):
    """The tokens that a program has spent, and those reserved for its turns in flight, by request id.

    ``msgspec.field`` gives the stored names; data folders of earlier versions contain them.
    """

    budget: int
    spent_tokens: int = msgspec.field(default=0, name="spent")
    reservations: dict[str, int] = msgspec.field(default_factory=dict, name="open")
    retention_s: float = msgspec.field(default=MIN_PROGRAM_RETENTION_S, name="keep_s")

    @property
    def committed_tokens(self) -> int:
        """The number of tokens that are spent or reserved."""
        return self.spent_tokens + sum(self.reservations.values())


class ProgramState:
    """Reserves and settles tokens of programs.

    ``values`` are the store's entries in memory. Methods return changes as puts and apply none.
    """

    def __init__(self, values: dict[str, msgspec.Raw], retention: RetentionTracker) -> None:
        self._values = values
        self._retention = retention

    def reserve(self, request: AdmitTurn) -> tuple[Put, ...]:
        """Return the puts that reserve a turn's tokens; a repeated request reserves nothing more.

        Raises BudgetExceededError.
        """
        if request.budget == NO_BUDGET:
            return ()
        program = self._load(request.program) or ProgramRecord(request.budget)
        if request.request not in program.reservations:
            available = max(program.budget, request.budget) - program.committed_tokens
            if request.max_tokens > available:
                raise BudgetExceededError(request.program, request.max_tokens, available)
            program.reservations[request.request] = request.max_tokens
        program.budget = max(program.budget, request.budget)
        return (self._store(request.program, program, request.retention_s),)

    def holds_reservation(self, request: AdmitTurn) -> bool:
        """Return whether tokens are reserved for a turn: its request was admitted before and is repeated."""
        program = None if request.budget == NO_BUDGET else self._load(request.program)
        return program is not None and request.request in program.reservations

    def settle(self, request: FinishTurn) -> tuple[Put, ...]:
        """Return the puts that replace a turn's reservation by the tokens it used; none if it has no reservation."""
        program = self._load(request.program)
        if program is None or request.request not in program.reservations:
            return ()
        del program.reservations[request.request]
        program.spent_tokens += request.tokens
        return (self._store(request.program, program, request.retention_s),)

    def _load(self, name: str) -> ProgramRecord | None:
        raw = self._values.get(PROGRAM_PREFIX + name)
        return None if raw is None else msgspec.json.decode(raw, type=ProgramRecord)

    def _store(self, name: str, program: ProgramRecord, retention_s: float) -> Put:
        program.retention_s = max(MIN_PROGRAM_RETENTION_S, retention_s)
        self._retention.retain(PROGRAM_PREFIX + name, program.retention_s)
        return put_value(PROGRAM_PREFIX + name, program)
