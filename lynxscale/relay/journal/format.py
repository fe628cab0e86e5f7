"""Records, segment heads and the manifest, encoded and decoded; docs/design/journal.md, "The files"."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import orjson
from crc32c import crc32c

from lynxscale.relay.exceptions import JournalFormatError, JournalVersionError

VERSION = 1
SEGMENT = struct.Struct("<4sHQQI")  # magic, version, number, first sequence number, salt; a checksum follows
RECORD = struct.Struct("<IIBQ")  # checksum of what follows, length of the payload, kind, sequence number
MANIFEST = struct.Struct("<4sHQH")  # magic, version, generation, segments; rows and a checksum follow
ROW = struct.Struct("<QQI")  # number, first sequence number, sealed size (0: still written)
CRC = struct.Struct("<I")
UID = struct.Struct("<Q")
TRY = struct.Struct("<Qq")
META = struct.Struct("<QI")
SEGMENT_MAGIC, MANIFEST_MAGIC = b"LXS1", b"LXM1"
HEAD_SIZE = SEGMENT.size + CRC.size
# Kinds of records; plain integers, as one is written for every step of a message.
MESSAGE, TRIED, NOT_RUN, FINAL, END = range(1, 6)
KINDS = (MESSAGE, TRIED, NOT_RUN, FINAL, END)
MAX_PAYLOAD = 1 << 20  # bytes: guards against a damaged length by which a reader would take all memory


@dataclass(slots=True)
class Entry:
    """An open message as the journal has it. Times are Unix time in µs."""

    id: str
    cls: str  # the name of its class
    tenant: str  # its name, or empty
    key: str  # idempotency key, or empty
    dest: int
    expires: int
    body: bytes
    attempts: int = 0
    may_have_run: list[int] = field(default_factory=list)  # when attempts were sent that may have run
    final: tuple[str, int] | None = None  # its outcome, for which a notice is owed: status and again_ms
    accepted_at: int = 0


class Record(NamedTuple):
    """One record of a segment. ``seq``: its sequence number; ``size``: with its head, in bytes."""

    kind: int
    seq: int
    payload: bytes
    size: int

    @property
    def uid(self) -> int:
        """The number of its message, for good."""
        return UID.unpack_from(self.payload)[0]


class Row(NamedTuple):
    """A segment in the manifest."""

    number: int
    first: int  # the sequence number of its first record
    sealed: int  # its size in bytes; 0 while it is written


class Manifest(NamedTuple):
    """Which segments are in use."""

    generation: int
    rows: tuple[Row, ...]


# Encoding ---------------------------------------------------------------------------------------------


def encode_record(kind: int, seq: int, payload: bytes, salt: int) -> bytes:
    """A record's bytes.

    Its checksum begins from its segment's salt. Guards against a body that a client made to look like a record, should
    a reader look for one in the middle of it.
    """
    checked = RECORD.pack(0, len(payload), kind, seq)[CRC.size :] + payload
    return CRC.pack(crc32c(checked, salt)) + checked


def encode_message(uid: int, entry: Entry) -> bytes:
    """A message's complete state: supersedes all that was written of it before."""
    meta = orjson.dumps(
        [
            entry.accepted_at,
            entry.id,
            entry.cls,
            entry.tenant,
            entry.key,
            entry.dest,
            entry.expires,
            entry.attempts,
            entry.may_have_run,
            entry.final,
        ]
    )
    return META.pack(uid, len(meta)) + meta + entry.body


def encode_attempt(uid: int, unix: int) -> bytes:
    """An attempt is about to be sent, at Unix time ``unix`` in µs."""
    return TRY.pack(uid, unix)


def encode_not_run(uid: int, recorded: bool) -> bytes:
    """An attempt never ran: the one recorded last, or one that was not recorded."""
    return UID.pack(uid) + bytes([recorded])


def encode_final(uid: int, status: str, again_ms: int) -> bytes:
    """A message has its outcome, and a notice is owed."""
    return UID.pack(uid) + orjson.dumps([status, again_ms])


def encode_end(uid: int) -> bytes:
    """Nothing more is owed for a message."""
    return UID.pack(uid)


def encode_segment_head(number: int, first: int, salt: int) -> bytes:
    """The first bytes of a segment. ``salt``: a random number below 2**32."""
    head = SEGMENT.pack(SEGMENT_MAGIC, VERSION, number, first, salt)
    return head + CRC.pack(crc32c(head))


