"""Counters of what the relay takes in, sends and answers, by reason."""

from __future__ import annotations

from collections import Counter


class Counters:
    """Groups of counts; a group is what was done, a reason is how it came out."""

    def __init__(self) -> None:
        self._counts: Counter[tuple[str, str]] = Counter()

    def add(self, group: str, reason: str, by: int = 1) -> None:
        self._counts[group, reason] += by

    def most(self, group: str, reason: str, value: int) -> None:
        """Keep the largest value so far."""
        self._counts[group, reason] = max(self._counts[group, reason], value)

    def table(self) -> dict[str, dict[str, int]]:
        table: dict[str, dict[str, int]] = {}
        for (group, reason), number in sorted(self._counts.items()):
            table.setdefault(group, {})[reason] = number
        return table
