"""Checksums of the state at recent positions; the scrub compares them between replicas while writes continue."""

from __future__ import annotations

from lynxscale.coordination.messages import Position

MAX_DIGESTS = 1024


class DigestHistory:
    """The checksum of the state at each of the last ``MAX_DIGESTS`` positions."""

    def __init__(self) -> None:
        self._checksums: dict[Position, int] = {}

    def record(self, position: Position, checksum: int) -> None:
        """Store the checksum of the state at a position; the oldest one is dropped beyond ``MAX_DIGESTS``."""
        self._checksums[position] = checksum
        if len(self._checksums) > MAX_DIGESTS:
            del self._checksums[next(iter(self._checksums))]

    def at(self, position: Position) -> int | None:
        """The checksum at a position, None if it is unknown or was dropped."""
        return self._checksums.get(position)

    def clear(self) -> None:
        """Remove all checksums: the state has been replaced by another member's."""
        self._checksums.clear()
