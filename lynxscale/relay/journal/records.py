"""Records of a segment: encoding, decoding, and their effect on the open messages; docs/design/journal.md, "The files".

A message is known in the journal by its ``uid``: the sequence number of the first record written of it. The kinds of
records are plain ints, as they are packed and compared for each record.
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
MAX_PAYLOAD_SIZE = 1 << 20  # guards against a flipped length by which a reader would take all memory


@dataclass(slots=True)
class Entry:
    """An open message as the journal has it. Times are Unix time in µs."""

    id: str
    class_name: str
    tenant: str
    key: str
    dest: int
    expires: int
    body: bytes
    attempts: int = 0
    may_have_run: list[int] = field(default_factory=list)  # times of attempts that may have been executed
    outcome: tuple[str, int] | None = None  # a notice is pending: its status and again_ms
    accepted_at: int = 0


class Record(NamedTuple):
    """One record of a segment. ``size``: with its header, in bytes."""

    kind: int
    seq: int
    payload: bytes
    size: int

    @property
    def uid(self) -> int:
        """The message that it belongs to."""
        return UID.unpack_from(self.payload)[0]


# Encoding --------------------------------------------------------------------------------------------


def encode_record(kind: int, seq: int, payload: bytes, salt: int) -> bytes:
    """A record's bytes.

    Its checksum begins from its segment's salt. Guards against a body that a client made to look like a record, should
    a reader begin to look for one in the middle of it.
    """
    checksummed = RECORD_HEADER.pack(0, len(payload), kind, seq)[CHECKSUM.size :] + payload
    return CHECKSUM.pack(crc32c(checksummed, salt)) + checksummed


def encode_message(uid: int, entry: Entry) -> bytes:
    """Payload of MESSAGE: a message's complete state, which replaces all earlier records of it."""
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
    """Payload of NOT_EXECUTED: an attempt was never executed, the last recorded one or one that was not recorded."""
    return UID.pack(uid) + bytes([recorded])


def encode_outcome(uid: int, status: str, again_ms: int) -> bytes:
    """Payload of OUTCOME: the message has an outcome, and its notice is pending."""
    return UID.pack(uid) + orjson.dumps([status, again_ms])


def encode_completed(uid: int) -> bytes:
    """Payload of COMPLETED: nothing is pending of the message."""
    return UID.pack(uid)


# Decoding --------------------------------------------------------------------------------------------


def read_records(data: bytes, offset: int, salt: int) -> Iterator[Record]:
    """The complete records from an offset on, up to the first invalid one; a caller adds up their sizes."""
    size = len(data)
    while offset + RECORD_HEADER.size <= size:
        checksum, length, kind, seq = RECORD_HEADER.unpack_from(data, offset)
        stop = offset + RECORD_HEADER.size + length
        if length > MAX_PAYLOAD_SIZE or stop > size or crc32c(data[offset + CHECKSUM.size : stop], salt) != checksum:
            return
        yield Record(kind, seq, data[offset + RECORD_HEADER.size : stop], stop - offset)
        offset = stop


def find_next_record(data: bytes, offset: int, above: int, salt: int) -> int | None:
    """After damage: the offset of the next complete record with a sequence number above ``above``; None without one.

    A record is recognised by its checksum, which needs the segment's salt, and by a plausible sequence number.
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
    """The message of a MESSAGE record's payload."""
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
        raise JournalVersionError(f"record {record.seq}: kind {kind}, which a newer version wrote")
    elif (entry := entries.get(uid)) is not None:
        apply_change(entry, kind, record.payload)


def apply_change(entry: Entry, kind: int, payload: bytes) -> None:
    """Apply the payload of an ATTEMPT, NOT_EXECUTED or OUTCOME record to its message."""
    if kind == ATTEMPT:
        entry.attempts += 1
        entry.may_have_run.append(ATTEMPT_PAYLOAD.unpack(payload)[1])
    elif kind == NOT_EXECUTED:
        # Of the last recorded attempt, or of one that ended before it was recorded.
        if payload[UID.size :] == b"\1" and entry.may_have_run:
            entry.may_have_run.pop()
        else:
            entry.attempts += 1
    elif kind == OUTCOME:
        entry.outcome = tuple(orjson.loads(payload[UID.size :]))
