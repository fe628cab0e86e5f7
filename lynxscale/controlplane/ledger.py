"""Budgets of programs and turns of conversations, as values of the replicated store.

A turn's tokens are reserved at their most before it runs, and settled with what was handed out. A reservation whose
relay has died stays at its most, so a budget never gives out twice.
"""

from __future__ import annotations

import msgspec

from lynxscale.controlplane.retention import Retention
from lynxscale.coordination.messages import AdmitTurn, FinishTurn, Put, TurnAdmitted, TurnRejected, put_value
from lynxscale.coordination.ports import Clock

PROGRAM_PREFIX, TURN_PREFIX = "program/", "turn/"
KEEP_PROGRAM_S = 600.0  # a program that was stopped may come again
KEEP_SLACK_S = 30.0  # beyond retention, which is counted from the end of the answer
MOST_CHAIN = 10_000  # turns; a longer chain would be a loop of records
NO_BUDGET = -1


class Program(msgspec.Struct):
    """What a program has used, and the most that its open turns may use yet."""

    budget: int
    spent: int = 0
    open: dict[str, int] = {}
    keep_s: float = KEEP_PROGRAM_S

    @property
    def committed(self) -> int:
        """Tokens that are gone or promised."""
        return self.spent + sum(self.open.values())


class Turn(msgspec.Struct):
    """A retained turn: its input and output, and the turn it went on from."""

    content: bytes
    previous: str = ""
    keep_s: float = 0.0


class Kept(msgspec.Struct):
    """Of a program or a turn: how long it is kept, and what it went on from."""

    keep_s: float = 0.0
    previous: str = ""


class Ledger:
    """Decides on a primary's state. ``values`` is the store's memory; puts are returned, not made."""

    def __init__(self, values: dict[str, msgspec.Raw], clock: Clock) -> None:
        self._values = values
        self._clock = clock
        self._retention = Retention(clock)

    def begin(self) -> None:
        """Another primary wrote before: look at all there is."""
        self._retention = Retention(self._clock)
        for key, raw in self._values.items():
            if key.startswith((PROGRAM_PREFIX, TURN_PREFIX)):
                kept = msgspec.json.decode(raw, type=Kept)
                self._retention.keep(key, kept.keep_s, turn_key(kept.previous))

    def admit(self, request: AdmitTurn) -> tuple[TurnAdmitted | TurnRejected, tuple[Put, ...]]:
        """The answer to a turn that wants to run, and what has to be durable before the answer goes."""
        admitted = self._history(request.previous, request.cached)
        if admitted is None:
            return TurnRejected(404), ()
        if request.budget == NO_BUDGET:
            return admitted, ()
        program = self._program(request.program) or Program(request.budget)
        if request.request not in program.open:
            if program.committed + request.max_tokens > max(program.budget, request.budget):
                return TurnRejected(402), ()
            program.open[request.request] = request.max_tokens
        program.budget = max(program.budget, request.budget)
        return admitted, (self._put_program(request.program, program, request.retention_s),)

    def finish(self, request: FinishTurn) -> tuple[Put, ...]:
        """What has to be durable before a turn has ended."""
        puts = []
        program = self._program(request.program)
        if program is not None and request.request in program.open:
            del program.open[request.request]
            program.spent += request.tokens
            puts.append(self._put_program(request.program, program, request.retention_s))
        if request.content is not None:
            turn = Turn(request.content, request.previous, request.retention_s + KEEP_SLACK_S)
            key = turn_key(request.request)
            self._retention.keep(key, turn.keep_s, turn_key(request.previous))
            puts.append(put_value(key, turn))
        return tuple(puts)

    def expired(self) -> tuple[Put, ...]:
        """Puts that remove what is kept no longer."""
        return tuple(put_value(key, None) for key in self._retention.take_expired())

    def _history(self, last: str, cached: str) -> TurnAdmitted | None:
        """Inputs and outputs of a chain of turns from its oldest on, or from behind the one that the relay has cached.

        None where a turn is not there. A turn is kept as long as any that goes on from it, so behind one that is
        there nothing is missing.
        """
        contents = []
        name = last
        while name and name != cached:
            raw = self._values.get(turn_key(name))
            if raw is None or len(contents) > MOST_CHAIN:
                return None
            turn = msgspec.json.decode(raw, type=Turn)
            contents.append(turn.content)
            name = turn.previous
        if name and turn_key(name) not in self._values:
            return None
        return TurnAdmitted(b"".join(reversed(contents)), name)

    def _program(self, name: str) -> Program | None:
        raw = self._values.get(PROGRAM_PREFIX + name)
        return None if raw is None else msgspec.json.decode(raw, type=Program)

    def _put_program(self, name: str, program: Program, retention_s: float) -> Put:
        program.keep_s = max(KEEP_PROGRAM_S, retention_s)
        self._retention.keep(PROGRAM_PREFIX + name, program.keep_s)
        return put_value(PROGRAM_PREFIX + name, program)


def turn_key(request: str) -> str:
    """The key of a retained turn; empty for none."""
    return TURN_PREFIX + request if request else ""
