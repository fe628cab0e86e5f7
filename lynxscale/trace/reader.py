"""Opens a trace of either version, whole, cut off, damaged or still being written, and gives its frames in order.

Memory is one block's, whatever the file's size. What cannot be read is a ``Loss``, with the times round it.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace
from pathlib import Path

from lynxscale.trace import head as h
from lynxscale.trace import v2
from lynxscale.trace.exceptions import MalformedDataError
from lynxscale.trace.frames import FRAME_MOST, Decoder, Frame
from lynxscale.trace.head import NotATraceError

WINDOW = 1 << 18  # bytes read at once where a file is looked through
# Looks at a live file in which something cannot be read, until what is behind that is given: guards against a block
# that is being sealed just then, of which old and new bytes were seen. What is damaged stays so.
PATIENCE = 8


@dataclass(frozen=True, slots=True)
class Loss:
    """Bytes of a file that are no records: where, how many, and the Unix times (µs) of what is whole around them."""

    path: str
    offset: int
    size: int
    reason: str
    after: int | None = None
    before: int | None = None
    torn: bool = False  # at the file's end, as a crash or a writer at work leaves it


Select = Callable[[v2.Summary], bool]


class Reader:
    """One file. ``select`` may pass over blocks by their summary; a block without one is always read.

    Raises NotATraceError where the file is none, OSError where it cannot be read.
    """

    def __init__(self, path: str | Path) -> None:
        self.path = str(path)
        self._file = open(path, "rb")  # noqa: SIM115 - closed by ``close``
        try:
            self.head = h.read_head(os.pread(self._file.fileno(), h.HEAD_MOST, 0))
        except BaseException:
            self._file.close()
            raise
        self.losses: list[Loss] = []
        self.lost = 0  # of them, also those beyond the list
        self.indexed = False
        self._last: int | None = None  # Unix time of the last frame that was whole
        self._waiting: Loss | None = None  # the loss that what comes next is after
        self.resume = (self.head.size, -1)  # offset of the latest block, and the number before it

    def close(self) -> None:
        """Close the file."""
        self._file.close()

    def __enter__(self) -> Reader:
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def size(self) -> int:
        """The present size of the file, in bytes."""
        return os.fstat(self._file.fileno()).st_size

    def frames(self, select: Select | None = None, id_: str | None = None) -> Iterator[Frame]:
        """Every frame, in the file's order; with ``id_`` at least those that may name that message."""
        self.losses, self.lost, self._last, self._waiting = [], 0, None, None
        self.resume = (self.head.size, -1)
        source = self._frames1() if self.head.major == 1 else self._frames2(select, id_)
        for frame in source:
            self._settle(frame.unix)
            self._last = frame.unix
            yield frame
        self._settle(None)

    @property
    def damaged(self) -> bool:
        """Something could not be read so far."""
        return self.lost > 0 or self._waiting is not None

    # Losses --------------------------------------------------------------------------------------

    def _lose(
        self, offset: int, size: int, reason: str, torn: bool = False, span: tuple[int, int] | None = None
    ) -> None:
        if size <= 0:
            return
        if (before := self._waiting) is not None and before.offset + before.size == offset:
            # One hole, though its parts were found one after the other.
            self._waiting = replace(before, size=before.size + size, torn=torn)
            return
        self._settle(None)
        after, before = span or (self._last, None)
        self._waiting = Loss(self.path, offset, size, reason, after, before, torn)

    def _settle(self, unix: int | None) -> None:
        if self._waiting is not None:
            loss, self._waiting = self._waiting, None
            self.lost += 1
            if len(self.losses) < 1000:  # guards against a list as long as a file of noise
                self.losses.append(replace(loss, before=unix) if loss.before is None else loss)

    # Version 1 -----------------------------------------------------------------------------------

    def _frames1(self) -> Iterator[Frame]:
        yield from self._plain(self.head.size, self.size, Decoder(), 0, 0)

    def _plain(self, start: int, end: int, decoder: Decoder, base_time: int, base_seq: int) -> Iterator[Frame]:
        """The frames between two offsets, as they stand in version 1 and in an open block."""
        buffer, at, whole = b"", start, 0  # ``at``: the offset of the buffer's first byte
        read_to = start
        while True:
            payload = h.whole_frame(buffer, whole)
            if payload is None:
                want = h.FRAME.size
                if buffer[whole : whole + 2] == h.FRAME_MARK and len(buffer) >= whole + h.FRAME.size:
                    size = h.FRAME.unpack_from(buffer, whole)[1]
                    want += min(size, FRAME_MOST)
                if read_to < end and len(buffer) - whole < want:
                    more = os.pread(self._file.fileno(), max(WINDOW, want), read_to)[: end - read_to]
                    if more:
                        buffer, at, whole = buffer[whole:] + more, at + whole, 0
                        read_to += len(more)
                        continue
                if whole >= len(buffer):
                    return
                found = h.next_frame(buffer, whole + 1)
                if found == len(buffer) and read_to < end:
                    # Nothing whole in this window; a frame may begin in its last bytes.
                    found = self._resume(buffer, whole + 1)
                torn = found == len(buffer) and read_to >= end
                self._lose(at + whole, found - whole, "the end is cut off" if torn else "damaged", torn)
                whole = found
                continue
            try:
                yield decoder.frame(payload, base_time, base_seq)
            except MalformedDataError as error:
                self._lose(at + whole, h.FRAME.size + len(payload), str(error))
            whole += h.FRAME.size + len(payload)

    @staticmethod
    def _resume(buffer: bytes, at: int) -> int:
        """The first mark of a frame that may go on behind the buffer's end."""
        while (at := buffer.find(h.FRAME_MARK[:1], at)) >= 0:
            if buffer[at : at + 2] in (h.FRAME_MARK, h.FRAME_MARK[:1]):
                if len(buffer) - at < h.FRAME.size:
                    return at
                size = h.FRAME.unpack_from(buffer, at)[1]
                if size <= FRAME_MOST and at + h.FRAME.size + size > len(buffer):
                    return at
            at += 1
        return len(buffer)

    # Version 2 -----------------------------------------------------------------------------------

    def index(self) -> v2.IndexReader | None:
        """The index at the file's end, if it has a whole one."""
        size = self.size
        tail = os.pread(self._file.fileno(), v2.TRAILER.size, max(0, size - v2.TRAILER.size))
        offset = v2.index_offset(tail)
        if offset is None:
            return None
        try:
            return v2.IndexReader(self._file, offset)
        except MalformedDataError:
            return None

    def _frames2(self, select: Select | None, id_: str | None) -> Iterator[Frame]:
        index = self.index()
        self.indexed = index is not None
        if index is not None:
            for place in index:
                if select is None or select(place.summary):
                    yield from self._indexed(place, id_)
        else:
            yield from self._scanned(select, id_)

    def _indexed(self, place: v2.Place, id_: str | None) -> Iterator[Frame]:
        head = self._block_head(place.offset)
        if head is None or head.number != place.number:
            self._lose(
                place.offset, place.size, "a block's head is damaged", span=(place.summary.first, place.summary.last)
            )
        elif head.state == v2.OPEN:
            yield from self._open_block(head, place.offset, place.offset + place.size)
        else:
            yield from self._sealed(head, place.offset, None, id_, place.summary)

    def _block_head(self, offset: int) -> v2.BlockHead | None:
        return v2.read_block_head(os.pread(self._file.fileno(), v2.BLOCK.size, offset))

    def _sealed(
        self, head: v2.BlockHead, offset: int, select: Select | None, id_: str | None, known: v2.Summary | None = None
    ) -> Iterator[Frame]:
        at = offset + v2.BLOCK.size
        if select is not None or id_ is not None:
            data = os.pread(self._file.fileno(), head.summary, at)
            try:
                if v2.crc32c(data) != head.summary_checksum:
                    raise MalformedDataError("its summary's checksum is wrong")
                summary = v2.read_summary(data)
                if (select is not None and not select(summary)) or (id_ is not None and not summary.may_hold_id(id_)):
                    return
            except MalformedDataError:
                pass  # it is read, as it may hold anything
        stored = os.pread(self._file.fileno(), head.stored, at + head.summary)
        decoder = Decoder()
        try:
            for payload in v2.payloads_in(head, stored):
                yield decoder.frame(payload, head.base_time, head.base_seq)
        except MalformedDataError as error:
            torn = len(stored) < head.stored
            span = self._span(head, at) or (known and (known.first, known.last))
            self._lose(
                offset,
                min(head.size, self.size - offset),
                "the end is cut off" if torn else f"a block is damaged: {error}",
                torn,
                span,
            )

    def _span(self, head: v2.BlockHead, at: int) -> tuple[int, int] | None:
        """The times that a block's summary tells, if that is whole."""
        data = os.pread(self._file.fileno(), head.summary, at)
        if len(data) < head.summary or v2.crc32c(data) != head.summary_checksum:
            return None
        summary = v2.read_summary(data)
        return summary.first, summary.last

    def _open_block(self, head: v2.BlockHead, offset: int, end: int) -> Iterator[Frame]:
        yield from self._plain(offset + v2.BLOCK.size, end, Decoder(), head.base_time, head.base_seq)

    def _scanned(self, select: Select | None, id_: str | None) -> Iterator[Frame]:
        """Block by block. Where a writer was killed while it sealed one, that block stands there twice.

        Then what is no block lies before or between its copies, and is no loss: the numbers show that none is
        missing.
        """
        at, number = self.resume
        given: set[tuple[str, int]] = set()  # frames of the latest block
        hole = -1  # where bytes began that are no block
        while at < self.size and not self._at_index(at):
            head = self._block_head(at)
            if head is None:
                hole = at if hole < 0 else hole
                at = self._next_block(at + 1)
                continue
            if hole >= 0 and head.number > number + 1:
                self._lose(hole, at - hole, f"blocks {number + 1} to {head.number - 1} are damaged")
            hole = -1
            if head.number > number:
                self.resume = (at, number)
                given, number = set(), head.number
            if head.state == v2.OPEN:
                end = self._next_block(at + v2.BLOCK.size)
                source = self._open_block(head, at, end)
            else:
                end = at + head.size
                source = self._sealed(head, at, select, id_)
            before = (self._waiting, self.lost, len(self.losses))
            for frame in source:
                key = (frame.source, frame.seq)
                if key not in given:
                    given.add(key)
                    yield frame
            if (self._waiting, self.lost) != before[:2] and (copy := self._copy(at, end, head)) is not None:
                self._waiting, self.lost = before[:2]  # the copy has all of it
                del self.losses[before[2] :]
                end = copy
            at = end
        if hole >= 0:
            torn = self.size - hole < v2.BLOCK.size
            self._lose(hole, min(at, self.size) - hole, "the end is cut off" if torn else "no block can be read", torn)

    def _copy(self, at: int, end: int, head: v2.BlockHead) -> int | None:
        """Where another copy of a block stands that is not whole."""
        found = end if head.state == v2.OPEN else self._next_block(at + v2.BLOCK.size)
        copy = self._block_head(found)
        return found if copy is not None and copy.number == head.number else None

    def _at_index(self, at: int) -> bool:
        return os.pread(self._file.fileno(), 8, at) == v2.INDEX_MARK

    def _next_block(self, at: int) -> int:
        """The offset of the next whole block head or the index, else the file's end."""
        fd, size = self._file.fileno(), self.size
        while at < size:
            data = os.pread(fd, WINDOW, at)
            where = 0
            while (where := data.find(v2.BLOCK_MARK[:4], where)) >= 0:
                mark = os.pread(fd, v2.BLOCK.size, at + where)
                if v2.read_block_head(mark) is not None:
                    return at + where
                where += 1
            if (found := data.find(v2.INDEX_MARK)) >= 0:
                return at + found
            if len(data) < WINDOW:
                break
            at += len(data) - 8
        return size


def follow(path: str | Path, wait: Callable[[], None]) -> Iterator[Frame]:
    """The frames of a file that is being written; ``wait`` is called where there are no more for now.

    It ends when the file has its index.
    """
    given: dict[str, int] = {}  # the last sequence number that was given, by source
    resume: tuple[int, int] | None = None
    patience = PATIENCE
    while True:
        with Reader(path) as reader:
            if reader.head.major > 1:
                reader.resume = resume or reader.resume
            done = reader.index() is not None
            for frame in reader._frames1() if reader.head.major == 1 else reader._scanned(None, None):
                if reader.damaged and patience:
                    patience -= 1
                    done = False
                    break
                if frame.seq > given.get(frame.source, -1):
                    given[frame.source] = frame.seq
                    patience = PATIENCE
                    yield frame
            resume = reader.resume
        if done:
            return
        wait()


__all__ = ["Loss", "NotATraceError", "Reader", "follow"]
