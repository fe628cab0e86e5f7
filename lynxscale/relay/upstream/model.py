"""The values of endpoint lists: endpoints, versions, changes and verdicts; and long work in slices."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple, TypeVar

from lynxscale.relay.conf.lexer import Fault
from lynxscale.scheduling.events import Lifecycle

MAX_WEIGHT = 1_000_000.0  # calls a second: what no peer can take is a typing error
MAX_DESTINATIONS = 1 << 31
SHARD_COUNT = 61  # of one large table
ENTRIES_PER_SLICE = 64  # entries between two points at which long work may be interrupted

T = TypeVar("T")
SlicedWork = Generator[None, None, T]  # long work in slices; its result is what it returns


def run_to_end(work: SlicedWork[T]) -> T:
    """Do all of it at once; its result."""
    while True:
        try:
            next(work)
        except StopIteration as end:
            return end.value


class Endpoint(NamedTuple):
    """One endpoint of a list."""

    id: str
    address: tuple[str, int]
    destination: int
    zone: str
    kind: str
    lifecycle: Lifecycle  # READY or DRAINING; a removed endpoint is not in a list
    weight: float  # calls a second
    since: int = 0  # Unix time in ms at which it began to serve; 0 where the list does not say

    def same_endpoint(self, other: Endpoint) -> bool:
        """Are they one endpoint? Another address, destination, zone or kind makes another one, whatever its id."""
        return self[:5] == other[:5]


class Destination(NamedTuple):
    """What a list says of a destination besides its endpoints."""

    number: int
    rate: float | None = None  # calls a second that the peer takes
    kind: str | None = None


def line_number_of(id_: str, entries: dict[str, Endpoint], lines: list[int]) -> int:
    """The line of an endpoint; 0 where it is not listed. Looked for only when something is wrong with it."""
    return next((line for known, line in zip(entries, lines, strict=False) if known == id_), 0)


class ShardedDict:
    """A large table as many small ones.

    Guards the loop: one dictionary that grows past 43,690 keys is copied in one go, which takes some 2 ms, and several
    do so at the same entry.
    """

    __slots__ = ("_shards",)

    def __init__(self) -> None:
        self._shards: list[dict] = [{} for _ in range(SHARD_COUNT)]

    def __len__(self) -> int:
        return sum(map(len, self._shards))

    def get(self, key: object) -> Any:
        """The value of a key, else None."""
        return self._shards[hash(key) % SHARD_COUNT].get(key)

    def put(self, key: object, value: object) -> None:
        """Set the value of a key."""
        self._shards[hash(key) % SHARD_COUNT][key] = value

    def discard(self, key: object) -> None:
        """Remove a key, if it is there."""
        self._shards[hash(key) % SHARD_COUNT].pop(key, None)

    def clear_in_slices(self) -> SlicedWork[None]:
        """Empty it, in slices."""
        for shard in self._shards:
            yield from clear_in_slices(shard)


def clear_in_slices(table: dict) -> SlicedWork[None]:
    """Empty a dictionary that is not needed any more, in slices: 50,000 entries take 5 ms to free."""
    while table:
        for _ in range(min(len(table), 4 * ENTRIES_PER_SLICE)):
            table.popitem()
        yield


@dataclass(slots=True)
class CandidateList:
    """A version of a list, valid by itself and not yet compared with anything."""

    unit: str  # what it comes from: a file's path, or the source's name
    version: int
    digest: str  # of its bytes
    entries: dict[str, Endpoint]
    destinations: dict[int, Destination]  # all that it owns
    lines: list[int] = field(default_factory=list)  # the line of each entry, in their order

    def fault(self, id_: str, wanted: str) -> Fault:
        """Something wrong with an endpoint, at its line."""
        return Fault(self.unit, line_number_of(id_, self.entries, self.lines), id_, wanted)


class ListOutcome(Enum):
    """What became of a version. The values stand in the log, in traces and in the file of verdicts."""

    APPLIED = "applied"
    AWAITING_APPROVAL = "held"  # a guard asks for an operator's approval
    REJECTED = "rejected"
    SAME = "same"  # it is in force already: no verdict


@dataclass(slots=True)
class ListChanges:
    """What a version changes: ids by what happens to them."""

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
class ListVerdict:
    """The decision on one version of one list."""

    candidate: CandidateList
    outcome: ListOutcome
    reasons: list[Fault] = field(default_factory=list)
    changes: ListChanges = field(default_factory=ListChanges)
    entries: dict[str, Endpoint] = field(default_factory=dict)  # of this list, in force from now on
