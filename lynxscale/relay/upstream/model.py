"""Data types of endpoint lists: endpoints, versions, changes and verdicts; also the type of work in slices."""

from __future__ import annotations

from collections.abc import Generator
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple, TypeVar

from lynxscale.relay.conf.lexer import Fault
from lynxscale.scheduling.events import Lifecycle

MAX_WEIGHT = 1_000_000.0  # calls per second; no peer can take more, so a higher value is a typing error
MAX_DESTINATIONS = 1 << 31
SHARD_COUNT = 61  # dictionaries per ShardedDict
ENTRIES_PER_SLICE = 64  # long work can be interrupted after this many entries

T = TypeVar("T")
SlicedWork = Generator[None, None, T]  # long work that yields between slices and returns its result


def run_to_end(work: SlicedWork[T]) -> T:
    """Run all slices at once and return the result."""
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
    weight: float  # calls per second
    since: int = 0  # Unix time in ms at which it began to serve; 0 if the list does not say

    def same_endpoint(self, other: Endpoint) -> bool:
        """Whether both are the same endpoint: id, address, destination, zone and kind are equal."""
        return self[:5] == other[:5]


class Destination(NamedTuple):
    """A destination as a list declares it, without its endpoints."""

    number: int
    rate: float | None = None  # calls per second that the peer accepts
    kind: str | None = None


def line_number_of(id_: str, entries: dict[str, Endpoint], lines: list[int]) -> int:
    """The line of an endpoint, 0 if it is not listed. The search is linear and used only to report faults."""
    return next((line for known, line in zip(entries, lines, strict=False) if known == id_), 0)


class ShardedDict:
    """A large table split into many small dictionaries.

    A single dictionary that grows past 43,690 keys is copied at once, which blocks the event loop for some 2 ms, and
    several tables of the same size do so at the same entry.
    """

    __slots__ = ("_shards",)

    def __init__(self) -> None:
        self._shards: list[dict] = [{} for _ in range(SHARD_COUNT)]

    def __len__(self) -> int:
        return sum(map(len, self._shards))

    def get(self, key: object) -> Any:
        """The value of a key, or None."""
        return self._shards[hash(key) % SHARD_COUNT].get(key)

    def put(self, key: object, value: object) -> None:
        """Set the value of a key."""
        self._shards[hash(key) % SHARD_COUNT][key] = value

    def discard(self, key: object) -> None:
        """Remove a key, if it is there."""
        self._shards[hash(key) % SHARD_COUNT].pop(key, None)

    def clear_in_slices(self) -> SlicedWork[None]:
        """Remove all keys, in slices."""
        for shard in self._shards:
            yield from clear_in_slices(shard)


def clear_in_slices(table: dict) -> SlicedWork[None]:
    """Empty a dictionary that is no longer needed, in slices, because freeing 50,000 entries at once takes 5 ms."""
    while table:
        for _ in range(min(len(table), 4 * ENTRIES_PER_SLICE)):
            table.popitem()
        yield


@dataclass(slots=True)
class CandidateList:
    """A parsed version of a list, not yet validated against the list in force or other lists."""

    unit: str  # origin of the list: a file's path or the source's name
    version: int
    digest: str  # digest of the list's bytes
    entries: dict[str, Endpoint]
    destinations: dict[int, Destination]  # the destinations that it claims
    lines: list[int] = field(default_factory=list)  # the line number of each entry, in the same order

    def fault(self, id_: str, wanted: str) -> Fault:
        """A fault of an endpoint, with its line."""
        return Fault(self.unit, line_number_of(id_, self.entries, self.lines), id_, wanted)


class ListOutcome(Enum):
    """The outcome of validating a version. The values appear in the log, in traces and in the verdict files."""

    APPLIED = "applied"
    AWAITING_APPROVAL = "held"  # a guard requires an operator's approval
    REJECTED = "rejected"
    SAME = "same"  # the version is already in force; no verdict is reported


@dataclass(slots=True)
class ListChanges:
    """The ids that a version changes, by the kind of change."""

    added: list[str] = field(default_factory=list)
    gone: list[str] = field(default_factory=list)
    drained: list[str] = field(default_factory=list)
    resumed: list[str] = field(default_factory=list)
    reweighted: list[str] = field(default_factory=list)
    moved: list[str] = field(default_factory=list)  # the id now names another endpoint

    def counts(self) -> dict[str, int]:
        """The number of ids of each kind of change."""
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
    entries: dict[str, Endpoint] = field(default_factory=dict)  # entries of this list to put in force
