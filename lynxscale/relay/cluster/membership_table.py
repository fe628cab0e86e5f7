"""What one node believes of the others, and the one rule by which rumours are merged. No I/O, no clock.

A rumour is a word about a node: who it is (name, life, boot), how often it has spoken for itself in that life
(``word``), and its state. Rumours of one node stand in one total order, and merging keeps the greatest: so the result
is the same in whatever order, and however often, they come (a join-semilattice). A node refutes what is said of it by
a higher word of its own, as in SWIM (Das, Gupta, Motivala 2002), section 4.2; here it also outlives 'failed', since
sight has no say over duties.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Annotated, NamedTuple

from msgspec import Meta

# As they stand in frames and files, where msgspec holds them to it.
NAME_MOST = 63  # letters
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Name = Annotated[str, Meta(min_length=1, max_length=NAME_MOST)]
NoName = Annotated[str, Meta(max_length=NAME_MOST)]


class State(IntEnum):
    """In the order in which one goes before the other at the same life and word."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class Identity(NamedTuple):
    """One process: ``life`` is higher each time the node starts, ``boot`` drawn anew by each process."""

    name: Name
    generation: Number
    boot: Number


class MemberUpdate(NamedTuple):
    """A word about a node; ``by`` tells who suspects it, and is no part of the order."""

    name: Name
    generation: Number
    boot: Number
    incarnation: Number
    state: State
    by: NoName = ""

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        return self.generation, self.boot, self.incarnation, self.state

    @property
    def identity(self) -> Identity:
        return Identity(self.name, self.generation, self.boot)


def newer_of(one: MemberUpdate | None, other: MemberUpdate | None) -> MemberUpdate | None:
    """The merge of two rumours of one node; None is a node that nobody has heard of."""
    if one is None or other is None:
        return one or other
    return one if one.precedence >= other.precedence else other


class StateChange(NamedTuple):
    """A node is believed to be something else than before; ``before`` is None at its first rumour."""

    now: MemberUpdate
    before: MemberUpdate | None

    @property
    def reportable(self) -> bool:
        """Would an operator want to know? A higher word alone changes nothing."""
        before = self.before
        return before is None or (self.now.state, self.now.generation, self.now.boot) != (
            before.state,
            before.generation,
            before.boot,
        )


@dataclass(slots=True)
class MemberRecord:
    """``since``: µs, when this state began, for a suspicion with its word; ``doubters``: who suspects this word."""

    update: MemberUpdate
    since: int
    suspected_by: set[str] = field(default_factory=set)


class MembershipTable:
    """The nodes' rumours, as one node has them. ``names``: those of its configuration; others are not taken."""

    def __init__(self, names: Iterable[str]) -> None:
        self.names = frozenset(names)
        self._records: dict[str, MemberRecord] = {}

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._records.values())

    def get(self, name: str) -> MemberRecord | None:
        return self._records.get(name)

    def state(self, name: str) -> State | None:
        record = self._records.get(name)
        return record.update.state if record is not None else None

    def rename(self, names: Iterable[str]) -> list[str]:
        """Another configuration; the names that go."""
        self.names = frozenset(names)
        removed = sorted(set(self._records) - self.names)
        for name in removed:
            del self._records[name]
        return removed

    def merge(self, update: MemberUpdate, now: int) -> StateChange | None:
        """Take a rumour in; what it changed. One that adds a doubter alone changes nothing that is told."""
        if update.name not in self.names:
            return None
        record = self._records.get(update.name)
        if record is None:
            self._records[update.name] = record = MemberRecord(update, now)
            self._add_suspecter(record, update)
            return StateChange(update, None)
        before = record.update
        if update.precedence <= before.precedence:
            if update.precedence == before.precedence:
                self._add_suspecter(record, update)
            return None
        record.update = update
        if update.state is State.SUSPECT or update.state != before.state or update.identity != before.identity:
            record.since = now
            record.suspected_by.clear()
        self._add_suspecter(record, update)
        return StateChange(update, before)

    @staticmethod
    def _add_suspecter(record: MemberRecord, update: MemberUpdate) -> None:
        if update.state is State.SUSPECT and update.by:
            record.suspected_by.add(update.by)
