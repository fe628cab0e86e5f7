"""From the bytes of the segments to the open messages: pure, and the same in service, in the tools and in the model.

Records are applied in the order of their sequence numbers. A gap is a range of records that were written and cannot be
read. What follows a gap is read all the same; but a message whose complete state was last written before the gap's end
may have lost the record of an attempt, so it counts as possibly executed since it was accepted: what must not take
effect twice is not sent again.
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from typing import NamedTuple

from lynxscale.relay.exceptions import JournalFormatError, JournalVersionError
from lynxscale.relay.journal.layout import SEGMENT_HEADER_SIZE, Manifest, ManifestRow, decode_segment_header
from lynxscale.relay.journal.records import (
    MESSAGE,
    UID,
    Entry,
    Record,
    apply_record,
    find_next_record,
    read_records,
)


class Gap(NamedTuple):
    """Records that cannot be read: after ``after`` and before ``before`` (None: to the segment's end), and why."""

    segment: int
    after: int
    before: int | None
    reason: str

    def __str__(self) -> str:
        until = f"before {self.before}" if self.before is not None else "to its end"
        return f"segment {self.segment}: records after {self.after}, {until}, cannot be read: {self.reason}"


@dataclass(slots=True)
class RecoveryResult:
    """What the segments hold. Messages are keyed by uid, sizes (in bytes, of complete records) and salts by segment."""

    entries: dict[int, Entry] = field(default_factory=dict)
    gaps: list[Gap] = field(default_factory=list)
    doubtful: list[int] = field(default_factory=list)  # messages that a gap may have hidden an attempt of
    sizes: dict[int, int] = field(default_factory=dict)
    salts: dict[int, int] = field(default_factory=dict)
    records: list[tuple[int, Record]] = field(default_factory=list)  # with their segment; payloads are cut to the uid
    next_seq: int = 1
    next_number: int = 1


def recover(manifest: Manifest, segments: Mapping[int, bytes]) -> RecoveryResult:
    """``segments``: bytes by number, of those that could be read. Raises JournalVersionError."""
    result = RecoveryResult()
    state_seqs: dict[int, int] = {}  # message: sequence number of its last complete state
    newest = max((row.first_seq for row in manifest.rows), default=0)
    last_applied = 0
    for row in sorted(manifest.rows, key=lambda row: row.first_seq):
        result.next_number = max(result.next_number, row.number + 1)
        result.next_seq = max(result.next_seq, row.first_seq)
        is_active = row.first_seq == newest and not row.sealed_size
        for record in _segment_records(row, segments.get(row.number), is_active, result):
            result.next_seq = max(result.next_seq, record.seq + 1)
            result.records.append((row.number, record._replace(payload=record.payload[: UID.size])))
            if record.seq <= last_applied:
                continue  # a copy of a segment, left by a crash between two renames
            last_applied = record.seq
            apply_record(result.entries, record)
            if record.kind == MESSAGE:
                state_seqs[record.uid] = record.seq
    _mark_doubtful(result, state_seqs)
    return result


def _segment_records(row: ManifestRow, data: bytes | None, is_active: bool, result: RecoveryResult) -> Iterator[Record]:
    """A segment's records; adds its gaps, its salt and its size to the result."""
    salt = _salt(row, data, is_active, result)
    if data is None or salt is None:
        return
    if row.sealed_size:
        data = data[: row.sealed_size]  # what follows was torn when its process died
    result.salts[row.number] = salt
    offset, expected = SEGMENT_HEADER_SIZE, row.first_seq
    while True:
        for record in read_records(data, offset, salt):
            if record.seq < expected:
                break  # not a record of this segment's sequence
            if record.seq > expected:
                result.gaps.append(Gap(row.number, expected - 1, record.seq, "their numbers are passed over"))
            yield record
            expected = record.seq + 1
            offset += record.size
        if row.sealed_size and offset >= row.sealed_size:
            break
        next_offset = find_next_record(data, offset + 1, expected - 1, salt) if offset < len(data) else None
        if next_offset is None:
            if row.sealed_size or not is_active:  # else a torn tail, where the process died
                result.gaps.append(Gap(row.number, expected - 1, None, _end_reason(row, offset)))
            break
        next_record = next(read_records(data, next_offset, salt))
        result.gaps.append(Gap(row.number, expected - 1, next_record.seq, f"damaged at byte {offset}"))
        offset, expected = next_offset, next_record.seq
    result.sizes[row.number] = offset


def _end_reason(row: ManifestRow, offset: int) -> str:
    """Why a segment cannot be read from ``offset`` on."""
    if row.sealed_size:
        return f"damaged at byte {offset} of {row.sealed_size}"
    return f"it ends at byte {offset} without having been closed"


def _salt(row: ManifestRow, data: bytes | None, is_active: bool, result: RecoveryResult) -> int | None:
    """A segment's salt, from its header; None where it cannot be read, which adds a gap if records may be lost."""
    if data is None or (not data and not is_active):
        result.gaps.append(Gap(row.number, row.first_seq - 1, None, "it is missing"))
        return None
    try:
        number, first_seq, salt = decode_segment_header(data)
    except JournalVersionError as error:
        raise JournalVersionError(f"segment {row.number}: {error}") from None
    except JournalFormatError as error:
        reason = str(error)
    else:
        if (number, first_seq) == (row.number, row.first_seq):
            return salt
        reason = f"it is segment {number} from record {first_seq} on, the manifest says {row.first_seq}"
    if not (is_active and len(data) < SEGMENT_HEADER_SIZE):  # a header that was cut short: it has no records yet
        result.gaps.append(Gap(row.number, row.first_seq - 1, None, reason))
    return None


def _mark_doubtful(result: RecoveryResult, state_seqs: Mapping[int, int]) -> None:
    """Guards against a second effect: the record of an attempt may be among what was lost."""
    for gap in result.gaps:
        before = gap.before if gap.before is not None else _first_seq_after(gap, result)
        for uid, entry in result.entries.items():
            if state_seqs[uid] < before and uid not in result.doubtful and entry.outcome is None:
                result.doubtful.append(uid)
                entry.attempts += 1
                entry.may_have_run.insert(0, entry.accepted_at)


def _first_seq_after(gap: Gap, result: RecoveryResult) -> int:
    """The first record that can be read after a gap that reaches to its segment's end."""
    return min((record.seq for _segment, record in result.records if record.seq > gap.after), default=result.next_seq)
