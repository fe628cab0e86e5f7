"""Counters of what the relay accepts, sends and answers, by reason."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping


class Counters:
    """Counts by group and reason: the group names an activity, the reason its result."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str]] = Counter()
        self._sources: list[Callable[[], Mapping[str, Mapping[str, int]]]] = []

    def attach(self, source: Callable[[], Mapping[str, Mapping[str, int]]]) -> None:
        """Add a source of further counts, which is called whenever the table is read."""
        self._sources.append(source)

    def add(self, group: str, reason: str, by: int = 1) -> None:
        """Increase a count by ``by``."""
        self._counts[group, reason] += by

    def record_max(self, group: str, reason: str, value: int) -> None:
        """Raise a count to ``value`` if it is lower."""
        self._counts[group, reason] = max(self._counts[group, reason], value)

    def table(self) -> dict[str, dict[str, int]]:
        """All counts by group and reason, including those of the attached sources."""
        table: dict[str, dict[str, int]] = {}
        for (group, reason), number in sorted(self._counts.items()):
            table.setdefault(group, {})[reason] = number
        for source in self._sources:
            for group, row in source().items():
                table.setdefault(group, {}).update(row)
        return table
