"""The account of the segments and the cleaning policy: pure, the same in service and in the model.

Two things are counted of each segment. *Live* bytes are what recovery needs: of an open message the records since its
last complete state, of a completed one its COMPLETED record, as long as another segment has a record of it. *Residue*
is any record of a message, live or dead: it could bring a completed message back, were its COMPLETED record removed
first.

A segment is emptied by carrying live records forward: a message's state as one record, which makes dead whatever was
written of it before, and COMPLETED records as they are. It is then free, in any order.

The log and its cleaning policy follow M. Rosenblum and J. Ousterhout, "The Design and Implementation of a
Log-Structured File System" (1992).
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field

from lynxscale.relay.journal.layout import SEGMENT_HEADER_SIZE, ManifestRow
from lynxscale.relay.journal.records import COMPLETED, MESSAGE, Record

BLOCK_SIZE = 4096  # bytes: a file takes complete blocks
MAX_LIVE_SHARE = 0.5  # of the budget for open messages: what cleaning needs besides grows without bound towards 1
MAX_SHARE_WITH_ATTEMPTS = 0.75  # beyond it attempts are not recorded: COMPLETED records need the rest
# Free segments that must remain when another is opened: for new messages, for records of open ones, for cleaning.
RESERVE_NEW, RESERVE_OPEN, RESERVE_CLEANING = 2, 1, 0
TARGET_SEGMENTS = 24  # that the budget is divided into
MIN_SEGMENT_SIZE, MAX_SEGMENT_SIZE = 4 * BLOCK_SIZE, 64 << 20
MIN_SEGMENTS = 4  # however small the budget
MIN_FREE_SEGMENTS = 3  # at so few free segments or fewer, one is cleaned


def allocated_size(size: int) -> int:
    """Bytes that a file of ``size`` bytes takes."""
    return -(-size // BLOCK_SIZE) * BLOCK_SIZE


@dataclass(slots=True)
class Segment:
    """A segment; sizes in bytes. ``live``: bytes that recovery needs; ``last_seq``: of its newest record."""

    number: int
    first_seq: int
    size: int = 0
    live: int = 0
    last_seq: int = 0
    sealed: bool = False
    messages: set[int] = field(default_factory=set)  # with any record here, by uid


@dataclass(slots=True)
class MessageRecords:
    """Where a message's records are. The only live record of a completed one is its COMPLETED."""

    live: dict[int, int] = field(default_factory=dict)  # segment: bytes
    residue: set[int] = field(default_factory=set)  # segments
    completed: bool = False


