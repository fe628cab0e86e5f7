"""Keys and values in memory, with a checksum that each change updates incrementally."""

from __future__ import annotations

import zlib
from collections.abc import Iterable

import msgspec

from lynxscale.coordination.messages import Put


def entry_checksum(key: str, value: msgspec.Raw) -> int:
    """CRC-32 of one key with its value."""
    return zlib.crc32(bytes(value), zlib.crc32(key.encode()))


class KeyValueTable:
    """Values by key. Tables with equal entries have the same ``checksum``, whatever the order of the changes.

    The checksum is the exclusive or of the checksums of all entries. ``entries`` may be read anywhere and must be
    changed by ``apply`` alone.
    """

    def __init__(self) -> None:
        self.entries: dict[str, msgspec.Raw] = {}
        self.checksum = 0

    def apply(self, puts: Iterable[Put]) -> None:
        """Change the entries."""
        for put in puts:
            old_value = self.entries.pop(put.key, None)
            if old_value is not None:
                self.checksum ^= entry_checksum(put.key, old_value)
            if not put.removes:
                self.entries[put.key] = put.value
                self.checksum ^= entry_checksum(put.key, put.value)
