"""Values of a list of endpoints."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple, TypeVar

from lynxscale.relay.conf.lexer import Fault
from lynxscale.scheduling.events import Lifecycle

WEIGHT_MOST = 1_000_000.0  # calls a second: what no partner takes is a slip of the pen
DESTINATION_MOST = 1 << 31
SHARDS = 61  # small tables of one large one
SLICE = 64  # entries between two places at which a long work may be interrupted

T = TypeVar("T")
Slices = Generator[None, None, T]  # a long work in short parts; its result is what it returns


def finish(work: Slices[T]) -> T:
    """The result of a work, all in one go."""
    while True:
        try:
            next(work)
        except StopIteration as end:
            return end.value


class Entry(NamedTuple):
    """One endpoint of a list."""

    id: str
    address: tuple[str, int]
    destination: int
    zone: str
    kind: str
    lifecycle: Lifecycle  # READY or DRAINING; what has gone is not in a list
    weight: float  # calls a second
    since: int = 0  # Unix time in ms at which it began to serve; 0 where it is not told

    def same_place(self, other: Entry) -> bool:
        """Are they one endpoint? Another address, destination, zone or kind is another one, whatever its id."""
        return self[:5] == other[:5]


class Destination(NamedTuple):
    """What a list says of a destination besides its endpoints."""

    number: int
    rate: float | None = None  # calls a second that the partner takes
    kind: str | None = None


def line_of(id_: str, entries: dict[str, Entry], lines: list[int]) -> int:
    """Where an entry stands; 0 where it is not listed. Looked for only when something is wrong with it."""
    return next((line for known, line in zip(entries, lines, strict=False) if known == id_), 0)


class Shards:
    """A large table as many small ones.

    Guards the loop: one dictionary that grows past 43,690 keys is copied in one go, which takes some 2 ms, and several
    do so at the same entry.
    """

    __slots__ = ("_parts",)

    def __init__(self) -> None:
        self._parts: list[dict] = [{} for _ in range(SHARDS)]

    def __len__(self) -> int:
        return sum(map(len, self._parts))

    def get(self, key: object) -> Any:
        """What is kept under a key, else None."""
        return self._parts[hash(key) % SHARDS].get(key)

    def put(self, key: object, value: object) -> None:
        """Keep it."""
        self._parts[hash(key) % SHARDS][key] = value

    def drop(self, key: object) -> None:
        """Keep it no more."""
        self._parts[hash(key) % SHARDS].pop(key, None)

    def release(self) -> Slices[None]:
        """Empty it, in slices."""
        for part in self._parts:
            yield from release(part)


def release(table: dict) -> Slices[None]:
    """Empty a dictionary that nobody needs any more, in slices: 50,000 entries take 5 ms to free."""
    while table:
        for _ in range(min(len(table), 4 * SLICE)):
            table.popitem()
        yield


@dataclass(slots=True)
class Candidate:
    """A list as a source gives it, checked by itself and not yet compared with anything."""

    unit: str  # what it comes from: a file's path, or the source's name
    version: int
    digest: str  # of its bytes
    entries: dict[str, Entry]
    destinations: dict[int, Destination]  # every one that it owns
    lines: list[int] = field(default_factory=list)  # where each entry stands, in their order

    def fault(self, id_: str, wanted: str) -> Fault:
        """Something wrong with an entry, at its place."""
        return Fault(self.unit, line_of(id_, self.entries, self.lines), id_, wanted)


class Outcome(Enum):
    """What became of a version."""

    APPLIED = "applied"
    HELD = "held"  # a guard wants a confirmation
    REJECTED = "rejected"
    SAME = "same"  # it is in force already: no verdict


@dataclass(slots=True)
class Changes:
    """What a version would change: ids by what happens to them."""

    added: list[str] = field(default_factory=list)
    gone: list[str] = field(default_factory=list)
    drained: list[str] = field(default_factory=list)
    resumed: list[str] = field(default_factory=list)
    reweighted: list[str] = field(default_factory=list)
    moved: list[str] = field(default_factory=list)  # the same id, another endpoint

    def counts(self) -> dict[str, int]:
        """How many of each."""
        return {name: len(getattr(self, name)) for name in self.__dataclass_fields__}

    def __bool__(self) -> bool:
        return any(self.counts().values())


@dataclass(slots=True)
class Verdict:
    """The word on one version of one unit."""

    candidate: Candidate
    outcome: Outcome
    reasons: list[Fault] = field(default_factory=list)
    changes: Changes = field(default_factory=Changes)
    entries: dict[str, Entry] = field(default_factory=dict)  # of this unit, in force from now on
