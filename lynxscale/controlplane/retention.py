"""Retention of stored records, measured on the primary's monotonic clock and never by wall-clock time.

The elapsed time is not stored, so each new primary restarts the retention of all records. A turn is retained for at
least as long as any turn that continues from it.
"""

from __future__ import annotations

from collections import Counter

import msgspec

from lynxscale.coordination.ports import Clock


class RetentionRecord(msgspec.Struct):
    """The fields of a stored program or turn that retention needs: its duration in seconds, and the previous turn.

    The stored names are those of ``ProgramRecord`` and ``TurnRecord``.
    """

    retention_s: float = msgspec.field(default=0.0, name="keep_s")
    previous: str = ""


class RetentionTracker:
    """Tracks when keys of the store expire. A key never expires before its children."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._expires_at: dict[str, float] = {}
        self._parents: dict[str, str] = {}
        self._child_counts: Counter[str] = Counter()

    def clear(self) -> None:
        """Stop tracking all keys."""
        self._expires_at.clear()
        self._parents.clear()
        self._child_counts.clear()

    def retain(self, key: str, retention_s: float, parent: str = "") -> None:
        """Retain a key for ``retention_s`` seconds from now, and its parent for at least as long."""
        self._expires_at[key] = self._clock.now() + retention_s
        if parent != self._parents.get(key, ""):
            self._remove_parent(key)
            if parent:
                self._parents[key] = parent
                self._child_counts[parent] += 1

    def hold(self, key: str, duration_s: float) -> None:
        """Retain a tracked key for at least ``duration_s`` seconds from now."""
        if key in self._expires_at:
            self._expires_at[key] = max(self._expires_at[key], self._clock.now() + duration_s)

    def has_children(self, key: str) -> bool:
        """Whether any tracked key has this one as its parent."""
        return self._child_counts[key] > 0

    def pop_expired(self) -> list[str]:
        """Return the expired keys, children before their parents, and stop tracking them."""
        now = self._clock.now()
        candidates = [key for key, expires_at in self._expires_at.items() if expires_at < now]
        expired: list[str] = []
        while candidates:
            leaves = [key for key in candidates if not self._child_counts[key]]
            if not leaves:
                break
            for key in leaves:
                self._untrack(key)
            expired += leaves
            candidates = [key for key in candidates if key in self._expires_at]
        return expired

    def _untrack(self, key: str) -> None:
        del self._expires_at[key]
        self._child_counts.pop(key, None)
        self._remove_parent(key)

    def _remove_parent(self, key: str) -> None:
        parent = self._parents.pop(key, "")
        if parent:
            self._child_counts[parent] -= 1
