"""How long records are kept: by durations that the primary counts on its steady clock, never by the time of day.

A lead begins to count anew for all there is, as nobody knows how long the lead before had counted. A turn is kept for
as long as any turn that goes on from it.
"""

from __future__ import annotations

from collections import Counter

from lynxscale.coordination.ports import Clock


class Retention:
    """When each key may go. Keys are those of the store."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until: dict[str, float] = {}
        self._leads_on_from: dict[str, str] = {}
        self._followers: Counter[str] = Counter()

    def keep(self, key: str, seconds: float, leads_on_from: str = "") -> None:
        """Keep a key for so long from now on, and the key that it leads on from for as long as this one."""
        self._until[key] = self._clock.now() + seconds
        if leads_on_from and key not in self._leads_on_from:
            self._leads_on_from[key] = leads_on_from
            self._followers[leads_on_from] += 1

    def take_expired(self) -> list[str]:
        """Keys whose time is over and that nothing leads on from; they are tracked no longer."""
        now = self._clock.now()
        over = [key for key, until in self._until.items() if until < now]
        gone = []
        while over:
            free = [key for key in over if not self._followers[key]]
            if not free:
                break
            for key in free:
                self._drop(key)
            gone += free
            over = [key for key in over if key in self._until]
        return gone

    def _drop(self, key: str) -> None:
        del self._until[key]
        self._followers.pop(key, None)
        before = self._leads_on_from.pop(key, "")
        if before:
            self._followers[before] -= 1
