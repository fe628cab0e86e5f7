"""A table of numbered slots: a number names one tenancy of a slot and is never given out twice."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

PLACE_BITS = 20
PLACE_MASK = (1 << PLACE_BITS) - 1


class Slots:
    """Items by number. The low bits tell the place, the high bits how often it was taken before."""

    def __init__(self) -> None:
        self._items: list[Any] = []
        self._numbers: list[int] = []
        self._free: list[int] = []
        self._used = 0

    def __len__(self) -> int:
        return self._used

    def items(self) -> Iterator[Any]:
        return (item for item in self._items if item is not None)

    def add(self, item: Any) -> int:
        if self._free:
            place = self._free.pop()
        else:
            place = len(self._items)
            self._items.append(None)
            self._numbers.append(place)
        self._items[place] = item
        self._used += 1
        return self._numbers[place]

    def get(self, number: int) -> Any:
        """The item of that number, or None once it has left."""
        place = number & PLACE_MASK
        if place < len(self._items) and self._numbers[place] == number:
            return self._items[place]
        return None

    def remove(self, number: int) -> Any:
        item = self.get(number)
        if item is not None:
            place = number & PLACE_MASK
            self._items[place] = None
            self._numbers[place] += PLACE_MASK + 1  # a late event for the old number finds nothing
            self._free.append(place)
            self._used -= 1
        return item
