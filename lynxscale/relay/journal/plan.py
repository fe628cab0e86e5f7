"""Segment accounting and cleaning policy: pure, without files, the same in service and in the model.

Two things are counted of every segment. *Live* bytes are what a reader needs: of an open message the records since its
complete state was last written, of an ended one its end, as long as another segment has a record of it. *Residue* is
any record of a message, live or dead: it could bring an ended message back, were its end removed first.

A segment is cleaned by copying what is live forward: a message's state as one record, which makes dead whatever was
written of it before, and ends as they are. It is then free, in any order.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lynxscale.relay.journal.format import END, HEAD_SIZE, MESSAGE, Record, Row

BLOCK = 4096  # bytes: a file takes complete blocks
LIVE_SHARE = 0.5  # of the budget for open messages: what cleaning costs grows without bound towards 1
TIGHT_SHARE = 0.75  # beyond it not even attempts are recorded: ends need the rest
# What a record is written for; so many segments must stay free when another is opened for it.
NEW, OPEN, CLEANING = 2, 1, 0
SEGMENTS = 24  # into which the budget is divided
MIN_SEGMENT, MAX_SEGMENT = 4 * BLOCK, 64 << 20
FREE_LOW = 3  # with so few free segments or fewer one is cleaned


def blocks(size: int) -> int:
    """Bytes that a file of that size takes on disk."""
    return -(-size // BLOCK) * BLOCK


@dataclass(slots=True)
class Segment:
    """``live``: bytes that a reader needs; ``last``: the sequence number of its newest record."""

    number: int
    first: int
    size: int = 0
    live: int = 0
    last: int = 0
    sealed: bool = False
    messages: set[int] = field(default_factory=set)  # that have any record here


@dataclass(slots=True)
class MessageRecords:
    """Where a message's records are. ``live`` of an ended one has its end alone."""

    live: dict[int, int] = field(default_factory=dict)  # bytes by segment
    residue: set[int] = field(default_factory=set)  # segments
    ended: bool = False


