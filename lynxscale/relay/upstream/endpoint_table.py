"""The list in force: the scheduler's number of every endpoint, and its id, address and weight.

A number identifies one endpoint: an id at an address for a destination. A new address under the same id, or a new id at
the same address, gets a new number, so that no health state, wait, window or connection carries over. A removed
endpoint is forgotten and gets a new number if it is listed again; otherwise the tables would grow with every endpoint
that was ever listed.
"""

from __future__ import annotations

from collections.abc import Iterable
from itertools import count

from lynxscale.relay.upstream.model import Endpoint
from lynxscale.relay.upstream.slow_start import SlowStart
from lynxscale.scheduling.events import Lifecycle, Member

DESTINATION_RETENTION_MS = 60_000  # how long a destination stays known after its last endpoint was removed


class EndpointTable:
    """The endpoints in force, by number and by id.

    ``kinds`` and ``zones`` are the names from the settings; an endpoint with any other name counts as the first one.
    """

    def __init__(self, kinds: list[str], zones: list[str], slow_start: SlowStart) -> None:
        self._kinds = {name: index for index, name in enumerate(kinds)}
        self._zones = {name: index for index, name in enumerate(zones)}
        self.slow_start = slow_start
        self._numbers: dict[str, int] = {}
        self._by_number: dict[int, Endpoint] = {}
        self._endpoint_counts: dict[int, int] = {}  # listed endpoints by destination
        self._emptied_at: dict[int, int] = {}  # time in µs at which a destination lost its last endpoint
        self._next_number = count(1).__next__

    def __len__(self) -> int:
        return len(self._by_number)

    def has_destination(self, destination: int, now: int) -> bool:
        """Whether the list has this destination, or had it until at most DESTINATION_RETENTION_MS ago."""
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
        """All endpoints by id."""
        return {entry.id: entry for entry in self._by_number.values()}

    def apply(self, changes: Iterable[tuple[str, Endpoint | None]], now: int) -> tuple[list[Member], list[int]]:
        """Apply changes, each an id and its endpoint, or None if it is removed.

        Returns the changed members for the scheduler, drains and removals first, and the numbers that were removed.
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
        """All endpoints as the scheduler's members."""
        return [self._member(number, entry, entry.lifecycle) for number, entry in self._by_number.items()]

    def advance_slow_start(self, now: int) -> list[Member]:
        """Advance slow start; returns the members whose weight has changed."""
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
