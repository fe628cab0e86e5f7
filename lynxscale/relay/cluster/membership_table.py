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
    life: Number
    boot: Number


class Rumour(NamedTuple):
    """A word about a node; ``by`` tells who suspects it, and is no part of the order."""

    name: Name
    life: Number
    boot: Number
    word: Number
    state: State
    by: NoName = ""

    @property
    def key(self) -> tuple[int, int, int, int]:
        return self.life, self.boot, self.word, self.state

    @property
    def who(self) -> Identity:
        return Identity(self.name, self.life, self.boot)


def greater(one: Rumour | None, other: Rumour | None) -> Rumour | None:
    """The merge of two rumours of one node; None is a node that nobody has heard of."""
    if one is None or other is None:
        return one or other
    return one if one.key >= other.key else other


class Change(NamedTuple):
    """A node is believed to be something else than before; ``before`` is None at its first rumour."""

    now: Rumour
    before: Rumour | None

    @property
    def shown(self) -> bool:
        """Would an operator want to know? A higher word alone changes nothing."""
        before = self.before
        return before is None or (self.now.state, self.now.life, self.now.boot) != (
            before.state,
            before.life,
            before.boot,
        )


@dataclass(slots=True)
class Known:
    """``since``: µs, when this state began, for a suspicion with its word; ``doubters``: who suspects this word."""

    rumour: Rumour
    since: int
    doubters: set[str] = field(default_factory=set)


class Sight:
    """The nodes' rumours, as one node has them. ``names``: those of its configuration; others are not taken."""

    def __init__(self, names: Iterable[str]) -> None:
        self.names = frozenset(names)
        self._known: dict[str, Known] = {}

    def __iter__(self) -> Iterator[Known]:
        return iter(self._known.values())

    def get(self, name: str) -> Known | None:
        return self._known.get(name)

    def state(self, name: str) -> State | None:
        known = self._known.get(name)
        return known.rumour.state if known is not None else None

    def rename(self, names: Iterable[str]) -> list[str]:
        """Another configuration; the names that go."""
        self.names = frozenset(names)
        gone = sorted(set(self._known) - self.names)
        for name in gone:
            del self._known[name]
        return gone

    def merge(self, rumour: Rumour, now: int) -> Change | None:
        """Take a rumour in; what it changed. One that adds a doubter alone changes nothing that is told."""
        if rumour.name not in self.names:
            return None
        known = self._known.get(rumour.name)
        if known is None:
            self._known[rumour.name] = known = Known(rumour, now)
            self._doubt(known, rumour)
            return Change(rumour, None)
        before = known.rumour
        if rumour.key <= before.key:
            if rumour.key == before.key:
                self._doubt(known, rumour)
            return None
        known.rumour = rumour
        if rumour.state is State.SUSPECT or rumour.state != before.state or rumour.who != before.who:
            known.since = now
            known.doubters.clear()
        self._doubt(known, rumour)
        return Change(rumour, before)

    @staticmethod
    def _doubt(known: Known, rumour: Rumour) -> None:
        if rumour.state is State.SUSPECT and rumour.by:
            known.doubters.add(rumour.by)
