"""What one node believes of the others, and the one rule by which updates are merged. No I/O, no clock.

An update says of a node: its identity (name, generation, boot), its incarnation (SWIM: a number that the node itself
raises to refute a suspicion; zero at the start of a generation), and its state. Updates of one node are totally ordered
and merging keeps the greatest, so the result does not depend on the order or number of deliveries (a join-semilattice).
A node refutes a suspicion by a higher incarnation, as in SWIM (Das, Gupta, Motivala 2002), section 4.2; here it also
refutes 'failed', since this table alone gives nobody the right to act.
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
    """In order of precedence at the same generation and incarnation."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class Identity(NamedTuple):
    """One process: ``generation`` rises each time the node starts, ``boot`` is drawn at random by each process."""

    name: Name
    generation: Number
    boot: Number


class MemberUpdate(NamedTuple):
    """What is said of a node; ``by``: the node that suspects it, not part of the order."""

    name: Name
    generation: Number
    boot: Number
    incarnation: Number
    state: State
    by: NoName = ""

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """What updates of one node are ordered by."""
        return self.generation, self.boot, self.incarnation, self.state

    @property
    def identity(self) -> Identity:
        """The process that the update is about."""
        return Identity(self.name, self.generation, self.boot)


def newer_of(one: MemberUpdate | None, other: MemberUpdate | None) -> MemberUpdate | None:
    """The merge of two updates of one node; None: no update is known."""
    if one is None or other is None:
        return one or other
    return one if one.precedence >= other.precedence else other


class StateChange(NamedTuple):
    """A node's record has changed; ``before`` is None at its first update."""

    now: MemberUpdate
    before: MemberUpdate | None

    @property
    def reportable(self) -> bool:
        """Is it worth a log line? A higher incarnation alone is not."""
        before = self.before
        return before is None or (self.now.state, self.now.generation, self.now.boot) != (
            before.state,
            before.generation,
            before.boot,
        )


@dataclass(slots=True)
class MemberRecord:
    """``since``: µs, when this state began; ``suspected_by``: nodes that suspect this incarnation."""

    update: MemberUpdate
    since: int
    suspected_by: set[str] = field(default_factory=set)


class MembershipTable:
    """The latest update of each node. ``names``: the configured nodes; updates of others are ignored."""

    def __init__(self, names: Iterable[str]) -> None:
        self.names = frozenset(names)
        self._records: dict[str, MemberRecord] = {}

    def __iter__(self) -> Iterator[MemberRecord]:
        return iter(self._records.values())

    def get(self, name: str) -> MemberRecord | None:
        """The node's record; None where no update is known."""
        return self._records.get(name)

    def state(self, name: str) -> State | None:
        """The node's state; None where no update is known."""
        record = self._records.get(name)
        return record.update.state if record is not None else None

    def reconfigure(self, names: Iterable[str]) -> list[str]:
        """Set the configured names; returns those that were dropped."""
        self.names = frozenset(names)
        removed = sorted(set(self._records) - self.names)
        for name in removed:
            del self._records[name]
        return removed

    def merge(self, update: MemberUpdate, now: int) -> StateChange | None:
        """Merge an update and return what it changed; None also where it only added a suspecting node."""
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
