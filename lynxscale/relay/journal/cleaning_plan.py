"""Space accounting of the segments, and the cleaning policy. Pure: the relay and the model use the same code.

Two things are tracked per segment. *Live* bytes are those that recovery needs: for an open message, the records since
its last complete state; for a completed one, its COMPLETED record, as long as another segment still has a record of
the message. *Residue* is every record of a message, live or dead: a COMPLETED record must outlast the residue in other
segments, which would otherwise make recovery reopen the completed message.

Cleaning copies the live records of a segment into the active one: the state of an open message as a single record,
which makes all its earlier records dead, and COMPLETED records unchanged. The segment can then be removed; segments
need not be removed in the order in which they were written.

The log and its cleaning policy follow M. Rosenblum and J. Ousterhout, "The Design and Implementation of a
Log-Structured File System" (1992).
"""

from __future__ import annotations

from collections.abc import Container, Iterable, Mapping
from dataclasses import dataclass, field

from lynxscale.relay.journal.layout import SEGMENT_HEADER_SIZE, ManifestRow
from lynxscale.relay.journal.records import COMPLETED, MESSAGE, Record

BLOCK_SIZE = 4096  # bytes; files are allocated in blocks of this size
# Share of the budget for open messages; the cost of cleaning grows without bound as it nears 1.
MAX_LIVE_SHARE = 0.5
# Share of the budget above which attempts are not recorded, to leave space for COMPLETED records.
MAX_SHARE_WITH_ATTEMPTS = 0.75
# Free segments that must remain after another one is opened, by its purpose: new messages, records of open messages,
# cleaning.
RESERVE_NEW, RESERVE_OPEN, RESERVE_CLEANING = 2, 1, 0
TARGET_SEGMENTS = 24  # the segment size is the budget divided by this
MIN_SEGMENT_SIZE, MAX_SEGMENT_SIZE = 4 * BLOCK_SIZE, 64 << 20  # bytes
MIN_SEGMENTS = 4  # even if the budget is smaller
MIN_FREE_SEGMENTS = 3  # cleaning runs while there are this many free segments or fewer


