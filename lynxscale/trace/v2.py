"""The container of version 2: blocks of frames, and an index.

A block can be decoded on its own. An open block is a head followed by frames as in version 1; each frame is one append,
so a crash loses only the frame that was being written. A full block is sealed: its frames are compressed, and a summary
lets tools skip the block. The index at the end of the file repeats the summaries. docs/design/trace.md specifies the
bytes, and how a block is sealed in place.
"""

from __future__ import annotations

import struct
import sys
from array import array
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import BinaryIO

import zstandard
from crc32c import crc32c

from lynxscale.trace.exceptions import MalformedDataError
from lynxscale.trace.fields import get_int, get_text, get_uint, put_int, put_text, put_uint
from lynxscale.trace.frames import Encoder, Frame
from lynxscale.trace.records import Msg

BLOCK_MARK = b"\xa7LXB\r\n\x1a\n"
# mark, state, number, base time, base seq, lengths of stored data, raw data and summary, checksums of stored data,
# summary and head
BLOCK_HEAD = struct.Struct("<8sB3xIQQIIIIII")
OPEN, ZSTD, PLAIN = 0, 1, 2
INDEX_MARK = b"\xa7LXI\r\n\x1a\n"
# mark, number of blocks, length of the rows, checksum of the preceding fields and the rows
INDEX_HEAD = struct.Struct("<8sQQI")
TRAILER = struct.Struct("<QI8s")  # offset of the index, checksum of that offset, mark
TRAILER_MARK = b"LXT2END\n"

BLOCK_BYTES = 64 << 10  # before compression
MAX_RAW_BYTES = 1 << 27  # keeps a corrupted length from exhausting the memory of a reader
MAX_SUMMARY_BYTES = 1 << 20
MAX_SUMMARY_NAMES = 1024  # of destinations, classes, tenants or sources each; a larger set is stored as empty
MAX_ID_HASHES = 8192  # of 65,536 possible values; a larger set is not stored, because it excludes too few ids
INDEX_CHUNK = 64 << 10
CRC_BYTES = 4
ZSTD_LEVEL = 3  # 0.4 µs a message, and a tenth smaller than level 1


@dataclass(slots=True)
class Summary:
    """What a block holds. An empty set means that there were too many values to list, so any may be in the block."""

    frames: int = 0
    records: int = 0
    first: int = 0  # Unix times, µs
    last: int = 0
    sources: set[str] = field(default_factory=set)
    classes: set[str] = field(default_factory=set)
    tenants: set[str] = field(default_factory=set)
    dests: set[int] = field(default_factory=set)
    ids: set[int] = field(default_factory=set)  # 16-bit hashes of the message ids
    any_dest: bool = False
    any_id: bool = False
    context: bool = False  # the block has records of a type in ``records.CONTEXT``

    def add(self, frame: Frame, new_messages: list[Msg]) -> None:
        """Add a frame, and the messages that the block describes for the first time in it."""
        unix = frame.time + (frame.offset or 0)
        if not self.frames:
            self.first = self.last = unix
        elif unix > self.last:
            self.last = unix
        elif unix < self.first:
            self.first = unix
        self.frames += 1
        self.records += len(frame.records)
        self.sources.add(frame.source)
        for msg in new_messages:
            self.classes.add(msg.cls[1])
            self.tenants.add(msg.tenant[1])
            self.dests.add(msg.dest)
            self.ids.add(id_hash(msg.id))

    def pack(self, ids: bool = True) -> bytes:
        """Encode the summary; ``ids`` is False for the rows of the index, which omit the hashes of ids."""
        out = bytearray()
        put_uint(out, self.frames)
        put_uint(out, self.records)
        put_int(out, self.first)
        put_uint(out, self.last - self.first)
        for names in (self.sources, self.classes, self.tenants):
            shown = sorted(names) if len(names) <= MAX_SUMMARY_NAMES else []
            put_uint(out, len(shown))
            for name in shown:
                put_text(out, name)
        any_dest = self.any_dest or len(self.dests) > MAX_SUMMARY_NAMES
        any_id = not ids or self.any_id or len(self.ids) > MAX_ID_HASHES
        out.append(any_dest | any_id << 1 | self.context << 2)
        dests = [] if any_dest else sorted(self.dests)
        put_uint(out, len(dests))
        before = 0
        for dest in dests:
            put_uint(out, dest - before)
            before = dest
        hashes = _little_endian(array("H", [] if any_id else sorted(self.ids)))
        put_uint(out, len(hashes))
        out += hashes.tobytes()
        return bytes(out)

    def may_hold_id(self, id_: str) -> bool:
        """Whether the block may hold a record of that message; no false negatives."""
        return self.any_id or id_hash(id_) in self.ids


