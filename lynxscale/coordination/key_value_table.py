"""Keys and values with a checksum that every change carries on."""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Iterable

import msgspec

from lynxscale.coordination.messages import Batch, Position, Put

RECENT_BATCHES, RECENT_BYTES = 4096, 16_000_000  # kept in memory, for members that missed a few


def entry_checksum(key: str, value: msgspec.Raw) -> int:
    """Checksum of one key with its value."""
    return zlib.crc32(bytes(value), zlib.crc32(key.encode()))


class Table:
    """``entries`` must be changed by ``apply`` alone. Tables with equal entries have the same ``checksum``."""

    def __init__(self) -> None:
        self.entries: dict[str, msgspec.Raw] = {}
        self.checksum = 0

    def apply(self, puts: Iterable[Put]) -> None:
        """Change the entries."""
        for put in puts:
            before = self.entries.pop(put.key, None)
            if before is not None:
                self.checksum ^= entry_checksum(put.key, before)
            if not put.removes:
                self.entries[put.key] = put.value
                self.checksum ^= entry_checksum(put.key, put.value)


class RecentBatches:
    """The newest batches in order, bounded in number and bytes."""

    def __init__(self) -> None:
        self._batches: deque[Batch] = deque()
        self._bytes = 0
        self._places: dict[Position, int] = {}  # by the position before, counted from the first that ever was kept
        self._dropped = 0

    def add(self, batch: Batch) -> None:
        """Keep one that follows the last; the oldest go where there are too many."""
        self._places[batch.previous] = self._dropped + len(self._batches)
        self._batches.append(batch)
        self._bytes += batch.size
        while len(self._batches) > RECENT_BATCHES or self._bytes > RECENT_BYTES:
            oldest = self._batches.popleft()
            self._bytes -= oldest.size
            self._dropped += 1
            del self._places[oldest.previous]

    def leads_from(self, position: Position) -> bool:
        """Is there a batch behind that position?"""
        return position in self._places

    def after(self, position: Position) -> Batch | None:
        """The batch behind a position, None where it is not kept."""
        place = self._places.get(position)
        return None if place is None else self._batches[place - self._dropped]
