"""The newest batches, kept in memory so that a replica that missed a few needs no complete snapshot."""

from __future__ import annotations

from collections import deque

from lynxscale.coordination.messages import Batch, Position

MAX_RECENT_BATCHES = 4096
MAX_RECENT_BYTES = 16_000_000  # total size of keys and values


class RecentBatches:
    """A suffix of the log of batches, bounded by number and bytes."""

    def __init__(self) -> None:
        self._batches: deque[Batch] = deque()
        self._bytes = 0
        self._sequence_numbers: dict[Position, int] = {}  # batch number, counted from the first, by previous position
        self._dropped = 0

    def add(self, batch: Batch) -> None:
        """Append the batch that follows the last one, and drop the oldest batches beyond the bounds."""
        self._sequence_numbers[batch.previous] = self._dropped + len(self._batches)
        self._batches.append(batch)
        self._bytes += batch.size
        while len(self._batches) > MAX_RECENT_BATCHES or self._bytes > MAX_RECENT_BYTES:
            oldest = self._batches.popleft()
            self._bytes -= oldest.size
            self._dropped += 1
            del self._sequence_numbers[oldest.previous]

    def continues_from(self, position: Position) -> bool:
        """Whether the batch that follows this position is in memory."""
        return position in self._sequence_numbers

    def after(self, position: Position) -> Batch | None:
        """The batch that follows a position, None if it is not in memory."""
        number = self._sequence_numbers.get(position)
        return None if number is None else self._batches[number - self._dropped]
