"""Budgets of programs and turns of conversations, as values of the replicated store.

A turn's tokens are reserved at their most before it runs, and settled with what was handed out. A reservation whose
relay has died stays at its most, so a budget never gives out twice.
"""

from __future__ import annotations

import msgspec

from lynxscale.coordination import messages as m
from lynxscale.coordination.ports import Clock

PROGRAM_PREFIX, TURN_PREFIX = "program/", "turn/"
KEEP_PROGRAM_S = 600.0  # a program that was stopped may come again
KEEP_SLACK_S = 30.0  # beyond retention, as wall clocks differ and may be stepped
MOST_CHAIN = 10_000  # turns; a longer chain would be a loop of records
NO_BUDGET = -1


class Program(msgspec.Struct):
    """What a program has used, and the most that its open turns may use yet."""

    budget: int
    spent: int = 0
    open: dict[str, int] = {}
    expires: float = 0.0

    @property
    def committed(self) -> int:
        """Tokens that are gone or promised."""
        return self.spent + sum(self.open.values())


class Turn(msgspec.Struct):
    """A retained turn: its input and output, and the turn it went on from."""

    content: bytes
    previous: str = ""
    expires: float = 0.0


class Kept(msgspec.Struct):
    """Of a program or a turn: until when it is kept, by Unix time."""

    expires: float = 0.0


class Ledger:
    """Decides on a primary's state. ``values`` is the store's memory; puts are returned, not made."""

    def __init__(self, values: dict[str, msgspec.Raw], clock: Clock) -> None:
        self._values = values
        self._clock = clock
        self._expires: dict[str, float] = {}

    def begin(self) -> None:
        """Another primary wrote before: look at all there is."""
        self._expires = {}
        for key, raw in self._values.items():
            if key.startswith((PROGRAM_PREFIX, TURN_PREFIX)):
                self._expires[key] = msgspec.json.decode(raw, type=Kept).expires

    def admit(self, request: m.AdmitTurn) -> tuple[m.TurnAdmitted | m.TurnRefused, tuple[m.Put, ...]]:
        """The answer to a turn that wants to run, and what has to be durable before the answer goes."""
        history = b""
        if request.previous:
            found = self._history(request.previous)
            if found is None:
                return m.TurnRefused(404), ()
            history = found
        if request.budget == NO_BUDGET:
            return m.TurnAdmitted(history), ()
        program = self._program(request.program) or Program(request.budget)
        if request.request not in program.open:
            if program.committed + request.most > max(program.budget, request.budget):
                return m.TurnRefused(402), ()
            program.open[request.request] = request.most
        program.budget = max(program.budget, request.budget)
        return m.TurnAdmitted(history), (self._put_program(request.program, program, request.retention_s),)

    def finish(self, request: m.FinishTurn) -> tuple[m.Put, ...]:
        """What has to be durable before a turn has ended."""
        puts = []
        program = self._program(request.program)
        if program is not None and request.request in program.open:
            del program.open[request.request]
            program.spent += request.tokens
            puts.append(self._put_program(request.program, program, request.retention_s))
        if request.content is not None:
            turn = Turn(request.content, request.previous, self._expiry(request.retention_s))
            self._expires[TURN_PREFIX + request.request] = turn.expires
            puts.append(m.put_value(TURN_PREFIX + request.request, turn))
        return tuple(puts)

    def expired(self) -> tuple[m.Put, ...]:
        """Puts that remove what is kept no longer."""
        now = self._clock.wall()
        gone = [key for key, expires in self._expires.items() if expires < now]
        for key in gone:
            del self._expires[key]
        return tuple(m.put_value(key, None) for key in gone)

    def _history(self, last: str) -> bytes | None:
        """Inputs and outputs of a chain of turns from its oldest on; None where a turn is not there."""
        contents = []
        name = last
        while name:
            raw = self._values.get(TURN_PREFIX + name)
            if raw is None or len(contents) > MOST_CHAIN:
                return None
            turn = msgspec.json.decode(raw, type=Turn)
            contents.append(turn.content)
            name = turn.previous
        return b"".join(reversed(contents))

    def _program(self, name: str) -> Program | None:
        raw = self._values.get(PROGRAM_PREFIX + name)
        return None if raw is None else msgspec.json.decode(raw, type=Program)

    def _put_program(self, name: str, program: Program, retention_s: float) -> m.Put:
        program.expires = self._clock.wall() + max(KEEP_PROGRAM_S, retention_s)
        self._expires[PROGRAM_PREFIX + name] = program.expires
        return m.put_value(PROGRAM_PREFIX + name, program)

    def _expiry(self, retention_s: float) -> float:
        return self._clock.wall() + retention_s + KEEP_SLACK_S
