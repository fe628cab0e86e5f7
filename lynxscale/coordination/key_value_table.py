"""In-memory table of keys and values, with an incrementally updated checksum."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import msgspec

from lynxscale.coordination.messages import Put


def entry_checksum(key: str, value: msgspec.Raw) -> int:
    """CRC-32 of one key and its value."""
    return zlib.crc32(value, zlib.crc32(key.encode()))


def entry_size(key: str, value: msgspec.Raw) -> int:
    """Approximate size in bytes: characters of the key plus bytes of the value."""
    return len(key) + len(memoryview(value))


class KeyValueTable:
    """Values by key. The ``checksum`` depends on the entries only, not on the order of the changes.

    It is the exclusive or of the checksums of all entries. ``size_bytes`` is the size of all keys and values.
    ``entries`` may be read directly but must be changed only by ``apply``.
    """

    def __init__(self) -> None:
        self.entries: dict[str, msgspec.Raw] = {}
        self.checksum = 0
        self.size_bytes = 0

    def apply(self, puts: Iterable[Put]) -> None:
        """Apply puts in order; a put of null removes its key."""
        for put in puts:
            old_value = self.entries.pop(put.key, None)
            if old_value is not None:
                self.checksum ^= entry_checksum(put.key, old_value)
                self.size_bytes -= entry_size(put.key, old_value)
            if not put.removes:
                # A decoded value is a view that keeps the whole message alive: copied, it keeps its own bytes only.
                self.entries[put.key] = put.value.copy()
                self.checksum ^= entry_checksum(put.key, put.value)
                self.size_bytes += entry_size(put.key, put.value)