class Plan:
    """The accounts. ``budget``: bytes that all files may take, in complete blocks."""

    def __init__(self, budget: int) -> None:
        self.segment_size = min(MAX_SEGMENT, max(MIN_SEGMENT, budget // SEGMENTS // BLOCK * BLOCK))
        # The two generations of the manifest, the reserve and the lock take a part of the budget.
        self._all_segments = max(4, (budget - 4 * BLOCK) // self.segment_size - 1)
        self.max_segments = self.max_live = 0
        self.limit_to_share(1.0)
        self.segments: dict[int, Segment] = {}
        self.messages: dict[int, MessageRecords] = {}
        self.live = 0
        self.used = 0  # segments in use; one longer than a segment counts as several
        self.active: Segment | None = None

    def limit_to_share(self, share: float) -> None:
        """Keep within a share of the budget from now on: another journal has the rest."""
        self.max_segments = max(4, int(self._all_segments * share))
        self.max_live = int(LIVE_SHARE * self.max_segments * self.segment_size)

    def restore(self, rows: Iterable[Row], found: Iterable[tuple[int, Record]], sizes: Mapping[int, int]) -> None:
        """Account for what a recovery found: rows by their first record, records by segment, and complete sizes."""
        by_segment: dict[int, list[Record]] = {}
        for number, one in found:
            by_segment.setdefault(number, []).append(one)
        for row in rows:
            self.opened(row.number, row.first, HEAD_SIZE)
            for one in by_segment.get(row.number, ()):
                self.wrote(one.uid, one.seq, one.size, complete=one.kind == MESSAGE, end=one.kind == END)
            self.sized(self.segments[row.number], max(HEAD_SIZE, sizes.get(row.number, row.sealed)))

    # What was written -------------------------------------------------------------------------------

    def opened(self, number: int, first: int, size: int) -> None:
        """A new segment is written from now on; the one before is closed."""
        if self.active is not None:
            self.active.sealed = True
        self.active = self.segments[number] = Segment(number, first, size, last=first - 1)
        self.used += 1

    def sized(self, segment: Segment, size: int) -> None:
        """A segment has so many bytes."""
        if size > self.segment_size or segment.size > self.segment_size:
            self.used += self._segments_for(size) - self._segments_for(segment.size)
        segment.size = size

    def wrote(self, uid: int, seq: int, size: int, *, complete: bool = False, end: bool = False) -> None:
        """A record of a message is in the active segment."""
        segment = self.active
        assert segment is not None
        self.sized(segment, segment.size + size)
        if seq > segment.last:
            segment.last = seq
        message = self.messages.get(uid)
        if message is None:
            message = self.messages[uid] = MessageRecords()
        if complete or end:
            self._drop_live(message)
        if end:
            message.ended = True
        if not message.ended or end:
            message.live[segment.number] = message.live.get(segment.number, 0) + size
            segment.live += size
            self.live += size
        message.residue.add(segment.number)
        segment.messages.add(uid)
        if end:
            self._drop_end_if_unneeded(uid, message)

    def _drop_live(self, message: MessageRecords) -> None:
        for number, size in message.live.items():
            self.segments[number].live -= size
            self.live -= size
        message.live.clear()

    def _drop_end_if_unneeded(self, uid: int, message: MessageRecords) -> None:
        """An end is not needed any more once no other segment has a record of its message."""
        if message.ended and message.residue <= set(message.live):
            self._drop_live(message)

    def orphan(self, uid: int) -> None:
        """A message's records are of no use, as its first is lost."""
        message = self.messages[uid]
        message.ended = True
        self._drop_live(message)

    def freed(self, number: int) -> None:
        """An empty segment is removed: the manifest does not name it any more."""
        segment = self.segments.pop(number)
        self.used -= self._segments_for(segment.size)
        assert segment.live == 0 and segment is not self.active, "a segment that is needed"
        for uid in segment.messages:
            message = self.messages[uid]
            message.residue.discard(number)
            if not message.residue:
                del self.messages[uid]
            else:
                self._drop_end_if_unneeded(uid, message)

    # Policy ----------------------------------------------------------------------------------

    def fits(self, size: int) -> bool:
        """May a new message of so many bytes be accepted?"""
        return self.live + size <= self.max_live

    def ends_only(self) -> bool:
        """Is there space for ends alone?"""
        return self.live > TIGHT_SHARE / LIVE_SHARE * self.max_live

    def is_full_for(self, size: int) -> bool:
        """Is the active segment too full for a record of that size?"""
        assert self.active is not None
        return self.active.size + size > self.segment_size

    def may_open(self, purpose: int, size: int = 0) -> bool:
        """May another segment be opened for NEW messages, for records of OPEN ones, or for CLEANING?

        The last free one is for cleaning alone, which frees more; the one before is for messages that are open already.
        A record of ``size`` bytes that is longer than a segment has one of its own, in the space of several.
        """
        return self.free() - self._segments_for(size) + 1 > purpose

    def _segments_for(self, size: int) -> int:
        return max(1, -(-size // self.segment_size))

    def free(self) -> int:
        """Segments that the budget still has space for."""
        return self.max_segments - self.used

    def empty(self) -> list[int]:
        """Segments without live bytes."""
        return [one.number for one in self.segments.values() if one.live == 0 and one is not self.active]

    def victim(self, seq: int) -> int | None:
        """The segment to clean next, if it is time: by benefit times age over cost; None if there is none worth it.

        Rosenblum and Ousterhout 1992, section 3.5: with u the share of a segment that is live, reading and copying
        cost 1 + u and free 1 - u; an older one has had its time to empty by itself.
        """
        if self.free() > FREE_LOW:
            return None
        best, found = 0.0, None
        for one in self.segments.values():
            if one is self.active:
                continue
            used = one.live / max(one.size, 1)
            benefit = (1 - used) * (seq - one.last + 1) / (1 + used)
            if benefit > best:
                best, found = benefit, one.number
        return found

    def live_messages(self, number: int) -> list[tuple[int, bool]]:
        """What must be copied out of a segment: messages, and whether it is an end alone."""
        return [
            (uid, self.messages[uid].ended)
            for uid in sorted(self.segments[number].messages)
            if number in self.messages[uid].live
        ]

    def bytes_to_clean(self, written: int) -> int:
        """Bytes to copy after so many were written, so that cleaning keeps ahead of the writers."""
        free = self.free()
        if free > FREE_LOW:
            return 0
        return written * 4 + self.segment_size // 16 if free > 1 else max(written * 8, self.segment_size)