def read_summary(data: bytes) -> Summary:
    """Decode a summary; unknown fields after the known ones are ignored.

    Raises MalformedDataError if the bytes are not a summary.
    """
    summary = Summary()
    summary.frames, at = get_uint(data, 0)
    summary.records, at = get_uint(data, at)
    summary.first, at = get_int(data, at)
    span, at = get_uint(data, at)
    summary.last = summary.first + span
    for names in (summary.sources, summary.classes, summary.tenants):
        count, at = get_uint(data, at)
        for _ in range(count):
            name, at = get_text(data, at)
            names.add(name)
    flags, at = get_uint(data, at)
    summary.any_dest, summary.any_id, summary.context = bool(flags & 1), bool(flags & 2), bool(flags & 4)
    count, at = get_uint(data, at)
    dest = 0
    for _ in range(count):
        step, at = get_uint(data, at)
        dest += step
        summary.dests.add(dest)
    count, at = get_uint(data, at)
    raw = data[at : at + 2 * count]
    if len(raw) < 2 * count:
        raise MalformedDataError("a summary is cut short")
    summary.ids = set(_little_endian(array("H", raw)))
    return summary


def _little_endian(hashes: array) -> array:
    """Convert in place between native and little-endian byte order."""
    if sys.byteorder == "big":
        hashes.byteswap()
    return hashes


def id_hash(id_: str) -> int:
    """Return a 16-bit hash of a message id."""
    return crc32c(id_.encode("utf-8", "surrogatepass")) & 0xFFFF


@dataclass(frozen=True, slots=True)
class BlockHead:
    """The head of a block: state, number and bases; once the block is sealed, also lengths and checksums."""

    state: int
    number: int
    base_time: int
    base_seq: int
    stored: int = 0  # length of the stored data
    raw: int = 0  # length of the data before compression
    summary: int = 0  # length of the summary
    checksum: int = 0  # of the stored data
    summary_checksum: int = 0

    @property
    def size(self) -> int:
        """The size of a sealed block; for an open one, the size of its head."""
        return BLOCK_HEAD.size + self.summary + self.stored


def pack_block_head(head: BlockHead) -> bytes:
    """Encode the head of a block."""
    data = BLOCK_HEAD.pack(
        BLOCK_MARK,
        head.state,
        head.number,
        head.base_time,
        head.base_seq,
        head.stored,
        head.raw,
        head.summary,
        head.checksum,
        head.summary_checksum,
        0,
    )[:-4]
    return data + crc32c(data).to_bytes(4, "little")


def read_block_head(data: bytes, at: int = 0) -> BlockHead | None:
    """Decode the block head at an offset; None if there is no valid one."""
    if len(data) < at + BLOCK_HEAD.size or data[at : at + 8] != BLOCK_MARK:
        return None
    _mark, *values, checksum = BLOCK_HEAD.unpack_from(data, at)
    if crc32c(data[at : at + BLOCK_HEAD.size - 4]) != checksum:
        return None
    head = BlockHead(*values)
    if (
        head.state > PLAIN
        or head.raw > MAX_RAW_BYTES
        or head.stored > MAX_RAW_BYTES
        or head.summary > MAX_SUMMARY_BYTES
    ):
        return None
    return head


class Packer:
    """Builds blocks one after the other from frames."""

    def __init__(self, block_bytes: int = BLOCK_BYTES) -> None:
        self._block_bytes, self._encoder = block_bytes, Encoder()
        self._compressor = zstandard.ZstdCompressor(level=ZSTD_LEVEL)
        self.number = 0
        self._begin()

    def _begin(self) -> None:
        self._encoder.reset()
        self._payloads: list[bytes] = []
        self.raw = 0
        self.base_time = self.base_seq = 0
        self.summary = Summary()

    @property
    def full(self) -> bool:
        """Whether the block has reached its target size."""
        return self.raw >= self._block_bytes

    def add(self, frame: Frame) -> bytes:
        """Add a frame and return its payload, relative to the base of the block."""
        if not self._payloads:
            self.base_time, self.base_seq = max(0, frame.time), frame.seq
        payload = self._encoder.payload(frame, self.base_time, self.base_seq)
        new_messages = self._encoder.new_messages
        self.summary.add(frame, new_messages)
        if new_messages:
            new_messages.clear()
        if self._encoder.has_context:
            self.summary.context = True
        self._payloads.append(payload)
        self.raw += len(payload) + 2
        return payload

    def head(self) -> bytes:
        """Encode the head of the open block, which must have a frame."""
        return pack_block_head(BlockHead(OPEN, self.number, self.base_time, self.base_seq))

    def seal(self) -> bytes:
        """Return the sealed block, compressed if that is shorter. Call ``next`` to begin another one."""
        raw = bytearray()
        for payload in self._payloads:
            put_uint(raw, len(payload))
            raw += payload
        stored, state = self._compressor.compress(bytes(raw)), ZSTD
        if len(stored) >= len(raw):
            stored, state = bytes(raw), PLAIN
        summary = self.summary.pack()
        head = BlockHead(
            state,
            self.number,
            self.base_time,
            self.base_seq,
            len(stored),
            len(raw),
            len(summary),
            crc32c(stored),
            crc32c(summary),
        )
        return pack_block_head(head) + summary + stored

    def next(self) -> None:
        """Begin the next block."""
        self.number += 1
        self._begin()


