"""Records, segment heads and the manifest: bytes and values; docs/design/journal.md, "The files"."""

from __future__ import annotations

import struct
from collections.abc import Iterator
from dataclasses import dataclass, field
from typing import NamedTuple

import orjson
from crc32c import crc32c

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
MESSAGE, TRIED, NOT_RUN, FINAL, END = range(1, 6)
KINDS = (MESSAGE, TRIED, NOT_RUN, FINAL, END)
PAYLOAD_MOST = 1 << 20  # guards against a flipped length by which a reader would take all memory


class Refused(Exception):
    """Bytes that are not of this format, or of a newer one; the text names the place."""


@dataclass(slots=True)
class Entry:
    """An open message as the journal knows it. Times are Unix time in µs."""

    id: str
    cls: str
    tenant: str
    key: str
    dest: int
    expires: int
    body: bytes
    tries: int = 0
    maybe: list[int] = field(default_factory=list)  # when tries were sent that may have run
    final: tuple[str, int] | None = None  # a notice that is owed: status and again_ms
    taken: int = 0  # when it was taken on


class Record(NamedTuple):
    """One record of a segment. ``size``: with its head, in bytes."""

    kind: int
    seq: int
    payload: bytes
    size: int

    @property
    def uid(self) -> int:
        """The message it is of."""
        return UID.unpack_from(self.payload)[0]


class Row(NamedTuple):
    """A segment in the manifest."""

    number: int
    first: int  # the sequence number of its first record
    sealed: int  # its size in bytes; 0 while it is written


class Manifest(NamedTuple):
    """Which segments count."""

    generation: int
    rows: tuple[Row, ...]


# Writing ---------------------------------------------------------------------------------------------


def record(kind: int, seq: int, payload: bytes, salt: int) -> bytes:
    """A record's bytes.

    Its checksum begins from its segment's salt. Guards against a body that a client made to look like a record, should
    a reader begin to look for one in the middle of it.
    """
    rest = RECORD.pack(0, len(payload), kind, seq)[CRC.size :] + payload
    return CRC.pack(crc32c(rest, salt)) + rest


def message(uid: int, entry: Entry) -> bytes:
    """A message's whole state: stands for all that was written of it before."""
    meta = orjson.dumps(
        [
            entry.taken,
            entry.id,
            entry.cls,
            entry.tenant,
            entry.key,
            entry.dest,
            entry.expires,
            entry.tries,
            entry.maybe,
            entry.final,
        ]
    )
    return META.pack(uid, len(meta)) + meta + entry.body


def tried(uid: int, unix: int) -> bytes:
    """A try is about to go."""
    return TRY.pack(uid, unix)


def not_run(uid: int, recorded: bool) -> bytes:
    """A try never ran: the one recorded last, or one that was not recorded."""
    return UID.pack(uid) + bytes([recorded])


def final(uid: int, status: str, again_ms: int) -> bytes:
    """A notice is owed."""
    return UID.pack(uid) + orjson.dumps([status, again_ms])


def end(uid: int) -> bytes:
    """Nothing more is owed."""
    return UID.pack(uid)


def segment_head(number: int, first: int, salt: int) -> bytes:
    """The first bytes of a segment. ``salt``: a random number below 2**32."""
    head = SEGMENT.pack(SEGMENT_MAGIC, VERSION, number, first, salt)
    return head + CRC.pack(crc32c(head))


def manifest(one: Manifest) -> bytes:
    """The manifest's bytes."""
    data = MANIFEST.pack(MANIFEST_MAGIC, VERSION, one.generation, len(one.rows))
    data += b"".join(ROW.pack(*row) for row in one.rows)
    return data + CRC.pack(crc32c(data))


# Reading ---------------------------------------------------------------------------------------------


def read_manifest(data: bytes) -> Manifest:
    """Raises Refused where the bytes are no manifest, or one of a newer version."""
    if len(data) < MANIFEST.size + CRC.size or data[:4] != MANIFEST_MAGIC:
        raise Refused("no manifest of a journal")
    _magic, version, generation, count = MANIFEST.unpack_from(data)
    if version > VERSION:
        raise Refused(f"version {version} of the manifest, this one reads {VERSION}")
    size = MANIFEST.size + count * ROW.size
    if len(data) < size + CRC.size or CRC.unpack_from(data, size)[0] != crc32c(data[:size]):
        raise Refused("the manifest's checksum does not fit")
    rows = tuple(Row(*row) for row in ROW.iter_unpack(data[MANIFEST.size : size]))
    return Manifest(generation, rows)


def read_segment_head(data: bytes) -> tuple[int, int, int]:
    """Number, first sequence number and salt. Raises Refused as ``read_manifest`` does."""
    if len(data) < HEAD_SIZE or data[:4] != SEGMENT_MAGIC:
        raise Refused("no segment of a journal")
    _magic, version, number, first, salt = SEGMENT.unpack_from(data)
    if version > VERSION:
        raise Refused(f"version {version} of the segment, this one reads {VERSION}")
    if CRC.unpack_from(data, SEGMENT.size)[0] != crc32c(data[: SEGMENT.size]):
        raise Refused("the segment's head is damaged")
    return number, first, salt


def records(data: bytes, at: int, salt: int) -> Iterator[Record]:
    """The whole records from an offset on, up to the first that is none; a caller adds up their sizes."""
    size = len(data)
    while at + RECORD.size <= size:
        checksum, length, kind, seq = RECORD.unpack_from(data, at)
        stop = at + RECORD.size + length
        if length > PAYLOAD_MOST or stop > size or crc32c(data[at + CRC.size : stop], salt) != checksum:
            return
        yield Record(kind, seq, data[at + RECORD.size : stop], stop - at)
        at = stop


def resume(data: bytes, at: int, above: int, salt: int) -> int | None:
    """Behind a damage: where the next whole record begins whose sequence number is above that one; None if nowhere.

    A record is known by its checksum, which needs the segment's salt, and by a number that may follow.
    """
    for place in range(at, len(data) - RECORD.size + 1):
        _checksum, length, kind, seq = RECORD.unpack_from(data, place)
        likely = kind in KINDS and length <= PAYLOAD_MOST and above < seq <= above + len(data)
        if likely and next(records(data[: place + RECORD.size + length], place, salt), None) is not None:
            return place
    return None


def apply(entries: dict[int, Entry], one: Record) -> None:
    """Take a record into what is open. Raises Refused for a kind that is not known."""
    uid, payload = one.uid, one.payload
    if one.kind == MESSAGE:
        _, size = META.unpack_from(payload)
        taken, *told, tries, maybe, final_ = orjson.loads(payload[META.size : META.size + size])
        entries[uid] = Entry(
            *told,
            body=payload[META.size + size :],
            tries=tries,
            maybe=maybe,
            final=tuple(final_) if final_ else None,
            taken=taken,
        )
    elif one.kind == END:
        entries.pop(uid, None)
    elif one.kind not in KINDS:
        raise Refused(f"record {one.seq}: kind {one.kind}, which a newer version wrote")
    elif (entry := entries.get(uid)) is None:
        return
    elif one.kind == TRIED:
        entry.tries += 1
        entry.maybe.append(TRY.unpack(payload)[1])
    elif one.kind == NOT_RUN:
        if payload[UID.size :] == b"\1" and entry.maybe:
            entry.maybe.pop()
        else:
            entry.tries += 1
    else:
        entry.final = tuple(orjson.loads(payload[UID.size :]))
