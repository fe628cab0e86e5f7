"""Dissemination of membership updates: selects those piggybacked on the next datagram (SWIM, section 4.1). No I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from lynxscale.relay.cluster.membership_table import MemberUpdate

# Size of an update without its names: a MessagePack array of six fields, four of them integers of up to nine bytes.
MAX_UPDATE_OVERHEAD_BYTES = 36


@dataclass(slots=True)
class _QueuedUpdate:
    update: MemberUpdate
    times_sent: int = 0


def encoded_size(update: MemberUpdate) -> int:
    """Upper bound of the encoded size of an update, in bytes."""
    return MAX_UPDATE_OVERHEAD_BYTES + len(update.name.encode()) + len(update.by.encode())


class UpdateQueue:
    """Latest update of each node that is still to be sent. Each is sent ``multiplier`` * log2(nodes + 1) times."""

    def __init__(self, multiplier: int) -> None:
        self._multiplier = multiplier
        self._queue: dict[str, _QueuedUpdate] = {}

    def put(self, update: MemberUpdate) -> None:
        """Queue an update; it replaces an older one of the same node."""
        self._queue[update.name] = _QueuedUpdate(update)

    def discard(self, name: str) -> None:
        """Drop the queued update of that node."""
        self._queue.pop(name, None)

    def has_unsent(self) -> bool:
        """Return whether some update has not been sent yet."""
        return any(not queued.times_sent for queued in self._queue.values())

    def take(self, required: Iterable[MemberUpdate], capacity: int, nodes: int) -> tuple[MemberUpdate, ...]:
        """Updates for a datagram: always ``required``, then the least often sent that fit in ``capacity`` bytes."""
        taken = {update.name: update for update in required}
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
