"""Recovers the open messages from the bytes of the segments. Pure: the relay, the tools and the model share this code.

Records are applied in the order of their sequence numbers. A gap is a range of records that were written but cannot be
read. Records after a gap are still read. However, a message whose complete state was last written before the end of
the gap may have lost the record of an attempt. Such a message is marked as possibly executed since it was accepted, so
that a message that must not take effect twice is not sent again.
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
    """A range of records that cannot be read, and why.

    ``after`` and ``before`` are the sequence numbers just outside the range; ``before`` is None if it reaches to the
    segment's end.
    """

    segment: int
    after: int
    before: int | None
    reason: str

    def __str__(self) -> str:
        end = f"before {self.before}" if self.before is not None else "to its end"
        return f"segment {self.segment}: records after {self.after}, {end}, cannot be read: {self.reason}"


@dataclass(slots=True)
class RecoveryResult:
    """The contents of the segments.

    Messages are keyed by uid. ``sizes`` (bytes up to the end of the last valid record) and ``salts`` are keyed by
    segment number.
    """

    entries: dict[int, Entry] = field(default_factory=dict)
    gaps: list[Gap] = field(default_factory=list)
    doubtful: list[int] = field(default_factory=list)  # uids of messages of which a gap may hide an attempt
    sizes: dict[int, int] = field(default_factory=dict)
    salts: dict[int, int] = field(default_factory=dict)
    records: list[tuple[int, Record]] = field(default_factory=list)  # segment number and record, its payload only a uid
    next_seq: int = 1
    next_number: int = 1


def recover(manifest: Manifest, segments: Mapping[int, bytes]) -> RecoveryResult:
    """Recover the open messages. ``segments``: the bytes of each readable segment by number.

    Raises JournalVersionError if a newer version wrote a segment.
    """
    result = RecoveryResult()
    state_seqs: dict[int, int] = {}  # message: sequence number of its last complete state
    newest_first_seq = max((row.first_seq for row in manifest.rows), default=0)
    last_applied = 0
    for row in sorted(manifest.rows, key=lambda row: row.first_seq):
        result.next_number = max(result.next_number, row.number + 1)
        result.next_seq = max(result.next_seq, row.first_seq)
        is_active = row.first_seq == newest_first_seq and not row.sealed_size
        for record in _segment_records(row, segments.get(row.number), is_active, result):
            result.next_seq = max(result.next_seq, record.seq + 1)
            result.records.append((row.number, record._replace(payload=record.payload[: UID.size])))
            if record.seq <= last_applied:
                continue  # already applied: a crash between two renames can leave a second copy of a segment
            last_applied = record.seq
            apply_record(result.entries, record)
            if record.kind == MESSAGE:
                state_seqs[record.uid] = record.seq
    _mark_doubtful(result, state_seqs)
    return result


def _segment_records(row: ManifestRow, data: bytes | None, is_active: bool, result: RecoveryResult) -> Iterator[Record]:
    """Yield a segment's records; add its gaps, its salt and its size to ``result``."""
    salt = _read_salt(row, data, is_active, result)
    if data is None or salt is None:
        return
    if row.sealed_size:
        data = data[: row.sealed_size]  # anything after it is a torn write of a process that died
    result.salts[row.number] = salt
    offset, expected = SEGMENT_HEADER_SIZE, row.first_seq
    while True:
        for record in read_records(data, offset, salt):
            if record.seq < expected:
                break  # a stale record: sequence numbers only rise within a segment
            if record.seq > expected:
                result.gaps.append(Gap(row.number, expected - 1, record.seq, "their sequence numbers are skipped"))
            yield record
            expected = record.seq + 1
            offset += record.size
        if row.sealed_size and offset >= row.sealed_size:
            break
        next_offset = find_next_record(data, offset + 1, expected - 1, salt) if offset < len(data) else None
        if next_offset is None:
            if row.sealed_size or not is_active:  # in the active segment it is a torn write, which is expected
                result.gaps.append(Gap(row.number, expected - 1, None, _end_reason(row, offset)))
            break
        next_record = next(read_records(data, next_offset, salt))
        result.gaps.append(Gap(row.number, expected - 1, next_record.seq, f"damaged at byte {offset}"))
        offset, expected = next_offset, next_record.seq
    result.sizes[row.number] = offset


def _end_reason(row: ManifestRow, offset: int) -> str:
    """Describe why a segment cannot be read from ``offset`` on."""
    if row.sealed_size:
        return f"damaged at byte {offset} of {row.sealed_size}"
    return f"it ends at byte {offset} without having been closed"


def _read_salt(row: ManifestRow, data: bytes | None, is_active: bool, result: RecoveryResult) -> int | None:
    """Read a segment's salt from its header.

    Returns None if the header cannot be read, and adds a gap if records may be lost.
    """
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
        reason = f"its header names segment {number} from record {first_seq} on, the manifest says {row.first_seq}"
    if not (is_active and len(data) < SEGMENT_HEADER_SIZE):  # a truncated header: the segment has no records yet
        result.gaps.append(Gap(row.number, row.first_seq - 1, None, reason))
    return None


def _mark_doubtful(result: RecoveryResult, state_seqs: Mapping[int, int]) -> None:
    """Mark messages of which a gap may hide an attempt as possibly executed, so that they take effect only once."""
    for gap in result.gaps:
        before = gap.before if gap.before is not None else _first_seq_after(gap, result)
        for uid, entry in result.entries.items():
            if state_seqs[uid] < before and uid not in result.doubtful and entry.outcome is None:
                result.doubtful.append(uid)
                entry.attempts += 1
                entry.may_have_run.insert(0, entry.accepted_at)


def _first_seq_after(gap: Gap, result: RecoveryResult) -> int:
    """Sequence number of the first readable record after a gap that reaches to its segment's end."""
    return min((record.seq for _segment, record in result.records if record.seq > gap.after), default=result.next_seq)
