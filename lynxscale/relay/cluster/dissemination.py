"""Dissemination of membership updates: which of them travel with the next datagram (SWIM, section 4.1). No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from lynxscale.relay.cluster.membership_table import MemberUpdate

# A MessagePack array of six fields with four integers of up to nine bytes, in bytes; names come on top.
UPDATE_OVERHEAD = 36


@dataclass(slots=True)
class _QueuedUpdate:
    update: MemberUpdate
    times_sent: int = 0


def encoded_size(update: MemberUpdate) -> int:
    """Upper bound (bytes) of an update in a frame."""
    return UPDATE_OVERHEAD + len(update.name.encode()) + len(update.by.encode())


class UpdateQueue:
    """Updates still to be spread, the latest of each node. Each is sent ``multiplier`` * log2(nodes + 1) times."""

    def __init__(self, multiplier: int) -> None:
        self._multiplier = multiplier
        self._queue: dict[str, _QueuedUpdate] = {}

    def put(self, update: MemberUpdate) -> None:
        """Queue an update in place of an older one of the same node."""
        self._queue[update.name] = _QueuedUpdate(update)

    def discard(self, name: str) -> None:
        """Drop what is queued about that node."""
        self._queue.pop(name, None)

    def has_unsent(self) -> bool:
        """Has any update never been sent?"""
        return any(not queued.times_sent for queued in self._queue.values())

    def take(self, first: Iterable[MemberUpdate], capacity: int, nodes: int) -> tuple[MemberUpdate, ...]:
        """Updates for a datagram: ``first`` in any case, then those sent least often, within ``capacity`` bytes."""
        taken = {update.name: update for update in first}
        capacity -= sum(map(encoded_size, taken.values()))
        max_sends = self._multiplier * math.ceil(math.log2(nodes + 1))
        for name, queued in sorted(self._queue.items(), key=lambda item: item[1].times_sent):
            if name in taken:
                continue
            capacity -= encoded_size(queued.update)
            if capacity < 0:
                break
            taken[name] = queued.update
            queued.times_sent += 1
            if queued.times_sent >= max_sends:
                del self._queue[name]
        return tuple(taken.values())
