"""Counters of what the relay accepts, sends and answers, by reason."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Mapping


class Counters:
    """Groups of counts: a group is what was done, a reason is how it came out."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str]] = Counter()
        self._sources: list[Callable[[], Mapping[str, Mapping[str, int]]]] = []

    def attach(self, source: Callable[[], Mapping[str, Mapping[str, int]]]) -> None:
        """Add a source with counts of its own, which is called whenever the table is read."""
        self._sources.append(source)

    def add(self, group: str, reason: str, by: int = 1) -> None:
        """Count ``by`` more."""
        self._counts[group, reason] += by

    def most(self, group: str, reason: str, value: int) -> None:
        """Keep the largest value so far."""
        self._counts[group, reason] = max(self._counts[group, reason], value)

    def table(self) -> dict[str, dict[str, int]]:
        """All counts by group and reason, those of the sources included."""
        table: dict[str, dict[str, int]] = {}
        for (group, reason), number in sorted(self._counts.items()):
            table.setdefault(group, {})[reason] = number
        for source in self._sources:
            for group, row in source().items():
                table.setdefault(group, {}).update(row)
        return table
