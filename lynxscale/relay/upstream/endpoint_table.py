"""The list in force: every endpoint's number in the scheduler, name, address and weight.

A number stands for one endpoint, that is an id at an address for a destination. Another address under the same id, or
another id at the same address, gets a new number, so that no health, wait, window or connection carries over. What has
left is forgotten, and gets a new number should it come again: guards against tables that grow with every endpoint that
ever was.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import count

from lynxscale.relay.upstream.model import Endpoint
from lynxscale.relay.upstream.slow_start import SlowStart
from lynxscale.scheduling.events import Lifecycle, Member

DESTINATION_RETENTION_MS = 60_000  # a destination whose last endpoint left so long ago is one that no list knows


class EndpointTable:
    """``kinds`` and ``zones`` as the settings name them; what they do not name counts as the first."""

    def __init__(self, kinds: list[str], zones: list[str], slow_start: SlowStart) -> None:
        self._kinds = {name: index for index, name in enumerate(kinds)}
        self._zones = {name: index for index, name in enumerate(zones)}
        self.slow_start = slow_start
        self._numbers: dict[str, int] = {}
        self._by_number: dict[int, Endpoint] = {}
        self._endpoint_counts: dict[int, int] = {}  # destinations and how many endpoints each has
        self._emptied_at: dict[int, int] = {}  # destinations without an endpoint, and since when
        self._next_number = count(1).__next__

    def __len__(self) -> int:
        return len(self._by_number)

    def has_destination(self, destination: int, now: int) -> bool:
        """Does the list have this destination, or did it until lately?"""
        if destination in self._endpoint_counts:
            return True
        if destination in self._emptied_at and now - self._emptied_at[destination] > DESTINATION_RETENTION_MS * 1000:
            del self._emptied_at[destination]
        return destination in self._emptied_at

    def entry(self, number: int) -> Endpoint | None:
        """The endpoint of a number, while it is listed."""
        return self._by_number.get(number)

    def number(self, id_: str) -> int | None:
        """The number of an id, while it is listed."""
        return self._numbers.get(id_)

    def entries(self) -> dict[str, Endpoint]:
        """All of it, by id."""
        return {entry.id: entry for entry in self._by_number.values()}

    def apply(self, changes: Iterable[tuple[str, Endpoint | None]], now: int) -> tuple[list[Member], list[int]]:
        """Apply changes, each an id and its endpoint, None where it is removed.

        Returns the scheduler's members, drains and removals first, and the numbers that were removed.
        """
        drains_and_removals: list[Member] = []
        other_members: list[Member] = []
        removed: list[int] = []
        for id_, entry in changes:
            number = self._numbers.get(id_)
            before = self._by_number[number] if number is not None else None
            if before is not None and (entry is None or not entry.same_endpoint(before)):
                drains_and_removals.append(self._member(number, before, Lifecycle.GONE))
                self._remove(number, before, now)
                removed.append(number)
                before = None
            if entry is None or entry is before:
                continue
            if before is None:
                number = self._add(id_, entry)
            elif entry.weight != before.weight:
                self.slow_start.set_target(number, now, before.weight, entry.weight)
            self._by_number[number] = entry
            (drains_and_removals if entry.lifecycle == Lifecycle.DRAINING else other_members).append(
                self._member(number, entry, entry.lifecycle)
            )
        return drains_and_removals + other_members, removed

    def members(self) -> list[Member]:
        """All of it."""
        return [self._member(number, entry, entry.lifecycle) for number, entry in self._by_number.items()]

    def advance_slow_start(self, now: int) -> list[Member]:
        """The members whose weight has risen a step towards the list's."""
        return [
            self._member(number, entry, entry.lifecycle)
            for number, entry in ((number, self._by_number[number]) for number in self.slow_start.step(now))
        ]

    def _add(self, id_: str, entry: Endpoint) -> int:
        number = self._numbers[id_] = self._next_number()
        self._endpoint_counts[entry.destination] = self._endpoint_counts.get(entry.destination, 0) + 1
        self._emptied_at.pop(entry.destination, None)
        return number

    def _remove(self, number: int, entry: Endpoint, now: int) -> None:
        del self._numbers[entry.id], self._by_number[number]
        self.slow_start.forget(number)
        self._endpoint_counts[entry.destination] -= 1
        if not self._endpoint_counts[entry.destination]:
            del self._endpoint_counts[entry.destination]
            self._emptied_at[entry.destination] = now

    def _member(self, number: int, entry: Endpoint, lifecycle: Lifecycle) -> Member:
        return Member(
            number,
            lifecycle,
            entry.destination,
            self._zones.get(entry.zone, 0),
            self._kinds.get(entry.kind, 0),
            self.slow_start.weight(number, entry.weight),
        )
