"""What lies where in the segments, and what to do about it: pure, without files, the same in service and in the model.

Two things are counted of every segment. *Live* bytes hold what a reader needs: of an open message the records since its
state was last written whole, of an ended one its end, as long as another segment holds a record of it. *Residue* is any
record of a message, live or dead: it could bring an ended message back, were its end gone first.

A segment is emptied by carrying what is live forward: a message's state as one record, which makes dead whatever was
written of it before, and ends as they are. It is then free, in any order.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from lynxscale.relay.journal.format import END, HEAD_SIZE, MESSAGE, Record, Row

ROUND = 4096  # bytes: a file takes whole blocks
LIVE_SHARE = 0.5  # of the budget for open messages: what cleaning needs besides grows without bound towards 1
TIGHT_SHARE = 0.75  # beyond it not even tries are recorded: ends need the rest
NEW, OPEN, CLEANING = 2, 1, 0  # so many segments must stay free when another is opened for them
SEGMENTS = 24  # that the budget is parted into
LEAST_SEGMENT, MOST_SEGMENT = 4 * ROUND, 64 << 20
FREE_LOW = 3  # so few free segments or less: one is cleaned


def blocks(size: int) -> int:
    """Bytes that a file of that size takes."""
    return -(-size // ROUND) * ROUND


@dataclass(slots=True)
class Segment:
    """``live``: bytes that a reader needs; ``last``: the sequence number of its newest record."""

    number: int
    first: int
    size: int = 0
    live: int = 0
    last: int = 0
    sealed: bool = False
    messages: set[int] = field(default_factory=set)  # with any record here


@dataclass(slots=True)
class Held:
    """Where a message's records lie. ``live`` of an ended one has its end alone."""

    live: dict[int, int] = field(default_factory=dict)  # segment: bytes
    residue: set[int] = field(default_factory=set)  # segments
    ended: bool = False


