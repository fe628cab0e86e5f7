"""A slot table with generations: each number identifies one use of a slot and is never reused."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

INDEX_BITS = 20
INDEX_MASK = (1 << INDEX_BITS) - 1


class SlotTable:
    """Items by number: the low bits are the slot's index, the high bits its generation."""

    def __init__(self) -> None:
        self._items: list[Any] = []
        self._numbers: list[int] = []
        self._free: list[int] = []
        self._used = 0

    def __len__(self) -> int:
        return self._used

    def items(self) -> Iterator[Any]:
        """All items, in the order of their slots."""
        return (item for item in self._items if item is not None)

    def add(self, item: Any) -> int:
        """Store an item and return its number."""
        if self._free:
            index = self._free.pop()
        else:
            index = len(self._items)
            self._items.append(None)
            self._numbers.append(index)
        self._items[index] = item
        self._used += 1
        return self._numbers[index]

    def get(self, number: int) -> Any:
        """The item with this number, or None if it has been removed."""
        index = number & INDEX_MASK
        if index < len(self._items) and self._numbers[index] == number:
            return self._items[index]
        return None

    def remove(self, number: int) -> Any:
        """Remove and return the item with this number; None if it has already been removed."""
        item = self.get(number)
        if item is not None:
            index = number & INDEX_MASK
            self._items[index] = None
            self._numbers[index] += INDEX_MASK + 1  # a late event for the old number finds nothing
            self._free.append(index)
            self._used -= 1
        return item
