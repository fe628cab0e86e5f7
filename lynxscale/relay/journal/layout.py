"""File names, segment headers and the manifest of a journal folder. See docs/design/journal.md, "The files"."""

from __future__ import annotations

import struct
from typing import NamedTuple

from crc32c import crc32c

from lynxscale.relay.exceptions import JournalFormatError, JournalVersionError

VERSION = 1
SEGMENT_MAGIC, MANIFEST_MAGIC = b"LXS1", b"LXM1"
SEGMENT_HEADER = struct.Struct("<4sHQQI")  # magic, version, number, first sequence number, salt; a checksum follows
MANIFEST_HEADER = struct.Struct("<4sHQH")  # magic, version, generation, row count; rows and a checksum follow
MANIFEST_ROW = struct.Struct("<QQI")  # number, first sequence number, sealed size (0: active)
CHECKSUM = struct.Struct("<I")
SEGMENT_HEADER_SIZE = SEGMENT_HEADER.size + CHECKSUM.size
SEGMENT_SUFFIX = ".seg"


class ManifestRow(NamedTuple):
    """A segment as the manifest lists it."""

    number: int
    first_seq: int  # sequence number of its first record
    sealed_size: int  # bytes; 0 while the segment is active


class Manifest(NamedTuple):
    """The list of segments that make up the journal. Of two manifests the one with the higher generation is valid."""

    generation: int
    rows: tuple[ManifestRow, ...]


def segment_name(number: int) -> str:
    """The file name of a segment."""
    return f"{number:012}{SEGMENT_SUFFIX}"


def segment_number(name: str) -> int | None:
    """The number in the file name of a segment; None for any other name."""
    digits = name.removesuffix(SEGMENT_SUFFIX)
    return int(digits) if digits != name and digits.isdigit() else None


def encode_segment_header(number: int, first_seq: int, salt: int) -> bytes:
    """The first bytes of a segment. ``salt``: a random number below 2**32."""
    header = SEGMENT_HEADER.pack(SEGMENT_MAGIC, VERSION, number, first_seq, salt)
    return header + CHECKSUM.pack(crc32c(header))


def decode_segment_header(data: bytes) -> tuple[int, int, int]:
    """Return number, first sequence number and salt of a segment.

    Raises JournalFormatError, or JournalVersionError if a newer version wrote it.
    """
    if len(data) < SEGMENT_HEADER_SIZE or data[:4] != SEGMENT_MAGIC:
        raise JournalFormatError("not a journal segment")
    _magic, version, number, first_seq, salt = SEGMENT_HEADER.unpack_from(data)
    if version > VERSION:
        raise JournalVersionError(f"version {version} of the segment is newer than {VERSION}, which this relay reads")
    if CHECKSUM.unpack_from(data, SEGMENT_HEADER.size)[0] != crc32c(data[: SEGMENT_HEADER.size]):
        raise JournalFormatError("the segment's header is damaged")
    return number, first_seq, salt


def encode_manifest(manifest: Manifest) -> bytes:
    """The manifest's bytes."""
    data = MANIFEST_HEADER.pack(MANIFEST_MAGIC, VERSION, manifest.generation, len(manifest.rows))
    data += b"".join(MANIFEST_ROW.pack(*row) for row in manifest.rows)
    return data + CHECKSUM.pack(crc32c(data))


def decode_manifest(data: bytes) -> Manifest:
    """Decode the manifest at the start of ``data``; padding may follow it.

    Raises JournalFormatError, or JournalVersionError if a newer version wrote it.
    """
    if len(data) < MANIFEST_HEADER.size + CHECKSUM.size or data[:4] != MANIFEST_MAGIC:
        raise JournalFormatError("not a journal manifest")
    _magic, version, generation, count = MANIFEST_HEADER.unpack_from(data)
    if version > VERSION:
        raise JournalVersionError(f"version {version} of the manifest is newer than {VERSION}, which this relay reads")
    size = MANIFEST_HEADER.size + count * MANIFEST_ROW.size
    if len(data) < size + CHECKSUM.size or CHECKSUM.unpack_from(data, size)[0] != crc32c(data[:size]):
        raise JournalFormatError("the manifest's checksum does not match")
    rows = tuple(ManifestRow(*row) for row in MANIFEST_ROW.iter_unpack(data[MANIFEST_HEADER.size : size]))
    return Manifest(generation, rows)