class CleaningPlan:
    """The account of the segments. ``budget``: bytes that all files may take, in complete blocks."""

    def __init__(self, budget: int) -> None:
        size = budget // TARGET_SEGMENTS // BLOCK_SIZE * BLOCK_SIZE
        self.segment_size = min(MAX_SEGMENT_SIZE, max(MIN_SEGMENT_SIZE, size))
        # The manifest's two files, the one that replaces one of them and the lock take a part of the budget.
        self._all_segments = max(MIN_SEGMENTS, (budget - 4 * BLOCK_SIZE) // self.segment_size - 1)
        self.max_segments = self.max_live = 0
        self.limit_to_share(1.0)
        self.segments: dict[int, Segment] = {}
        self.messages: dict[int, MessageRecords] = {}  # by uid
        self.live = 0  # bytes in all segments
        self.used_segments = 0  # a segment that is longer than the others counts as several
        self.active: Segment | None = None

    def limit_to_share(self, share: float) -> None:
        """Use only this share of the budget from now on: another journal has the rest."""
        self.max_segments = max(MIN_SEGMENTS, int(self._all_segments * share))
        self.max_live = int(MAX_LIVE_SHARE * self.max_segments * self.segment_size)

    def restore(
        self, rows: Iterable[ManifestRow], records: Iterable[tuple[int, Record]], sizes: Mapping[int, int]
    ) -> None:
        """Account for what was recovered: rows by first record, records with their segment, sizes by segment."""
        records_by_segment: dict[int, list[Record]] = {}
        for number, record in records:
            records_by_segment.setdefault(number, []).append(record)
        for row in rows:
            self.segment_opened(row.number, row.first_seq, SEGMENT_HEADER_SIZE)
            for record in records_by_segment.get(row.number, ()):
                is_state, is_completion = record.kind == MESSAGE, record.kind == COMPLETED
                self.record_written(record.uid, record.seq, record.size, is_state=is_state, is_completion=is_completion)
            size = max(SEGMENT_HEADER_SIZE, sizes.get(row.number, row.sealed_size))
            self._set_size(self.segments[row.number], size)

    # What was done -------------------------------------------------------------------------------

    def segment_opened(self, number: int, first_seq: int, size: int) -> None:
        """A new segment is active; the one before is sealed."""
        if self.active is not None:
            self.active.sealed = True
        self.active = self.segments[number] = Segment(number, first_seq, size, last_seq=first_seq - 1)
        self.used_segments += 1

    def _set_size(self, segment: Segment, size: int) -> None:
        if size > self.segment_size or segment.size > self.segment_size:
            self.used_segments += self._segments_for(size) - self._segments_for(segment.size)
        segment.size = size

    def record_written(
        self, uid: int, seq: int, size: int, *, is_state: bool = False, is_completion: bool = False
    ) -> None:
        """A record of a message is in the active segment; ``is_state``: it replaces the records before."""
        segment = self.active
        assert segment is not None
        self._set_size(segment, segment.size + size)
        if seq > segment.last_seq:
            segment.last_seq = seq
        message = self.messages.get(uid)
        if message is None:
            message = self.messages[uid] = MessageRecords()
        if is_state or is_completion:
            self._mark_dead(message)
        if is_completion:
            message.completed = True
        if not message.completed or is_completion:
            message.live[segment.number] = message.live.get(segment.number, 0) + size
            segment.live += size
            self.live += size
        message.residue.add(segment.number)
        segment.messages.add(uid)
        if is_completion:
            self._drop_unneeded_completion(message)

    def _mark_dead(self, message: MessageRecords) -> None:
        for number, size in message.live.items():
            self.segments[number].live -= size
            self.live -= size
        message.live.clear()

    def _drop_unneeded_completion(self, message: MessageRecords) -> None:
        """A COMPLETED record is not needed once no other segment has a record of its message."""
        if message.completed and message.residue <= set(message.live):
            self._mark_dead(message)

    def discard_orphans(self, open_messages: Container[int]) -> None:
        """Mark as dead the records of messages that cannot be recovered, as their first record is lost."""
        for uid, message in self.messages.items():
            if not message.completed and uid not in open_messages:
                message.completed = True
                self._mark_dead(message)

    def segment_removed(self, number: int) -> None:
        """An empty segment is no longer in the manifest."""
        segment = self.segments.pop(number)
        self.used_segments -= self._segments_for(segment.size)
        assert segment.live == 0 and segment is not self.active, "a segment that is needed"
        for uid in segment.messages:
            message = self.messages[uid]
            message.residue.discard(number)
            if not message.residue:
                del self.messages[uid]
            else:
                self._drop_unneeded_completion(message)

    # What to do ----------------------------------------------------------------------------------

    def has_room_for(self, size: int) -> bool:
        """May a new message of ``size`` bytes be accepted?"""
        return self.live + size <= self.max_live

    def only_completions_fit(self) -> bool:
        """Is the remaining space reserved for COMPLETED records?"""
        return self.live > MAX_SHARE_WITH_ATTEMPTS / MAX_LIVE_SHARE * self.max_live

    def needs_new_segment(self, size: int) -> bool:
        """Is the active segment too full for a record of ``size`` bytes?"""
        assert self.active is not None
        return self.active.size + size > self.segment_size

    def can_open_segment(self, reserve: int, size: int = 0) -> bool:
        """May another segment be opened? ``reserve``: one of the RESERVE constants.

        The last free one is for cleaning alone, which gives back more; the one before is for messages that are open
        already. A record of ``size`` bytes that is longer than a segment has one of its own, in the space of several.
        """
        return self.free_segments() - self._segments_for(size) + 1 > reserve

    def _segments_for(self, size: int) -> int:
        return max(1, -(-size // self.segment_size))

    def free_segments(self) -> int:
        """Segments that still fit in the budget."""
        return self.max_segments - self.used_segments

    def empty_segments(self) -> list[int]:
        """Numbers of sealed segments without live records."""
        return [
            segment.number for segment in self.segments.values() if segment.live == 0 and segment is not self.active
        ]

    def choose_victim(self, seq: int) -> int | None:
        """The segment to clean next, if it is time: by benefit over cost; None if none is worth it.

        ``seq``: the next sequence number, from which a segment's age is counted. Rosenblum and Ousterhout 1992,
        section 3.5: with u the utilization of a segment, reading and rewriting cost 1 + u and free 1 - u; that is
        weighted by age, as an older one has had its time to empty by itself.
        """
        if self.free_segments() > MIN_FREE_SEGMENTS:
            return None
        best, victim = 0.0, None
        for segment in self.segments.values():
            if segment is self.active:
                continue
            utilization = segment.live / max(segment.size, 1)
            benefit = (1 - utilization) * (seq - segment.last_seq + 1) / (1 + utilization)
            if benefit > best:
                best, victim = benefit, segment.number
        return victim

    def live_messages(self, number: int) -> list[tuple[int, bool]]:
        """Messages with live records in a segment, by uid, and whether each is completed."""
        return [
            (uid, self.messages[uid].completed)
            for uid in sorted(self.segments[number].messages)
            if number in self.messages[uid].live
        ]

    def cleaning_quota(self, written: int) -> int:
        """Bytes to carry forward after ``written`` bytes, so that cleaning stays ahead of the writers."""
        free = self.free_segments()
        if free > MIN_FREE_SEGMENTS:
            return 0
        if free > 1:
            return written * 4 + self.segment_size // 16
        return max(written * 8, self.segment_size)
