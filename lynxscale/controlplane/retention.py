"""Retention of stored records: durations that the primary counts on its monotonic clock, never wall-clock times.

Each new primary restarts all durations, as elapsed time is not stored. A turn is
retained for as long as any turn that continues from it.
"""

from __future__ import annotations

from collections import Counter

import msgspec

from lynxscale.coordination.ports import Clock


class RetentionRecord(msgspec.Struct):
    """The fields that a stored program or turn has in common: its retention in seconds, and its parent turn.

    Stored names are those of ``ProgramRecord`` and ``TurnRecord``.
    """

    retention_s: float = msgspec.field(default=0.0, name="keep_s")
    previous: str = ""


class RetentionTracker:
    """Tracks when keys of the store expire. A key does not expire before its children have."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._expires_at: dict[str, float] = {}
        self._parents: dict[str, str] = {}
        self._child_counts: Counter[str] = Counter()

    def clear(self) -> None:
        """Track no keys."""
        self._expires_at.clear()
        self._parents.clear()
        self._child_counts.clear()

    def retain(self, key: str, retention_s: float, parent: str = "") -> None:
        """Retain a key for ``retention_s`` seconds from now on, and its parent for at least as long."""
        self._expires_at[key] = self._clock.now() + retention_s
        if parent and key not in self._parents:
            self._parents[key] = parent
            self._child_counts[parent] += 1

    def pop_expired(self) -> list[str]:
        """Return the expired keys without children, children before parents, and stop tracking them."""
        now = self._clock.now()
        candidates = [key for key, expires_at in self._expires_at.items() if expires_at < now]
        expired: list[str] = []
        while candidates:
            leaves = [key for key in candidates if not self._child_counts[key]]
            if not leaves:
                break
            for key in leaves:
                self._forget(key)
            expired += leaves
            candidates = [key for key in candidates if key in self._expires_at]
        return expired

    def _forget(self, key: str) -> None:
        del self._expires_at[key]
        self._child_counts.pop(key, None)
        parent = self._parents.pop(key, "")
        if parent:
            self._child_counts[parent] -= 1