def encode_manifest(manifest: Manifest) -> bytes:
    """The manifest's bytes."""
    data = MANIFEST.pack(MANIFEST_MAGIC, VERSION, manifest.generation, len(manifest.rows))
    data += b"".join(ROW.pack(*row) for row in manifest.rows)
    return data + CRC.pack(crc32c(data))


# Decoding ---------------------------------------------------------------------------------------------


def decode_manifest(data: bytes) -> Manifest:
    """Raises JournalFormatError where the bytes are no manifest, or one of a newer version."""
    if len(data) < MANIFEST.size + CRC.size or data[:4] != MANIFEST_MAGIC:
        raise JournalFormatError("no manifest of a journal")
    _magic, version, generation, count = MANIFEST.unpack_from(data)
    if version > VERSION:
        raise JournalVersionError(f"version {version} of the manifest, this one reads {VERSION}")
    size = MANIFEST.size + count * ROW.size
    if len(data) < size + CRC.size or CRC.unpack_from(data, size)[0] != crc32c(data[:size]):
        raise JournalFormatError("the manifest's checksum does not fit")
    rows = tuple(Row(*row) for row in ROW.iter_unpack(data[MANIFEST.size : size]))
    return Manifest(generation, rows)


def decode_segment_head(data: bytes) -> tuple[int, int, int]:
    """Number, first sequence number and salt. Raises JournalFormatError as ``decode_manifest`` does."""
    if len(data) < HEAD_SIZE or data[:4] != SEGMENT_MAGIC:
        raise JournalFormatError("no segment of a journal")
    _magic, version, number, first, salt = SEGMENT.unpack_from(data)
    if version > VERSION:
        raise JournalVersionError(f"version {version} of the segment, this one reads {VERSION}")
    if CRC.unpack_from(data, SEGMENT.size)[0] != crc32c(data[: SEGMENT.size]):
        raise JournalFormatError("the segment's head is damaged")
    return number, first, salt


def read_records(data: bytes, at: int, salt: int) -> Iterator[Record]:
    """The complete records from an offset on, up to the first that is none; a caller adds up their sizes."""
    size = len(data)
    while at + RECORD.size <= size:
        checksum, length, kind, seq = RECORD.unpack_from(data, at)
        stop = at + RECORD.size + length
        if length > MAX_PAYLOAD or stop > size or crc32c(data[at + CRC.size : stop], salt) != checksum:
            return
        yield Record(kind, seq, data[at + RECORD.size : stop], stop - at)
        at = stop


def find_next_record(data: bytes, at: int, above: int, salt: int) -> int | None:
    """After damage: the offset of the next complete record with a sequence number above ``above``; None if nowhere.

    A record is known by its checksum, which needs the segment's salt, and by a number that may follow.
    """
    for offset in range(at, len(data) - RECORD.size + 1):
        _checksum, length, kind, seq = RECORD.unpack_from(data, offset)
        likely = kind in KINDS and length <= MAX_PAYLOAD and above < seq <= above + len(data)
        if likely and next(read_records(data[: offset + RECORD.size + length], offset, salt), None) is not None:
            return offset
    return None


def apply_record(entries: dict[int, Entry], record: Record) -> None:
    """Apply a record to the open messages. Raises JournalVersionError for a kind that is not known."""
    uid, payload = record.uid, record.payload
    if record.kind == MESSAGE:
        _, size = META.unpack_from(payload)
        accepted_at, *fields, attempts, may_have_run, final = orjson.loads(payload[META.size : META.size + size])
        entries[uid] = Entry(
            *fields,
            body=payload[META.size + size :],
            attempts=attempts,
            may_have_run=may_have_run,
            final=tuple(final) if final else None,
            accepted_at=accepted_at,
        )
    elif record.kind == END:
        entries.pop(uid, None)
    elif record.kind not in KINDS:
        raise JournalVersionError(f"record {record.seq}: kind {record.kind}, which a newer version wrote")
    elif (entry := entries.get(uid)) is None:
        return
    elif record.kind == TRIED:
        entry.attempts += 1
        entry.may_have_run.append(TRY.unpack(payload)[1])
    elif record.kind == NOT_RUN:
        if payload[UID.size :] == b"\1" and entry.may_have_run:
            entry.may_have_run.pop()
        else:
            entry.attempts += 1
    else:
        entry.final = tuple(orjson.loads(payload[UID.size :]))
