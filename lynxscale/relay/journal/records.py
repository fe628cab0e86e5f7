"""Encoding and decoding of a segment's records, and their effect on the open messages.

The format is described in docs/design/journal.md, "The files". The journal identifies a message by its ``uid``, the
sequence number of its first record. Record kinds are plain ints because they are packed and compared for each record.
"""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import orjson
from crc32c import crc32c

from lynxscale.relay.exceptions import JournalVersionError
from lynxscale.relay.journal.layout import CHECKSUM

RECORD_HEADER = struct.Struct("<IIBQ")  # checksum of what follows, length of the payload, kind, sequence number
UID = struct.Struct("<Q")
ATTEMPT_PAYLOAD = struct.Struct("<Qq")  # uid, Unix time in µs
MESSAGE_PREFIX = struct.Struct("<QI")  # uid, size of the metadata; the metadata as JSON and the body follow
MESSAGE, ATTEMPT, NOT_EXECUTED, OUTCOME, COMPLETED = KINDS = (1, 2, 3, 4, 5)
MAX_PAYLOAD_SIZE = 1 << 20  # bytes; a reader that trusted a corrupt length could exhaust the memory


@dataclass(slots=True)
class Entry:
    """An open message as the journal stores it. Times are Unix time in µs."""

    id: str
    class_name: str
    tenant: str
    key: str
    dest: int
    expires: int
    body: bytes
    attempts: int = 0
    may_have_run: list[int] = field(default_factory=list)  # times of attempts that may have been executed
    outcome: tuple[str, int] | None = None  # status and again_ms of the pending notice, if there is one
    accepted_at: int = 0


class Record(NamedTuple):
    """One record of a segment. ``size`` is in bytes and includes the header."""

    kind: int
    seq: int
    payload: bytes
    size: int

    @property
    def uid(self) -> int:
        """The uid of the message that the record belongs to."""
        return UID.unpack_from(self.payload)[0]


# Encoding --------------------------------------------------------------------------------------------


def encode_record(kind: int, seq: int, payload: bytes, salt: int) -> bytes:
    """Encode a record.

    The checksum is seeded with the segment's salt. A client could otherwise send a body that contains a valid record,
    and a reader that searches for the next record after damage would accept it.
    """
    checksummed = RECORD_HEADER.pack(0, len(payload), kind, seq)[CHECKSUM.size :] + payload
    return CHECKSUM.pack(crc32c(checksummed, salt)) + checksummed


def encode_message(uid: int, entry: Entry) -> bytes:
    """Payload of MESSAGE: a message's complete state, which supersedes all its earlier records."""
    metadata = orjson.dumps(
        [
            entry.accepted_at,
            entry.id,
            entry.class_name,
            entry.tenant,
            entry.key,
            entry.dest,
            entry.expires,
            entry.attempts,
            entry.may_have_run,
            entry.outcome,
        ]
    )
    return MESSAGE_PREFIX.pack(uid, len(metadata)) + metadata + entry.body


def encode_attempt(uid: int, unix: int) -> bytes:
    """Payload of ATTEMPT: an attempt is about to be sent."""
    return ATTEMPT_PAYLOAD.pack(uid, unix)


def encode_not_executed(uid: int, recorded: bool) -> bytes:
    """Payload of NOT_EXECUTED: an attempt was not executed, the last recorded one or one that was not recorded."""
    return UID.pack(uid) + bytes([recorded])


def encode_outcome(uid: int, status: str, again_ms: int) -> bytes:
    """Payload of OUTCOME: the message has an outcome, and its notice is pending."""
    return UID.pack(uid) + orjson.dumps([status, again_ms])


def encode_completed(uid: int) -> bytes:
    """Payload of COMPLETED: no attempt and no notice of the message is pending."""
    return UID.pack(uid)


# Decoding --------------------------------------------------------------------------------------------


def read_records(data: bytes, offset: int, salt: int) -> Iterator[Record]:
    """Yield the records from ``offset`` on, up to the first invalid one.

    Records are contiguous: the offset of the invalid one is ``offset`` plus the sizes of those that were yielded.
    """
    size = len(data)
    while offset + RECORD_HEADER.size <= size:
        checksum, length, kind, seq = RECORD_HEADER.unpack_from(data, offset)
        stop = offset + RECORD_HEADER.size + length
        if length > MAX_PAYLOAD_SIZE or stop > size or crc32c(data[offset + CHECKSUM.size : stop], salt) != checksum:
            return
        yield Record(kind, seq, data[offset + RECORD_HEADER.size : stop], stop - offset)
        offset = stop


def find_next_record(data: bytes, offset: int, above: int, salt: int) -> int | None:
    """Search for the next valid record after damage and return its offset, or None.

    A record is valid if its checksum, seeded with the segment's salt, matches and its sequence number is plausible:
    higher than ``above`` by no more than the data's length.
    """
    for candidate in range(offset, len(data) - RECORD_HEADER.size + 1):
        _checksum, length, kind, seq = RECORD_HEADER.unpack_from(data, candidate)
        if kind not in KINDS or length > MAX_PAYLOAD_SIZE or not above < seq <= above + len(data):
            continue
        stop = candidate + RECORD_HEADER.size + length
        if next(read_records(data[:stop], candidate, salt), None) is not None:
            return candidate
    return None


def decode_message(payload: bytes) -> Entry:
    """Decode the payload of a MESSAGE record."""
    _uid, size = MESSAGE_PREFIX.unpack_from(payload)
    metadata, body = payload[MESSAGE_PREFIX.size : MESSAGE_PREFIX.size + size], payload[MESSAGE_PREFIX.size + size :]
    accepted_at, id_, class_name, tenant, key, dest, expires, attempts, may_have_run, outcome = orjson.loads(metadata)
    return Entry(
        id_,
        class_name,
        tenant,
        key,
        dest,
        expires,
        body,
        attempts,
        may_have_run,
        tuple(outcome) if outcome else None,
        accepted_at,
    )


def apply_record(entries: dict[int, Entry], record: Record) -> None:
    """Apply a record to the open messages. Raises JournalVersionError for an unknown kind."""
    uid, kind = record.uid, record.kind
    if kind == MESSAGE:
        entries[uid] = decode_message(record.payload)
    elif kind == COMPLETED:
        entries.pop(uid, None)
    elif kind not in KINDS:
        raise JournalVersionError(f"record {record.seq}: unknown kind {kind}, written by a newer version")
    elif (entry := entries.get(uid)) is not None:
        apply_change(entry, kind, record.payload)


def apply_change(entry: Entry, kind: int, payload: bytes) -> None:
    """Apply the payload of an ATTEMPT, NOT_EXECUTED or OUTCOME record to its message."""
    if kind == ATTEMPT:
        entry.attempts += 1
        entry.may_have_run.append(ATTEMPT_PAYLOAD.unpack(payload)[1])
    elif kind == NOT_EXECUTED:
        # The record refers to the last recorded attempt, or to one that ended before it was recorded.
        if payload[UID.size :] == b"\1" and entry.may_have_run:
            entry.may_have_run.pop()
        else:
            entry.attempts += 1
    elif kind == OUTCOME:
        entry.outcome = tuple(orjson.loads(payload[UID.size :]))
