"""Files that end with a checksum, and small values that are stored in two such files."""

from __future__ import annotations

import zlib

from lynxscale.coordination.exceptions import StorageCorruptError
from lynxscale.coordination.ports import Files

CHECKSUM_BYTES = 8
SECOND_FILE_SUFFIX = ".second"


def append_checksum(content: bytes) -> bytes:
    """Return the content followed by its checksum."""
    return content + encode_checksum(zlib.crc32(content))


def encode_checksum(checksum: int) -> bytes:
    """Encode a CRC-32 as it stands at the end of a file: eight lower-case hexadecimal digits."""
    return b"%08x" % checksum


def strip_checksum(name: str, stored: bytes) -> bytes:
    """Verify and remove the checksum at the end of a file. Raises StorageCorruptError."""
    content, checksum = stored[:-CHECKSUM_BYTES], stored[-CHECKSUM_BYTES:]
    if checksum != encode_checksum(zlib.crc32(content)):
        raise StorageCorruptError(name)
    return content


class ChecksummedFilePair:
    """A small value stored in two checksummed files, so that one damaged or missing file loses nothing."""

    def __init__(self, files: Files, name: str) -> None:
        self._files = files
        self._names = (name, name + SECOND_FILE_SUFFIX)

    def load(self) -> bytes | None:
        """The value saved last, None if both files are damaged or missing. An intact first file takes precedence."""
        first, second = map(self._read, self._names)
        return second if first is None else first

    @property
    def consistent(self) -> bool:
        """Do both files hold the same value?"""
        first, second = map(self._read, self._names)
        return first is not None and first == second

    def save(self, content: bytes) -> None:
        """Write the value durably to both files. If OSError is raised, either file may already hold it."""
        self._files.write_all(dict.fromkeys(self._names, append_checksum(content)))

    def _read(self, name: str) -> bytes | None:
        stored = self._files.read(name)
        if stored is None:
            return None
        try:
            return strip_checksum(name, stored)
        except StorageCorruptError:
            return None
