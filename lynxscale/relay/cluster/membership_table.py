"""One node's table of the states of all nodes, and the rule by which updates are merged. No I/O, no clock.

An update holds a node's identity (name, generation, boot), its incarnation (SWIM: a number that only the node itself
raises, to refute a suspicion; zero at the start of a generation) and its state. Updates of one node are totally ordered
and merging keeps the greatest, so the result does not depend on the order or number of deliveries (a join-semilattice).
A node refutes a suspicion by a higher incarnation, as in SWIM (Das, Gupta, Motivala 2002), section 4.2. Here it can
also refute 'failed', since this table alone never allows a node to act.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from enum import IntEnum
from typing import Annotated, NamedTuple

from msgspec import Meta

# Field types of frames and files; msgspec validates the ranges when decoding.
MAX_NAME_LENGTH = 63  # characters
Number = Annotated[int, Meta(ge=0, le=(1 << 63) - 1)]
Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_LENGTH)]
OptionalName = Annotated[str, Meta(max_length=MAX_NAME_LENGTH)]


class State(IntEnum):
    """State of a node. At the same generation and incarnation, the higher value takes precedence."""

    ALIVE = 0
    SUSPECT = 1
    FAILED = 2
    LEFT = 3


class Identity(NamedTuple):
    """One process of a node: ``generation`` rises with each start of the node, ``boot`` is random for each process."""

    name: Name
    generation: Number
    boot: Number


class MemberUpdate(NamedTuple):
    """Incarnation and state of one process of a node. ``by``: the node that suspects it; not part of the order."""

    name: Name
    generation: Number
    boot: Number
    incarnation: Number
    state: State
    by: OptionalName = ""

    @property
    def precedence(self) -> tuple[int, int, int, int]:
        """Key by which updates of one node are ordered."""
        return self.generation, self.boot, self.incarnation, self.state

    @property
    def identity(self) -> Identity:
        """The process that the update is about."""
        return Identity(self.name, self.generation, self.boot)


def newer_of(one: MemberUpdate | None, other: MemberUpdate | None) -> MemberUpdate | None:
    """Merge two updates of one node, each of which may be None."""
    if one is None or other is None:
        return one or other
    return one if one.precedence >= other.precedence else other


class StateChange(NamedTuple):
    """A change of a node's record; ``before`` is None at the node's first update."""

    now: MemberUpdate
    before: MemberUpdate | None

    @property
    def reportable(self) -> bool:
        """Return whether the change is to be logged. A higher incarnation alone is not."""
        before = self.before
        return before is None or (self.now.state, self.now.generation, self.now.boot) != (
            before.state,
            before.generation,
            before.boot,
        )


@dataclass(slots=True)
class MemberRecord:
    """Latest update of a node. ``since``: time (µs) at which this state began; ``suspected_by``: nodes that suspect
    this incarnation."""

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
        """The node's record; None if no update is known."""
        return self._records.get(name)

    def state(self, name: str) -> State | None:
        """The node's state; None if no update is known."""
        record = self._records.get(name)
        return record.update.state if record is not None else None

    def reconfigure(self, names: Iterable[str]) -> list[str]:
        """Set the configured names; return those whose records were dropped."""
        self.names = frozenset(names)
        removed = sorted(set(self._records) - self.names)
        for name in removed:
            del self._records[name]
        return removed

    def merge(self, update: MemberUpdate, now: int) -> StateChange | None:
        """Merge an update. Return the change, or None if at most the set of suspecting nodes has changed."""
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
