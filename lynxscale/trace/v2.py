"""Version 2: blocks. A block can be read by itself, has a summary, and is compressed once it is full.

An open block is its head and frames as in version 1, each appended whole, so that a crash costs what was being
written and no more. ``seal`` gives the same frames compressed, with the summary that tools choose blocks by. The index
at a file's end repeats the summaries. docs/design/trace.md has the bytes, and how a block is sealed in place.
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
# mark, state, number, base time, base seq, stored, raw and summary length, their checksums, the head's own
BLOCK = struct.Struct("<8sB3xIQQIIIIII")
OPEN, ZSTD, PLAIN = 0, 1, 2
INDEX_MARK = b"\xa7LXI\r\n\x1a\n"
INDEX = struct.Struct("<8sQQI")  # mark, blocks, length, checksum of these and of the rows behind them
TRAILER = struct.Struct("<QI8s")  # offset of the index, checksum of these eight bytes, mark
TRAILER_MARK = b"LXT2END\n"

BLOCK_BYTES = 64 << 10  # before compression
RAW_MOST = 1 << 27  # guards against a length by which a reader would take all memory
SUMMARY_MOST = 1 << 20
NAMES_MOST = 1024  # destinations, classes, tenants or sources named in a summary; beyond them it names none
IDS_MOST = 8192  # of 65,536 marks: beyond so many the filter tells nothing
INDEX_CHUNK = 64 << 10
CRC_BYTES = 4
LEVEL = 3  # of zstandard: 0.4 us a message, a tenth smaller than level 1


@dataclass(slots=True)
class Summary:
    """What a block holds. An empty set where there were too many to name: then any may be in it."""

    frames: int = 0
    records: int = 0
    first: int = 0  # Unix times, µs
    last: int = 0
    sources: set[str] = field(default_factory=set)
    classes: set[str] = field(default_factory=set)
    tenants: set[str] = field(default_factory=set)
    dests: set[int] = field(default_factory=set)
    ids: set[int] = field(default_factory=set)  # marks of the messages' ids
    any_dest: bool = False
    any_id: bool = False
    context: bool = False  # it tells whose file it is, of lists or of what was dropped

    def add(self, frame: Frame, fresh: list[Msg]) -> None:
        """Take in a frame, and the messages that its block names for the first time."""
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
        for msg in fresh:
            self.classes.add(msg.cls[1])
            self.tenants.add(msg.tenant[1])
            self.dests.add(msg.dest)
            self.ids.add(id_mark(msg.id))

    def pack(self, ids: bool = True) -> bytes:
        """Its bytes; the index's rows are without the ids' marks."""
        out = bytearray()
        put_uint(out, self.frames)
        put_uint(out, self.records)
        put_int(out, self.first)
        put_uint(out, self.last - self.first)
        for names in (self.sources, self.classes, self.tenants):
            shown = sorted(names) if len(names) <= NAMES_MOST else []
            put_uint(out, len(shown))
            for name in shown:
                put_text(out, name)
        any_dest = self.any_dest or len(self.dests) > NAMES_MOST
        any_id = not ids or self.any_id or len(self.ids) > IDS_MOST
        out.append(any_dest | any_id << 1 | self.context << 2)
        dests = [] if any_dest else sorted(self.dests)
        put_uint(out, len(dests))
        before = 0
        for dest in dests:
            put_uint(out, dest - before)
            before = dest
        marks = _little(array("H", [] if any_id else sorted(self.ids)))
        put_uint(out, len(marks))
        out += marks.tobytes()
        return bytes(out)

    def may_hold_id(self, id_: str) -> bool:
        """May the block hold a record of that message? Never False where it does."""
        return self.any_id or id_mark(id_) in self.ids


def read_summary(data: bytes) -> Summary:
    """The summary in these bytes; fields behind the known ones are passed over.

    Raises MalformedDataError where they are none.
    """
    one = Summary()
    one.frames, at = get_uint(data, 0)
    one.records, at = get_uint(data, at)
    one.first, at = get_int(data, at)
    span, at = get_uint(data, at)
    one.last = one.first + span
    for names in (one.sources, one.classes, one.tenants):
        count, at = get_uint(data, at)
        for _ in range(count):
            name, at = get_text(data, at)
            names.add(name)
    flags, at = get_uint(data, at)
    one.any_dest, one.any_id, one.context = bool(flags & 1), bool(flags & 2), bool(flags & 4)
    count, at = get_uint(data, at)
    dest = 0
    for _ in range(count):
        step, at = get_uint(data, at)
        dest += step
        one.dests.add(dest)
    count, at = get_uint(data, at)
    raw = data[at : at + 2 * count]
    if len(raw) < 2 * count:
        raise MalformedDataError("a summary is cut short")
    one.ids = set(_little(array("H", raw)))
    return one


def _little(marks: array) -> array:
    """Least byte first, whatever the machine's order is."""
    if sys.byteorder == "big":
        marks.byteswap()
    return marks


