"""The reader of the format before this one: one file, without sequence numbers on its records.

Kept so that a relay that is upgraded with open messages keeps them.
"""

from __future__ import annotations

import struct
import zlib

import orjson

from lynxscale.relay.journal.format import END, FINAL, MAX_PAYLOAD, MESSAGE, META, NOT_RUN, TRIED, TRY, Entry

HEAD = struct.Struct("<IIB")  # checksum of kind and payload, length of the payload, kind
NUMBER = struct.Struct("<Q")
NAME = "journal"  # of the file, in the state folder


def read(data: bytes) -> tuple[dict[int, Entry], int]:
    """The open messages of a log, and how many of its bytes are complete records; stops at a torn tail."""
    entries: dict[int, Entry] = {}
    at = 0
    while at + HEAD.size <= len(data):
        checksum, size, kind = HEAD.unpack_from(data, at)
        payload = data[at + HEAD.size : at + HEAD.size + size]
        # Guards against a write cut short by the end of the process: all before it still counts.
        if size > MAX_PAYLOAD or len(payload) < size or zlib.crc32(payload, kind) != checksum:
            break
        _apply(entries, kind, payload)
        at += HEAD.size + size
    return entries, at


def _apply(entries: dict[int, Entry], kind: int, payload: bytes) -> None:
    number = NUMBER.unpack_from(payload)[0]
    if kind == MESSAGE:
        _, size = META.unpack_from(payload)
        meta = orjson.loads(payload[META.size : META.size + size])
        entries[number] = Entry(*meta, body=payload[META.size + size :])
    elif kind == END:
        entries.pop(number, None)
    elif (entry := entries.get(number)) is None:
        return
    elif kind == TRIED:
        entry.attempts += 1
        entry.may_have_run.append(TRY.unpack(payload)[1])
    elif kind == NOT_RUN:
        # Of the attempt recorded last, or of one that was never recorded.
        if payload[NUMBER.size :] == b"\1" and entry.may_have_run:
            entry.may_have_run.pop()
        else:
            entry.attempts += 1
    elif kind == FINAL:
        entry.final = tuple(orjson.loads(payload[NUMBER.size :]))
