"""Checksums of the state at recent positions, which the scrub compares between replicas while writes go on."""

from __future__ import annotations

from lynxscale.coordination.messages import Position

MAX_DIGESTS = 1024  # positions


class DigestHistory:
    """The checksum of the state at each of the latest positions, bounded in number."""

    def __init__(self) -> None:
        self._checksums: dict[Position, int] = {}

    def record(self, position: Position, checksum: int) -> None:
        """Keep the checksum of the state at a position; the oldest one is dropped beyond the bound."""
        self._checksums[position] = checksum
        if len(self._checksums) > MAX_DIGESTS:
            del self._checksums[next(iter(self._checksums))]

    def at(self, position: Position) -> int | None:
        """The checksum at a position, None if it is not kept."""
        return self._checksums.get(position)

    def clear(self) -> None:
        """Remove all checksums: the state has been replaced by another member's."""
        self._checksums.clear()