class Plan:
    """The account. ``budget``: bytes that all files may take, in whole blocks."""

    def __init__(self, budget: int) -> None:
        self.segment_size = min(MOST_SEGMENT, max(LEAST_SEGMENT, budget // SEGMENTS // ROUND * ROUND))
        # The manifest's two generations, the reserve and the lock take a part of the budget.
        self._all_segments = max(4, (budget - 4 * ROUND) // self.segment_size - 1)
        self.most_segments = self.most_live = 0
        self.allot(1.0)
        self.segments: dict[int, Segment] = {}
        self.held: dict[int, Held] = {}
        self.live = 0
        self.used = 0  # segments' room that is taken, with that of longer ones
        self.active: Segment | None = None

    def allot(self, share: float) -> None:
        """Keep within a share of the budget from now on: another journal has the rest."""
        self.most_segments = max(4, int(self._all_segments * share))
        self.most_live = int(LIVE_SHARE * self.most_segments * self.segment_size)

    def restore(self, rows: Iterable[Row], found: Iterable[tuple[int, Record]], sizes: Mapping[int, int]) -> None:
        """Account for what a recovery found: rows by their first record, records by segment, and whole sizes."""
        placed: dict[int, list[Record]] = {}
        for number, one in found:
            placed.setdefault(number, []).append(one)
        for row in rows:
            self.opened(row.number, row.first, HEAD_SIZE)
            for one in placed.get(row.number, ()):
                self.wrote(one.uid, one.seq, one.size, whole=one.kind == MESSAGE, end=one.kind == END)
            self.sized(self.segments[row.number], max(HEAD_SIZE, sizes.get(row.number, row.sealed)))

    # What was done -------------------------------------------------------------------------------

    def opened(self, number: int, first: int, size: int) -> None:
        """A new segment is written from now on; the one before is closed."""
        if self.active is not None:
            self.active.sealed = True
        self.active = self.segments[number] = Segment(number, first, size, last=first - 1)
        self.used += 1

    def sized(self, segment: Segment, size: int) -> None:
        """A segment has so many bytes."""
        if size > self.segment_size or segment.size > self.segment_size:
            self.used += self._places(size) - self._places(segment.size)
        segment.size = size

    def wrote(self, uid: int, seq: int, size: int, *, whole: bool = False, end: bool = False) -> None:
        """A record of a message is in the active segment."""
        segment = self.active
        assert segment is not None
        self.sized(segment, segment.size + size)
        if seq > segment.last:
            segment.last = seq
        held = self.held.get(uid)
        if held is None:
            held = self.held[uid] = Held()
        if whole or end:
            self._dead(held)
        if end:
            held.ended = True
        if not held.ended or end:
            held.live[segment.number] = held.live.get(segment.number, 0) + size
            segment.live += size
            self.live += size
        held.residue.add(segment.number)
        segment.messages.add(uid)
        if end:
            self._settle(uid, held)

    def _dead(self, held: Held) -> None:
        for number, size in held.live.items():
            self.segments[number].live -= size
            self.live -= size
        held.live.clear()

    def _settle(self, uid: int, held: Held) -> None:
        """An end is needed no more once no other segment has a record of its message."""
        if held.ended and held.residue <= set(held.live):
            self._dead(held)

    def orphan(self, uid: int) -> None:
        """Nothing can be made of a message's records, as its first is lost."""
        held = self.held[uid]
        held.ended = True
        self._dead(held)

    def freed(self, number: int) -> None:
        """An empty segment is no more: the manifest does not name it."""
        segment = self.segments.pop(number)
        self.used -= self._places(segment.size)
        assert segment.live == 0 and segment is not self.active, "a segment that is needed"
        for uid in segment.messages:
            held = self.held[uid]
            held.residue.discard(number)
            if not held.residue:
                del self.held[uid]
            else:
                self._settle(uid, held)

    # What to do ----------------------------------------------------------------------------------

    def fits(self, size: int) -> bool:
        """May a new message of so many bytes be taken on?"""
        return self.live + size <= self.most_live

    def tight(self) -> bool:
        """Is there room for ends alone?"""
        return self.live > TIGHT_SHARE / LIVE_SHARE * self.most_live

    def must_turn(self, size: int) -> bool:
        """Is the active segment too full for a record of that size?"""
        assert self.active is not None
        return self.active.size + size > self.segment_size

    def may_open(self, what: int, size: int = 0) -> bool:
        """May another segment be opened for NEW messages, for records of OPEN ones, or for CLEANING?

        The last free one is cleaning's alone, which gives back more; the one before is for what is held already. A
        record of ``size`` bytes that is longer than a segment has one of its own, in the room of several.
        """
        return self.free() - self._places(size) + 1 > what

    def _places(self, size: int) -> int:
        return max(1, -(-size // self.segment_size))

    def free(self) -> int:
        """Segments that the budget still has room for."""
        return self.most_segments - self.used

    def empty(self) -> list[int]:
        """Segments that nobody needs."""
        return [one.number for one in self.segments.values() if one.live == 0 and one is not self.active]

    def victim(self, seq: int) -> int | None:
        """The segment to clean next, if it is time: by gain times age over cost; None if there is none worth it.

        Rosenblum and Ousterhout 1992, section 3.5: with u the share of a segment that is live, reading and carrying
        cost 1 + u and give back 1 - u; an older one has had its time to empty by itself.
        """
        if self.free() > FREE_LOW:
            return None
        best, found = 0.0, None
        for one in self.segments.values():
            if one is self.active:
                continue
            used = one.live / max(one.size, 1)
            worth = (1 - used) * (seq - one.last + 1) / (1 + used)
            if worth > best:
                best, found = worth, one.number
        return found

    def needed(self, number: int) -> Iterable[tuple[int, bool]]:
        """What must be carried out of a segment: messages, and whether it is an end alone."""
        return [
            (uid, self.held[uid].ended)
            for uid in sorted(self.segments[number].messages)
            if number in self.held[uid].live
        ]

    def slice(self, wrote: int) -> int:
        """Bytes to carry after so many were written, so that cleaning keeps ahead of the writers."""
        free = self.free()
        if free > FREE_LOW:
            return 0
        return wrote * 4 + self.segment_size // 16 if free > 1 else max(wrote * 8, self.segment_size)
