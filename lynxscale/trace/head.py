"""The head of every trace file, and the framing that both versions share."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass

from crc32c import crc32c

from lynxscale.trace.exceptions import MalformedDataError, TraceError
from lynxscale.trace.fields import get_text, get_uint, put_text, put_uint
from lynxscale.trace.frames import FRAME_MOST

MAGIC = b"\x89LXT\r\n\x1a\n"  # as PNG's: a file that went through text conversions shows it
FIXED = struct.Struct("<8sHHI")  # magic, major, minor, length of the rest; then the rest, then a crc32c of all
CRC = struct.Struct("<I")
HEAD_MOST = 1 << 16
MAJOR_MOST = 2

FRAME_MARK = b"\xa7F"
FRAME = struct.Struct("<2sII")  # mark, length of the payload, its crc32c


class NotATraceError(TraceError):
    """The file cannot be read as a trace; the text says why, for its user."""


@dataclass(frozen=True, slots=True)
class Head:
    """A file's head: format version, when it was created, and the program that wrote it."""

    major: int
    minor: int
    created: int  # Unix time, µs
    writer: str
    size: int = 0  # bytes of the head


def pack_head(head: Head) -> bytes:
    """The bytes of a head."""
    rest = bytearray()
    put_uint(rest, head.created)
    put_text(rest, head.writer)
    data = FIXED.pack(MAGIC, head.major, head.minor, len(rest)) + rest
    return data + CRC.pack(crc32c(data))


def read_head(data: bytes) -> Head:
    """The head at the start of a file.

    Raises NotATraceError where there is none, or one of a major version that this program doesn't know.
    """
    if len(data) < FIXED.size:
        raise NotATraceError(
            "it ends within its head" if MAGIC.startswith(data[:8]) and data else "it is no trace file"
        )
    magic, major, minor, size = FIXED.unpack_from(data)
    if magic != MAGIC:
        raise NotATraceError("it is no trace file")
    if major > MAJOR_MOST:
        raise NotATraceError(f"it is of version {major}; this program reads versions 1 to {MAJOR_MOST}")
    end = FIXED.size + size
    if size > HEAD_MOST or len(data) < end + CRC.size:
        raise NotATraceError("it ends within its head")
    if CRC.unpack_from(data, end)[0] != crc32c(data[:end]):
        raise NotATraceError("its head is damaged")
    try:
        created, at = get_uint(data, FIXED.size)
        writer, _at = get_text(data, at)
    except MalformedDataError as error:
        raise NotATraceError("its head is damaged") from error
    return Head(major, minor, created, writer, end + CRC.size)


def pack_frame(payload: bytes) -> bytes:
    """A payload with its frame: mark, length and checksum."""
    return FRAME.pack(FRAME_MARK, len(payload), crc32c(payload)) + payload


def whole_frame(data: bytes, at: int) -> bytes | None:
    """The payload of the frame at an offset; None where no whole one stands there."""
    if data[at : at + 2] != FRAME_MARK or at + FRAME.size > len(data):
        return None
    _mark, size, checksum = FRAME.unpack_from(data, at)
    payload = data[at + FRAME.size : at + FRAME.size + size]
    if size > FRAME_MOST or len(payload) < size or crc32c(payload) != checksum:
        return None
    return payload


def next_frame(data: bytes, at: int) -> int:
    """The offset of the next whole frame from there on; the data's length where there is none."""
    while (at := data.find(FRAME_MARK, at)) >= 0:
        if whole_frame(data, at) is not None:
            return at
        at += 1
    return len(data)


def frames_in(data: bytes, at: int = 0) -> Iterator[tuple[int, bytes | None]]:
    """Offset and payload of each frame of these bytes; with None, the offset where bytes are no frame."""
    while at < len(data):
        payload = whole_frame(data, at)
        if payload is None:
            yield at, None
            at = next_frame(data, at + 1)
            continue
        yield at, payload
        at += FRAME.size + len(payload)
