"""Reads the frames of a trace file of either version: complete, truncated, damaged or still being written.

A reader holds one block in memory, regardless of the size of the file. Each range that cannot be read is reported as a
``Loss``, with the times of the readable frames around it.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from pathlib import Path

from lynxscale.trace import head as h
from lynxscale.trace import v2
from lynxscale.trace.exceptions import MalformedDataError
from lynxscale.trace.frames import MAX_PAYLOAD_BYTES, Decoder, Frame
from lynxscale.trace.head import NotATraceError

READ_BYTES = 1 << 18  # size of one read while a file is scanned
# How often ``follow`` reads a live file again before it yields the frames after an unreadable range. A block that is
# being sealed may be seen half old, half new, and is readable on a later attempt; real damage stays.
MAX_RETRIES = 8


@dataclass(frozen=True, slots=True)
class Loss:
    """A range of a file that could not be read, and the Unix times (µs) of the readable frames around it."""

    path: str
    offset: int
    size: int
    reason: str
    after: int | None = None
    before: int | None = None
    torn: bool = False  # at the end of the file, as left by a crash or by a write in progress


Select = Callable[[v2.Summary], bool]


class Reader:
    """Reads one file.

    Raises NotATraceError if the file is not a trace, OSError if it cannot be read.
    """

    def __init__(self, path: str | Path) -> None:
        self.path = str(path)
        self._file = open(path, "rb")  # noqa: SIM115 - closed by ``close``
        try:
            self.head = h.read_head(os.pread(self._file.fileno(), h.MAX_HEAD_BYTES, 0))
        except BaseException:
            self._file.close()
            raise
        self.losses: list[Loss] = []
        self.loss_count = 0  # all losses, also those that ``losses`` has no room for
        self.indexed = False
        self._last: int | None = None  # Unix time of the last readable frame
        self._pending_loss: Loss | None = None  # the latest loss, until the next readable frame is known
        self.resume = (self.head.size, -1)  # offset of the latest block, and the number of the block before it

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def __enter__(self) -> Reader:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def size(self) -> int:
        """The current size of the file, in bytes."""
        return os.fstat(self._file.fileno()).st_size

    def frames(self, select: Select | None = None, id_: str | None = None) -> Iterator[Frame]:
        """Yield the frames in file order.

        Blocks are skipped if ``select`` rejects their summary, or if they cannot hold the message ``id_``. A block
        without a readable summary is always read.
        """
        self.losses, self.loss_count, self._last, self._pending_loss = [], 0, None, None
        self.resume = (self.head.size, -1)
        source = self._frames_v1() if self.head.major == 1 else self._frames_v2(select, id_)
        for frame in source:
            self._finish_loss(frame.unix)
            self._last = frame.unix
            yield frame
        self._finish_loss(None)

    @property
    def damaged(self) -> bool:
        """Whether any range could not be read so far."""
        return self.loss_count > 0 or self._pending_loss is not None

    # Losses --------------------------------------------------------------------------------------

    def _add_loss(
        self, offset: int, size: int, reason: str, torn: bool = False, span: tuple[int, int] | None = None
    ) -> None:
        if size <= 0:
            return
        if (before := self._pending_loss) is not None and before.offset + before.size == offset:
            # Adjacent unreadable ranges are one loss.
            self._pending_loss = replace(before, size=before.size + size, torn=torn)
            return
        self._finish_loss(None)
        after, before = span or (self._last, None)
        self._pending_loss = Loss(self.path, offset, size, reason, after, before, torn)

    def _finish_loss(self, unix: int | None) -> None:
        if self._pending_loss is not None:
            loss, self._pending_loss = self._pending_loss, None
            self.loss_count += 1
            if len(self.losses) < 1000:  # bounds the list for a file of random bytes
                self.losses.append(replace(loss, before=unix) if loss.before is None else loss)

    # Version 1 -----------------------------------------------------------------------------------

    def _frames_v1(self) -> Iterator[Frame]:
        yield from self._frames_between(self.head.size, self.size, Decoder(), 0, 0)

    def _frames_between(self, start: int, end: int, decoder: Decoder, base_time: int, base_seq: int) -> Iterator[Frame]:
        """Yield the uncompressed frames between two offsets, as in a file of version 1 or an open block."""
        # ``at``: offset of the buffer in the file; ``position``: offset of the next frame in the buffer.
        buffer, at, position = b"", start, 0
        read_to = start
        while True:
            payload = h.complete_frame(buffer, position)
            if payload is None:
                needed = h.FRAME_HEADER.size
                if buffer[position : position + 2] == h.FRAME_MARK and len(buffer) >= position + h.FRAME_HEADER.size:
                    size = h.FRAME_HEADER.unpack_from(buffer, position)[1]
                    needed += min(size, MAX_PAYLOAD_BYTES)
                if read_to < end and len(buffer) - position < needed:
                    more = os.pread(self._file.fileno(), max(READ_BYTES, needed), read_to)[: end - read_to]
                    if more:
                        buffer, at, position = buffer[position:] + more, at + position, 0
                        read_to += len(more)
                        continue
                if position >= len(buffer):
                    return
                found = h.next_frame(buffer, position + 1)
                if found == len(buffer) and read_to < end:
                    # The buffer holds no complete frame, but one may begin in its last bytes.
                    found = self._possible_frame(buffer, position + 1)
                torn = found == len(buffer) and read_to >= end
                self._add_loss(at + position, found - position, "the end is cut off" if torn else "damaged", torn)
                position = found
                continue
            try:
                yield decoder.frame(payload, base_time, base_seq)
            except MalformedDataError as error:
                self._add_loss(at + position, h.FRAME_HEADER.size + len(payload), str(error))
            position += h.FRAME_HEADER.size + len(payload)

    @staticmethod
    def _possible_frame(buffer: bytes, at: int) -> int:
        """The offset of the first frame that may extend beyond the buffer, or the length of the buffer."""
        while (at := buffer.find(h.FRAME_MARK[:1], at)) >= 0:
            if buffer[at : at + 2] in (h.FRAME_MARK, h.FRAME_MARK[:1]):
                if len(buffer) - at < h.FRAME_HEADER.size:
                    return at
                size = h.FRAME_HEADER.unpack_from(buffer, at)[1]
                if size <= MAX_PAYLOAD_BYTES and at + h.FRAME_HEADER.size + size > len(buffer):
                    return at
            at += 1
        return len(buffer)

    # Version 2 -----------------------------------------------------------------------------------

    def index(self) -> v2.IndexReader | None:
        """The index at the end of the file; None if it is missing or damaged."""
        size = self.size
        tail = os.pread(self._file.fileno(), v2.TRAILER.size, max(0, size - v2.TRAILER.size))
        offset = v2.index_offset(tail)
        if offset is None:
            return None
        try:
            return v2.IndexReader(self._file, offset)
        except MalformedDataError:
            return None

    def _frames_v2(self, select: Select | None, id_: str | None) -> Iterator[Frame]:
        index = self.index()
        self.indexed = index is not None
        if index is not None:
            for place in index:
                if select is None or select(place.summary):
                    yield from self._indexed_block(place, id_)
        else:
            yield from self._scan_blocks(select, id_)

    def _indexed_block(self, place: v2.Place, id_: str | None) -> Iterator[Frame]:
        head = self._block_head(place.offset)
        if head is None or head.number != place.number:
            self._add_loss(
                place.offset, place.size, "a block's head is damaged", span=(place.summary.first, place.summary.last)
            )
        elif head.state == v2.OPEN:
            yield from self._open_block(head, place.offset, place.offset + place.size)
        else:
            yield from self._sealed_block(head, place.offset, None, id_, place.summary)

    def _block_head(self, offset: int) -> v2.BlockHead | None:
        return v2.read_block_head(os.pread(self._file.fileno(), v2.BLOCK_HEAD.size, offset))

    def _sealed_block(
        self, head: v2.BlockHead, offset: int, select: Select | None, id_: str | None, known: v2.Summary | None = None
    ) -> Iterator[Frame]:
        at = offset + v2.BLOCK_HEAD.size
        if select is not None or id_ is not None:
            data = os.pread(self._file.fileno(), head.summary, at)
            try:
                if v2.crc32c(data) != head.summary_checksum:
                    raise MalformedDataError("its summary's checksum is wrong")
                summary = v2.read_summary(data)
                if (select is not None and not select(summary)) or (id_ is not None and not summary.may_hold_id(id_)):
                    return
            except MalformedDataError:
                pass  # without a valid summary the block may hold anything, so it is read
        stored = os.pread(self._file.fileno(), head.stored, at + head.summary)
        decoder = Decoder()
        try:
            for payload in v2.payloads_in(head, stored):
                yield decoder.frame(payload, head.base_time, head.base_seq)
        except MalformedDataError as error:
            torn = len(stored) < head.stored
            span = self._summary_times(head, at) or (known and (known.first, known.last))
            self._add_loss(
                offset,
                min(head.size, self.size - offset),
                "the end is cut off" if torn else f"a block is damaged: {error}",
                torn,
                span,
            )

    def _summary_times(self, head: v2.BlockHead, at: int) -> tuple[int, int] | None:
        """The first and last time in the summary of a block; None if the summary is damaged."""
        data = os.pread(self._file.fileno(), head.summary, at)
        if len(data) < head.summary or v2.crc32c(data) != head.summary_checksum:
            return None
        summary = v2.read_summary(data)
        return summary.first, summary.last

    def _open_block(self, head: v2.BlockHead, offset: int, end: int) -> Iterator[Frame]:
        yield from self._frames_between(offset + v2.BLOCK_HEAD.size, end, Decoder(), head.base_time, head.base_seq)

    def _scan_blocks(self, select: Select | None, id_: str | None) -> Iterator[Frame]:
        """Yield the frames of a file without an index, block by block.

        A writer that was killed while it sealed a block leaves two copies of that block. The bytes before and between
        the copies are not reported as a loss, because the block numbers show that no block is missing.
        """
        at, number = self.resume
        yielded: set[tuple[str, int]] = set()  # frames of the latest block that were yielded
        gap_start = -1  # offset of the first byte after the last block that belongs to no block; -1 if there is none
        while at < self.size and not self._at_index(at):
            head = self._block_head(at)
            if head is None:
                gap_start = at if gap_start < 0 else gap_start
                at = self._next_block(at + 1)
                continue
            if gap_start >= 0 and head.number > number + 1:
                self._add_loss(gap_start, at - gap_start, f"blocks {number + 1} to {head.number - 1} are damaged")
            gap_start = -1
            if head.number > number:
                self.resume = (at, number)
                yielded, number = set(), head.number
            if head.state == v2.OPEN:
                end = self._next_block(at + v2.BLOCK_HEAD.size)
                source = self._open_block(head, at, end)
            else:
                end = at + head.size
                source = self._sealed_block(head, at, select, id_)
            before = (self._pending_loss, self.loss_count, len(self.losses))
            for frame in source:
                key = (frame.source, frame.seq)
                if key not in yielded:
                    yielded.add(key)
                    yield frame
            if (self._pending_loss, self.loss_count) != before[:2] and (
                copy := self._next_copy(at, end, head)
            ) is not None:
                self._pending_loss, self.loss_count = before[:2]  # the other copy of the block holds these frames
                del self.losses[before[2] :]
                end = copy
            at = end
        if gap_start >= 0:
            torn = self.size - gap_start < v2.BLOCK_HEAD.size
            self._add_loss(
                gap_start,
                min(at, self.size) - gap_start,
                "the end is cut off" if torn else "no block can be read",
                torn,
            )

    def _next_copy(self, at: int, end: int, head: v2.BlockHead) -> int | None:
        """The offset of the next copy of a damaged block; None if there is none."""
        found = end if head.state == v2.OPEN else self._next_block(at + v2.BLOCK_HEAD.size)
        copy = self._block_head(found)
        return found if copy is not None and copy.number == head.number else None

    def _at_index(self, at: int) -> bool:
        return os.pread(self._file.fileno(), 8, at) == v2.INDEX_MARK

    def _next_block(self, at: int) -> int:
        """The offset of the next valid block head, or else of the index, or else the end of the file."""
        fd, size = self._file.fileno(), self.size
        while at < size:
            data = os.pread(fd, READ_BYTES, at)
            where = 0
            while (where := data.find(v2.BLOCK_MARK[:4], where)) >= 0:
                mark = os.pread(fd, v2.BLOCK_HEAD.size, at + where)
                if v2.read_block_head(mark) is not None:
                    return at + where
                where += 1
            if (found := data.find(v2.INDEX_MARK)) >= 0:
                return at + found
            if len(data) < READ_BYTES:
                break
            at += len(data) - 8
        return size


def follow(path: str | Path, wait: Callable[[], None]) -> Iterator[Frame]:
    """Yield the frames of a file that is being written, and call ``wait`` when there are no more for now.

    It ends when the writer has closed the file with an index.
    """
    yielded: dict[str, int] = {}  # the last sequence number yielded, by source
    resume: tuple[int, int] | None = None
    retries = MAX_RETRIES
    while True:
        with Reader(path) as reader:
            if reader.head.major > 1:
                reader.resume = resume or reader.resume
            done = reader.index() is not None
            for frame in reader._frames_v1() if reader.head.major == 1 else reader._scan_blocks(None, None):
                if reader.damaged and retries:
                    retries -= 1
                    done = False
                    break
                if frame.seq > yielded.get(frame.source, -1):
                    yielded[frame.source] = frame.seq
                    retries = MAX_RETRIES
                    yield frame
            resume = reader.resume
        if done:
            return
        wait()


__all__ = ["Loss", "NotATraceError", "Reader", "follow"]