def payloads_in(head: BlockHead, stored: bytes) -> Iterator[bytes]:
    """Yield the payloads of a sealed block.

    Raises MalformedDataError if the stored data does not match the head.
    """
    if crc32c(stored) != head.checksum or len(stored) != head.stored:
        raise MalformedDataError("its checksum is wrong")
    if head.state == ZSTD:
        try:
            raw = zstandard.ZstdDecompressor().decompress(stored, max_output_size=head.raw)
        except zstandard.ZstdError as error:
            raise MalformedDataError("it cannot be decompressed") from error
    else:
        raw = stored
    if len(raw) != head.raw:
        raise MalformedDataError("its length is wrong")
    at = 0
    while at < len(raw):
        size, at = get_uint(raw, at)
        if at + size > len(raw):
            raise MalformedDataError("a frame is cut short")
        yield raw[at : at + size]
        at += size


# The index -------------------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Place:
    """The row of a block in the index. Its summary omits the hashes of ids, which only the block itself has."""

    offset: int
    size: int
    number: int
    summary: Summary


class IndexBuilder:
    """Collects the rows of the index in compressed form, so that a file of many GB needs little memory."""

    def __init__(self) -> None:
        self._rows = bytearray()
        self._stored = bytearray()
        self._count = 0

    def add(self, place: Place) -> None:
        """Append the row of a block."""
        row = bytearray()
        put_uint(row, place.offset)
        put_uint(row, place.size)
        put_uint(row, place.number)
        row += place.summary.pack(ids=False)
        put_uint(self._rows, len(row))
        self._rows += row
        self._count += 1
        if len(self._rows) > INDEX_CHUNK:
            self._flush()

    def _flush(self) -> None:
        if self._rows:
            self._stored += zstandard.ZstdCompressor(level=ZSTD_LEVEL).compress(bytes(self._rows))
            self._rows.clear()

    def pack(self, offset: int) -> bytes:
        """Encode the index and the trailer, to be written at that offset."""
        self._flush()
        stored = bytes(self._stored)
        where = offset.to_bytes(8, "little")
        head = INDEX_HEAD.pack(INDEX_MARK, self._count, len(stored), 0)[:-CRC_BYTES]
        return (
            head
            + crc32c(stored, crc32c(head)).to_bytes(CRC_BYTES, "little")
            + stored
            + TRAILER.pack(offset, crc32c(where), TRAILER_MARK)
        )


def index_offset(tail: bytes) -> int | None:
    """Return the offset of the index from the last bytes of a file; None if the file has no valid trailer."""
    if len(tail) < TRAILER.size:
        return None
    offset, checksum, mark = TRAILER.unpack_from(tail, len(tail) - TRAILER.size)
    whole = mark == TRAILER_MARK and crc32c(offset.to_bytes(8, "little")) == checksum
    return offset if whole else None


class IndexReader:
    """Reads the rows of the index at an offset of an open file, on demand.

    Raises MalformedDataError if there is no valid index.
    """

    def __init__(self, file: BinaryIO, offset: int) -> None:
        file.seek(offset)
        head = file.read(INDEX_HEAD.size)
        if len(head) < INDEX_HEAD.size or head[:8] != INDEX_MARK:
            raise MalformedDataError("there is no index at this offset")
        _mark, self.count, self._left, checksum = INDEX_HEAD.unpack(head)
        self._file, self._start = file, offset + INDEX_HEAD.size
        found, left = crc32c(head[:-CRC_BYTES]), self._left
        while left:
            data = file.read(min(left, INDEX_CHUNK))
            if not data:
                raise MalformedDataError("the index is cut short")
            found = crc32c(data, found)
            left -= len(data)
        if found != checksum:
            raise MalformedDataError("the index's checksum is wrong")

    def __iter__(self) -> Iterator[Place]:
        chunks, buffer = self._raw(), bytearray()
        for _ in range(self.count):
            while (size := _row_size(buffer)) is None:
                chunk = next(chunks, b"")
                if not chunk:
                    raise MalformedDataError("the index is cut short")
                buffer += chunk
            row = bytes(buffer[size[0] : size[1]])
            del buffer[: size[1]]
            offset, at = get_uint(row, 0)
            length, at = get_uint(row, at)
            number, at = get_uint(row, at)
            yield Place(offset, length, number, read_summary(row[at:]))

    def _raw(self) -> Iterator[bytes]:
        stream = zstandard.ZstdDecompressor().decompressobj(read_across_frames=True)
        at, left = self._start, self._left
        while left:
            self._file.seek(at)
            data = self._file.read(min(left, INDEX_CHUNK))
            at, left = at + len(data), left - len(data)
            try:
                yield stream.decompress(data)
            except zstandard.ZstdError as error:
                raise MalformedDataError("the index cannot be decompressed") from error


def _row_size(buffer: bytearray) -> tuple[int, int] | None:
    """Return where the first row of the buffer begins and ends; None if the row is incomplete."""
    try:
        size, at = get_uint(buffer, 0)
    except MalformedDataError:
        return None
    return (at, at + size) if len(buffer) >= at + size else None