def allocated_size(size: int) -> int:
    """Bytes of disk space that a file of ``size`` bytes takes."""
    return -(-size // BLOCK_SIZE) * BLOCK_SIZE


@dataclass(slots=True)
class Segment:
    """Space accounting of one segment. ``size`` and ``live`` (what recovery needs) are in bytes.

    ``first_seq`` and ``last_seq`` are the sequence numbers of its oldest and newest record.
    """

    number: int
    first_seq: int
    size: int = 0
    live: int = 0
    last_seq: int = 0
    sealed: bool = False
    messages: set[int] = field(default_factory=set)  # uids of the messages with any record here


@dataclass(slots=True)
class MessageRecords:
    """Which segments hold records of a message. Of a completed message, only the COMPLETED record can be live."""

    live: dict[int, int] = field(default_factory=dict)  # live bytes by segment number
    residue: set[int] = field(default_factory=set)  # numbers of the segments with any record of the message
    completed: bool = False


class CleaningPlan:
    """Tracks the segments' live bytes and decides when and what to clean.

    ``budget``: bytes that all files may take, counted in complete blocks.
    """

    def __init__(self, budget: int) -> None:
        size = budget // TARGET_SEGMENTS // BLOCK_SIZE * BLOCK_SIZE
        self.segment_size = min(MAX_SEGMENT_SIZE, max(MIN_SEGMENT_SIZE, size))
        # Four blocks are left out: the two manifest files, the temporary file that replaces one, and the lock file.
        self._all_segments = max(MIN_SEGMENTS, (budget - 4 * BLOCK_SIZE) // self.segment_size - 1)
        self.max_segments = self.max_live = 0
        self.limit_to_share(1.0)
        self.segments: dict[int, Segment] = {}
        self.messages: dict[int, MessageRecords] = {}  # by uid
        self.live = 0  # bytes in all segments
        self.used_segments = 0  # a segment longer than ``segment_size`` counts as several
        self.active: Segment | None = None

    def limit_to_share(self, share: float) -> None:
        """Use only this share of the budget from now on, because another journal uses the rest."""
        self.max_segments = max(MIN_SEGMENTS, int(self._all_segments * share))
        self.max_live = int(MAX_LIVE_SHARE * self.max_segments * self.segment_size)

    def restore(
        self, rows: Iterable[ManifestRow], records: Iterable[tuple[int, Record]], sizes: Mapping[int, int]
    ) -> None:
        """Rebuild the accounting after recovery.

        ``rows`` are sorted by first record, ``records`` are pairs of a segment number and a record, and ``sizes`` are
        bytes by segment number.
        """
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

    # Updates -------------------------------------------------------------------------------------

    def segment_opened(self, number: int, first_seq: int, size: int) -> None:
        """Add a new segment and make it the active one; the previous one is sealed."""
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
        """Account for a message's record in the active segment. ``is_state``: it supersedes all earlier records."""
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
        """Mark a COMPLETED record as dead once no other segment has a record of its message."""
        if message.completed and message.residue <= set(message.live):
            self._mark_dead(message)

    def discard_orphans(self, open_messages: Container[int]) -> None:
        """Mark as dead the records of messages that cannot be recovered because their first record is lost."""
        for uid, message in self.messages.items():
            if not message.completed and uid not in open_messages:
                message.completed = True
                self._mark_dead(message)

    def segment_removed(self, number: int) -> None:
        """Drop a segment without live records that is no longer in the manifest."""
        segment = self.segments.pop(number)
        self.used_segments -= self._segments_for(segment.size)
        assert segment.live == 0 and segment is not self.active, "the segment is still in use"
        for uid in segment.messages:
            message = self.messages[uid]
            message.residue.discard(number)
            if not message.residue:
                del self.messages[uid]
            else:
                self._drop_unneeded_completion(message)

    # Decisions -----------------------------------------------------------------------------------

    def has_room_for(self, size: int) -> bool:
        """Whether a new message of ``size`` bytes may be accepted."""
        return self.live + size <= self.max_live

    def only_completions_fit(self) -> bool:
        """Whether the remaining space is reserved for COMPLETED records."""
        return self.live > MAX_SHARE_WITH_ATTEMPTS / MAX_LIVE_SHARE * self.max_live

    def needs_new_segment(self, size: int) -> bool:
        """Whether the active segment is too full for a record of ``size`` bytes."""
        assert self.active is not None
        return self.active.size + size > self.segment_size

    def can_open_segment(self, reserve: int, size: int = 0) -> bool:
        """Whether another segment may be opened for a record of ``size`` bytes. ``reserve``: a RESERVE constant.

        The last free segment is reserved for cleaning, which frees more than it takes; the one before it is reserved
        for records of messages that are already open. A record longer than a segment gets a segment of its own, which
        takes the space of several.
        """
        return self.free_segments() - self._segments_for(size) + 1 > reserve

    def _segments_for(self, size: int) -> int:
        return max(1, -(-size // self.segment_size))

    def free_segments(self) -> int:
        """How many more segments fit in the budget."""
        return self.max_segments - self.used_segments

    def empty_segments(self) -> list[int]:
        """Numbers of sealed segments without live records."""
        return [
            segment.number for segment in self.segments.values() if segment.live == 0 and segment is not self.active
        ]

    def choose_victim(self, seq: int) -> int | None:
        """Choose the segment to clean next by benefit over cost; None if cleaning is not due or frees nothing.

        ``seq`` is the next sequence number, from which a segment's age is counted. Rosenblum and Ousterhout 1992,
        section 3.5: with u the utilization of a segment, reading and rewriting it costs 1 + u and frees 1 - u. This
        ratio is weighted by age, because an older segment is less likely to empty further without cleaning.
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
        """The messages with live records in a segment: each one's uid and whether it is completed."""
        return [
            (uid, self.messages[uid].completed)
            for uid in sorted(self.segments[number].messages)
            if number in self.messages[uid].live
        ]

    def cleaning_quota(self, written: int) -> int:
        """Bytes to copy after ``written`` bytes were appended, so that cleaning keeps ahead of the writers."""
        free = self.free_segments()
        if free > MIN_FREE_SEGMENTS:
            return 0
        if free > 1:
            return written * 4 + self.segment_size // 16
        return max(written * 8, self.segment_size)