def id_mark(id_: str) -> int:
    """Sixteen bits of an id: two ids share them once in 65,536 times."""
    return crc32c(id_.encode("utf-8", "surrogatepass")) & 0xFFFF


@dataclass(frozen=True, slots=True)
class BlockHead:
    """The head of a block: its state, number and bases, and sizes and checksums once it is sealed."""

    state: int
    number: int
    base_time: int
    base_seq: int
    stored: int = 0
    raw: int = 0
    summary: int = 0
    checksum: int = 0  # of what is stored
    summary_checksum: int = 0

    @property
    def size(self) -> int:
        """Of the whole block; of an open one, of its head."""
        return BLOCK.size + self.summary + self.stored


def pack_block_head(head: BlockHead) -> bytes:
    """The bytes of a block's head."""
    data = BLOCK.pack(
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
    """The head at an offset; None where no whole one stands there."""
    if len(data) < at + BLOCK.size or data[at : at + 8] != BLOCK_MARK:
        return None
    _mark, *values, checksum = BLOCK.unpack_from(data, at)
    if crc32c(data[at : at + BLOCK.size - 4]) != checksum:
        return None
    head = BlockHead(*values)
    if head.state > PLAIN or head.raw > RAW_MOST or head.stored > RAW_MOST or head.summary > SUMMARY_MOST:
        return None
    return head


class Packer:
    """Gathers the frames of one block after the other."""

    def __init__(self, block_bytes: int = BLOCK_BYTES) -> None:
        self._block_bytes, self._encoder = block_bytes, Encoder()
        self._compressor = zstandard.ZstdCompressor(level=LEVEL)
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
        """Has the block reached its size?"""
        return self.raw >= self._block_bytes

    def add(self, frame: Frame) -> bytes:
        """Take in a frame; its payload, relative to the block's base."""
        if not self._payloads:
            self.base_time, self.base_seq = max(0, frame.time), frame.seq
        payload = self._encoder.payload(frame, self.base_time, self.base_seq)
        fresh = self._encoder.fresh
        self.summary.add(frame, fresh)
        if fresh:
            fresh.clear()
        if self._encoder.told_context:
            self.summary.context = True
        self._payloads.append(payload)
        self.raw += len(payload) + 2
        return payload

    def head(self) -> bytes:
        """The head of the block that is open, once it has a frame."""
        return pack_block_head(BlockHead(OPEN, self.number, self.base_time, self.base_seq))

    def seal(self) -> bytes:
        """The whole block, compressed where that is shorter. ``next`` begins another."""
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
    """The payloads of a sealed block.

    Raises MalformedDataError where what is stored is not what its head says.
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
    """A block's row of the index; its summary is without the ids, which stand before the block itself."""

    offset: int
    size: int
    number: int
    summary: Summary


class IndexBuilder:
    """Gathers the rows; keeps them compressed, so that a file of many GB needs little memory."""

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
            self._stored += zstandard.ZstdCompressor(level=LEVEL).compress(bytes(self._rows))
            self._rows.clear()

    def pack(self, offset: int) -> bytes:
        """The index and the trailer behind it, to stand at that offset."""
        self._flush()
        stored = bytes(self._stored)
        where = offset.to_bytes(8, "little")
        head = INDEX.pack(INDEX_MARK, self._count, len(stored), 0)[:-CRC_BYTES]
        return (
            head
            + crc32c(stored, crc32c(head)).to_bytes(CRC_BYTES, "little")
            + stored
            + TRAILER.pack(offset, crc32c(where), TRAILER_MARK)
        )


def index_offset(tail: bytes) -> int | None:
    """Where the index stands, by the last bytes of a file; None where the file has no trailer."""
    if len(tail) < TRAILER.size:
        return None
    offset, checksum, mark = TRAILER.unpack_from(tail, len(tail) - TRAILER.size)
    whole = mark == TRAILER_MARK and crc32c(offset.to_bytes(8, "little")) == checksum
    return offset if whole else None


class IndexReader:
    """The index at an offset of an open file, read as it is used.

    Raises MalformedDataError where no whole one stands there.
    """

    def __init__(self, file: BinaryIO, offset: int) -> None:
        file.seek(offset)
        head = file.read(INDEX.size)
        if len(head) < INDEX.size or head[:8] != INDEX_MARK:
            raise MalformedDataError("no index stands there")
        _mark, self.count, self._left, checksum = INDEX.unpack(head)
        self._file, self._start = file, offset + INDEX.size
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
    """Where the buffer's first row begins and ends; None where it is not whole."""
    try:
        size, at = get_uint(buffer, 0)
    except MalformedDataError:
        return None
    return (at, at + size) if len(buffer) >= at + size else None
