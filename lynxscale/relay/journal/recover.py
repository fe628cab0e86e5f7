"""Recovery: from a folder's bytes to open messages; pure, and the same in service, in the tools and in the model.

Records are applied by rising sequence number. A gap is a run of records that were written and cannot be read. What
follows one is read all the same; but a message whose complete state was last written before the gap's end may have
lost an attempt, so it counts as one that may have run since it was accepted: what must not take effect twice is not
sent again.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from lynxscale.relay.exceptions import JournalFormatError, JournalVersionError
from lynxscale.relay.journal.format import (
    HEAD_SIZE,
    MESSAGE,
    UID,
    Entry,
    Manifest,
    Record,
    Row,
    apply_record,
    decode_segment_head,
    find_next_record,
    read_records,
)


class Gap(NamedTuple):
    """Records that cannot be read: after ``after`` and before ``before`` (None: all from there on), and why."""

    segment: int
    after: int
    before: int | None
    reason: str

    def __str__(self) -> str:
        until = f"before {self.before}" if self.before is not None else "to its end"
        return f"segment {self.segment}: records after {self.after}, {until}, cannot be read: {self.reason}"


@dataclass(slots=True)
class Recovered:
    """What was found.

    ``doubtful``: messages that may have lost an attempt; ``sizes``: up to where each segment has complete records;
    ``found``: the records by segment.
    """

    entries: dict[int, Entry] = field(default_factory=dict)
    gaps: list[Gap] = field(default_factory=list)
    doubtful: list[int] = field(default_factory=list)
    sizes: dict[int, int] = field(default_factory=dict)
    salts: dict[int, int] = field(default_factory=dict)
    found: list[tuple[int, Record]] = field(default_factory=list)  # by segment, without their payloads
    next_seq: int = 1
    next_number: int = 1


def recover(manifest: Manifest, segments: Mapping[int, bytes]) -> Recovered:
    """``segments``: bytes by number, of those that could be read. Raises JournalVersionError for a newer version."""
    out = Recovered()
    complete_at: dict[int, int] = {}  # by message: sequence number of its last complete state
    newest = max((row.first for row in manifest.rows), default=0)
    seen = 0
    for row in sorted(manifest.rows, key=lambda row: row.first):
        out.next_number = max(out.next_number, row.number + 1)
        out.next_seq = max(out.next_seq, row.first)
        for one in _segment(row, segments.get(row.number), row.first == newest and not row.sealed, out):
            out.next_seq = max(out.next_seq, one.seq + 1)
            out.found.append((row.number, one._replace(payload=one.payload[: UID.size])))
            if one.seq <= seen:
                continue  # a duplicate of a segment, left by a crash between two renames
            seen = one.seq
            apply_record(out.entries, one)
            if one.kind == MESSAGE:
                complete_at[one.uid] = one.seq
    _mark_doubtful(out, complete_at)
    return out


def _segment(row: Row, data: bytes | None, last: bool, out: Recovered) -> Iterator[Record]:
    """A segment's records; gaps and sizes are added to ``out``."""
    if data is None or (not data and not last):
        out.gaps.append(Gap(row.number, row.first - 1, None, "it is missing"))
        return
    try:
        number, first, salt = decode_segment_head(data)
        if (number, first) != (row.number, row.first):
            raise JournalFormatError(f"it is segment {number} from record {first} on, the manifest says {row.first}")
    except JournalVersionError as error:
        raise JournalVersionError(f"segment {row.number}: {error}") from None
    except JournalFormatError as error:
        if not (last and len(data) < HEAD_SIZE):  # a head that was cut short holds nothing yet
            out.gaps.append(Gap(row.number, row.first - 1, None, str(error)))
        return
    if row.sealed:
        data = data[: row.sealed]  # what follows was torn when its process died
    out.salts[row.number] = salt
    at, expected = HEAD_SIZE, row.first
    while True:
        for one in read_records(data, at, salt):
            if one.seq != expected:
                if one.seq < expected:
                    break  # not a record of this segment
                out.gaps.append(Gap(row.number, expected - 1, one.seq, "their numbers are passed over"))
            yield one
            expected = one.seq + 1
            at += one.size
        if row.sealed and at >= row.sealed:
            break
        resumed = find_next_record(data, at + 1, expected - 1, salt) if at < len(data) else None
        if resumed is None:
            if row.sealed:
                out.gaps.append(Gap(row.number, expected - 1, None, f"damaged at byte {at} of {row.sealed}"))
            elif not last:
                out.gaps.append(Gap(row.number, expected - 1, None, f"it ends at byte {at} without having been closed"))
            break  # else a torn tail, where the process died
        following = next(read_records(data, resumed, salt))
        out.gaps.append(Gap(row.number, expected - 1, following.seq, f"damaged at byte {at}"))
        at, expected = resumed, following.seq
    out.sizes[row.number] = at


def _mark_doubtful(out: Recovered, complete_at: Mapping[int, int]) -> None:
    """Guards against a second effect: an attempt of theirs may be among what was lost."""
    for gap in out.gaps:
        before = gap.before if gap.before is not None else _first_after(gap, out)
        for uid, entry in out.entries.items():
            if complete_at[uid] < before and uid not in out.doubtful and entry.final is None:
                out.doubtful.append(uid)
                entry.attempts += 1
                entry.may_have_run.insert(0, entry.accepted_at)


def _first_after(gap: Gap, out: Recovered) -> int:
    """The first record that can be read after a gap that reaches to its segment's end."""
    return min((one.seq for _segment, one in out.found if one.seq > gap.after), default=out.next_seq)
