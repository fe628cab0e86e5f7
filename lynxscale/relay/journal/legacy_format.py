"""Reader of the journal's previous format: a single file, whose records have no sequence numbers.

With it, a relay that is upgraded from an older version keeps its open messages.
"""

from __future__ import annotations

import struct
import zlib

import orjson

from lynxscale.relay.journal.records import (
    COMPLETED,
    MAX_PAYLOAD_SIZE,
    MESSAGE,
    MESSAGE_PREFIX,
    UID,
    Entry,
    apply_change,
)

RECORD_HEADER = struct.Struct("<IIB")  # checksum of kind and payload, length of the payload, kind
FILE_NAME = "journal"  # in the state folder


def read_legacy_journal(data: bytes) -> tuple[dict[int, Entry], int]:
    """Return a file's open messages by number, and how many of its bytes are complete records."""
    entries: dict[int, Entry] = {}
    offset = 0
    while offset + RECORD_HEADER.size <= len(data):
        checksum, size, kind = RECORD_HEADER.unpack_from(data, offset)
        payload = data[offset + RECORD_HEADER.size : offset + RECORD_HEADER.size + size]
        # A crash can cut the last write short; everything before it is still valid.
        if size > MAX_PAYLOAD_SIZE or len(payload) < size or zlib.crc32(payload, kind) != checksum:
            break
        _apply_record(entries, kind, payload)
        offset += RECORD_HEADER.size + size
    return entries, offset


def _apply_record(entries: dict[int, Entry], kind: int, payload: bytes) -> None:
    number = UID.unpack_from(payload)[0]
    if kind == MESSAGE:
        _number, size = MESSAGE_PREFIX.unpack_from(payload)
        metadata = orjson.loads(payload[MESSAGE_PREFIX.size : MESSAGE_PREFIX.size + size])
        id_, class_name, tenant, key, dest, expires = metadata
        body = payload[MESSAGE_PREFIX.size + size :]
        entries[number] = Entry(id_, class_name, tenant, key, dest, expires, body)
    elif kind == COMPLETED:
        entries.pop(number, None)
    elif (entry := entries.get(number)) is not None:
        apply_change(entry, kind, payload)
