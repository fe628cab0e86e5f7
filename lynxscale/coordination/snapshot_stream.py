"""Splits the state in memory into the chunks of a snapshot, in key order."""

from __future__ import annotations

from bisect import bisect_right
from dataclasses import dataclass

from lynxscale.coordination.messages import Put
from lynxscale.coordination.store import Store

MAX_CHUNK_BYTES = 64_000  # size of keys and values; the last entry may exceed it
END_KEY = "\U0010ffff"  # sorts after all keys: the ``last_key`` of the final chunk


@dataclass(frozen=True, slots=True)
class KeyRange:
    """The entries with keys after ``after_key`` up to ``last_key``. ``final``: no chunk follows."""

    after_key: str
    last_key: str
    puts: tuple[Put, ...]
    final: bool


class SnapshotStream:
    """A cursor over the keys of a store.

    The keys are listed at ``begin`` or ``resume``, the values are read when each chunk is made. Batches that are made
    between two chunks have to be sent between them, so that all chunks together form the state at one position.
    """

    def __init__(self, store: Store) -> None:
        self.last_key = ""  # last key of the chunks sent so far, empty before the first
        self.finished = False
        self._store = store
        self._keys: list[str] = []
        self._cursor = 0

    @property
    def begun(self) -> bool:
        """Whether a chunk was sent."""
        return bool(self.last_key)

    def reset(self) -> None:
        """Start again: the next chunk is the first; ``begin`` must be called before it."""
        self.last_key = ""
        self.finished = False

    def begin(self) -> None:
        """List the current keys. The first chunk must be sent before any further batch."""
        self._keys = sorted(self._store.values)
        self._cursor = 0

    def resume(self, last_key: str) -> None:
        """Continue after ``last_key``, up to which the replica has received an earlier stream."""
        self._keys = sorted(self._store.values)
        self._cursor = bisect_right(self._keys, last_key)
        self.last_key = last_key
        self.finished = False

    def next_chunk(self, max_bytes: int) -> KeyRange:
        """Return the next chunk; its last entry may exceed ``max_bytes``."""
        puts = self._take(min(MAX_CHUNK_BYTES, max_bytes))
        self.finished = self._cursor >= len(self._keys)
        after_key, self.last_key = self.last_key, END_KEY if self.finished else self._keys[self._cursor - 1]
        return KeyRange(after_key, self.last_key, puts, self.finished)

    def _take(self, max_bytes: int) -> tuple[Put, ...]:
        puts: list[Put] = []
        size = 0
        while self._cursor < len(self._keys) and size < max_bytes:
            key = self._keys[self._cursor]
            self._cursor += 1
            value = self._store.values.get(key)
            if value is not None:  # otherwise removed since the keys were listed
                puts.append(Put(key, value))
                size += puts[-1].size
        return tuple(puts)
