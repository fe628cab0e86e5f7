"""The head of a trace file, and the framing of payloads that both versions share."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from crc32c import crc32c

from lynxscale.trace.exceptions import MalformedDataError, TraceError
from lynxscale.trace.fields import get_text, get_uint, put_text, put_uint
from lynxscale.trace.frames import MAX_PAYLOAD_BYTES

MAGIC = b"\x89LXT\r\n\x1a\n"  # like the PNG signature, it exposes text-mode conversions
# magic, major, minor, length of the variable part; then that part, then a crc32c of both
FIXED_FIELDS = struct.Struct("<8sHHI")
CRC = struct.Struct("<I")
MAX_HEAD_BYTES = 1 << 16
MAX_MAJOR_VERSION = 2

FRAME_MARK = b"\xa7F"
FRAME_HEADER = struct.Struct("<2sII")  # mark, length of the payload, crc32c of the payload


class NotATraceError(TraceError):
    """The file is not a readable trace; the message tells the user why."""


@dataclass(frozen=True, slots=True)
class Head:
    """The head of a file: format version, time of creation, and the program that wrote it."""

    major: int
    minor: int
    created: int  # Unix time, µs
    writer: str
    size: int = 0  # length of the head in bytes


def pack_head(head: Head) -> bytes:
    """Encode a head."""
    rest = bytearray()
    put_uint(rest, head.created)
    put_text(rest, head.writer)
    data = FIXED_FIELDS.pack(MAGIC, head.major, head.minor, len(rest)) + rest
    return data + CRC.pack(crc32c(data))


def read_head(data: bytes) -> Head:
    """Decode the head at the start of a file.

    Raises NotATraceError if there is none, or if this program does not support its major version.
    """
    if len(data) < FIXED_FIELDS.size:
        raise NotATraceError(
            "it ends within its head" if MAGIC.startswith(data[:8]) and data else "it is not a trace file"
        )
    magic, major, minor, size = FIXED_FIELDS.unpack_from(data)
    if magic != MAGIC:
        raise NotATraceError("it is not a trace file")
    if major > MAX_MAJOR_VERSION:
        raise NotATraceError(f"it is of version {major}; this program reads versions 1 to {MAX_MAJOR_VERSION}")
    end = FIXED_FIELDS.size + size
    if size > MAX_HEAD_BYTES or len(data) < end + CRC.size:
        raise NotATraceError("it ends within its head")
    if CRC.unpack_from(data, end)[0] != crc32c(data[:end]):
        raise NotATraceError("its head is damaged")
    try:
        created, at = get_uint(data, FIXED_FIELDS.size)
        writer, _at = get_text(data, at)
    except MalformedDataError as error:
        raise NotATraceError("its head is damaged") from error
    return Head(major, minor, created, writer, end + CRC.size)


def pack_frame(payload: bytes) -> bytes:
    """Frame a payload: put mark, length and checksum before it."""
    return FRAME_HEADER.pack(FRAME_MARK, len(payload), crc32c(payload)) + payload


def complete_frame(data: bytes, at: int) -> bytes | None:
    """Return the payload of the frame at an offset; None if there is no complete, undamaged frame."""
    if data[at : at + 2] != FRAME_MARK or at + FRAME_HEADER.size > len(data):
        return None
    _mark, size, checksum = FRAME_HEADER.unpack_from(data, at)
    payload = data[at + FRAME_HEADER.size : at + FRAME_HEADER.size + size]
    if size > MAX_PAYLOAD_BYTES or len(payload) < size or crc32c(payload) != checksum:
        return None
    return payload


def next_frame(data: bytes, at: int) -> int:
    """Return the offset of the next complete frame at or after ``at``; the length of the data if there is none."""
    while (at := data.find(FRAME_MARK, at)) >= 0:
        if complete_frame(data, at) is not None:
            return at
        at += 1
    return len(data)


def frames_in(data: bytes, at: int = 0) -> Iterator[tuple[int, bytes | None]]:
    """Yield the offset and payload of each frame; the payload is None where a range without a frame begins."""
    while at < len(data):
        payload = complete_frame(data, at)
        if payload is None:
            yield at, None
            at = next_frame(data, at + 1)
            continue
        yield at, payload
        at += FRAME_HEADER.size + len(payload)
