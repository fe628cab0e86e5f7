"""The log in the lasting folder: what was taken on, each try before it goes, each end.

Append-only, one ``write`` a record and no sync: what a write has taken outlasts the process, also SIGKILL.
A record is a checksum, a length, a kind and a payload. Times are Unix time in microseconds, as they must
mean the same to the next process. The file is written anew, with the open messages only, when it has grown.
"""

from __future__ import annotations

import os
import struct
import zlib
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

import orjson

HEAD = struct.Struct("<IIB")  # checksum of kind and payload, length of the payload, kind
NUMBER = struct.Struct("<Q")
TRY = struct.Struct("<Qq")
META = struct.Struct("<QI")
MESSAGE, TRIED, NOT_RUN, FINAL, END = range(1, 6)
PAYLOAD_MOST = 1 << 20
BLOCK = 512

# Shares of the folder's limit. While the file is written anew, old and new one count together.
LIVE_SHARE = 0.38  # of open messages at most: more are rejected
GROWN_SHARE = 0.46  # from which on the file is written anew
HARD_SHARE = 0.55  # never beyond: room for the ends of what is open


class JournalFull(Exception):
    """The record could not be kept; nothing of it is in the file."""


@dataclass(slots=True)
class Entry:
    """An open message as the journal knows it."""

    id: str
    cls: str
    tenant: str
    key: str
    dest: int
    expires: int  # Unix time, µs
    body: bytes
    tries: int = 0
    maybe: list[int] = field(default_factory=list)  # Unix times of tries that may have run
    final: tuple[str, int] | None = None  # a notice that is owed: status and again_ms


def _blocks(size: int) -> int:
    return -(-size // BLOCK) * BLOCK


def _record(kind: int, payload: bytes) -> bytes:
    return HEAD.pack(zlib.crc32(payload, kind), len(payload), kind) + payload


def _message(number: int, entry: Entry) -> bytes:
    meta = orjson.dumps([entry.id, entry.cls, entry.tenant, entry.key, entry.dest, entry.expires])
    return _record(MESSAGE, META.pack(number, len(meta)) + meta + entry.body)


def _final(number: int, final: tuple[str, int]) -> bytes:
    return _record(FINAL, NUMBER.pack(number) + orjson.dumps(final))


def read(data: bytes) -> tuple[dict[int, Entry], int]:
    """The open messages of a log, and how many of its bytes are whole records; stops at a torn tail."""
    entries: dict[int, Entry] = {}
    at = 0
    while at + HEAD.size <= len(data):
        checksum, size, kind = HEAD.unpack_from(data, at)
        payload = data[at + HEAD.size : at + HEAD.size + size]
        # Guards against a write cut short by the end of the process: all before it still counts.
        if size > PAYLOAD_MOST or len(payload) < size or zlib.crc32(payload, kind) != checksum:
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
        entry.tries += 1
        entry.maybe.append(TRY.unpack(payload)[1])
    elif kind == NOT_RUN:
        # Of the try recorded last, or of one that never got as far as being recorded.
        if payload[NUMBER.size :] == b"\1" and entry.maybe:
            entry.maybe.pop()
        else:
            entry.tries += 1
    elif kind == FINAL:
        entry.final = tuple(orjson.loads(payload[NUMBER.size :]))


class Journal:
    def __init__(self, folder: Path, disk_bytes: int) -> None:
        self._path, self._new = folder / "journal", folder / "journal.new"
        self._most_live = int(disk_bytes * LIVE_SHARE)
        self._grown = int(disk_bytes * GROWN_SHARE)
        self._hard = int(disk_bytes * HARD_SHARE)
        self._entries: dict[int, Entry] = {}
        self._live: dict[int, int] = {}  # bytes by message, with its tries
        self._live_bytes = 0
        self._size = 0
        self._fd = -1
        self.rewrites = 0

    @property
    def size(self) -> int:
        return self._size

    def open(self) -> list[Entry]:
        """What an earlier process left open. Nothing may be written before ``begin``."""
        self._new.unlink(missing_ok=True)  # of a process that ended while it wrote anew; the old one holds
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            return []
        entries, _whole = read(data)
        return list(entries.values())

    def begin(self, entries: dict[int, Entry]) -> None:
        """Start a new file that holds these, by their numbers in this process."""
        self._entries = dict(entries)
        for number, entry in entries.items():
            self._live[number] = len(self._whole(number, entry))
        self._live_bytes = sum(self._live.values())
        self._rewrite()

    def take(self, number: int, entry: Entry) -> None:
        record = _message(number, entry)
        if self._live_bytes + len(record) > self._most_live:
            raise JournalFull("open messages fill the folder")
        self._append(record)
        self._entries[number] = entry
        self._live[number] = len(record)
        self._live_bytes += len(record)

    def tried(self, number: int, unix: int) -> None:
        entry = self._entries[number]
        self._add(number, _record(TRIED, TRY.pack(number, unix)))
        entry.tries += 1
        entry.maybe.append(unix)

    def not_run(self, number: int, was_recorded: bool) -> None:
        entry = self._entries[number]
        self._add(number, _record(NOT_RUN, NUMBER.pack(number) + bytes([was_recorded])))
        if was_recorded and entry.maybe:
            entry.maybe.pop()
        else:
            entry.tries += 1

    def final(self, number: int, status: str, again_ms: int) -> None:
        self._entries[number].final = (status, again_ms)
        self._add(number, _final(number, (status, again_ms)))

    def end(self, number: int) -> None:
        self._entries.pop(number)
        self._live_bytes -= self._live.pop(number)
        self._append(_record(END, NUMBER.pack(number)))

    def _add(self, number: int, record: bytes) -> None:
        self._append(record)
        self._live[number] += len(record)
        self._live_bytes += len(record)

    def _whole(self, number: int, entry: Entry) -> bytes:
        """One open message with all that is known of it."""
        parts = [_message(number, entry)]
        parts += [_record(NOT_RUN, NUMBER.pack(number) + b"\0")] * (entry.tries - len(entry.maybe))
        parts += [_record(TRIED, TRY.pack(number, unix)) for unix in entry.maybe]
        if entry.final is not None:
            parts.append(_final(number, entry.final))
        return b"".join(parts)

    def _append(self, record: bytes) -> None:
        if self._size + len(record) > self._grown:
            with suppress(JournalFull):  # the old file may still have room
                self._rewrite()
        if _blocks(self._size + len(record)) > self._hard:
            raise JournalFull("the folder is full")
        try:
            written = os.write(self._fd, record)
        except OSError as error:
            raise JournalFull(str(error)) from error
        if written != len(record):
            # Guards against half a record in the middle: a reader would stop there and lose what follows.
            os.ftruncate(self._fd, self._size)
            raise JournalFull("the folder took only part of a record")
        self._size += written

    def _rewrite(self) -> None:
        """Write the open messages to a new file and put it in the old one's place."""
        data = b"".join(self._whole(number, entry) for number, entry in self._entries.items())
        fd = -1
        try:
            fd = os.open(self._new, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND, 0o600)
            view = memoryview(data)
            while view:
                view = view[os.write(fd, view) :]
            os.replace(self._new, self._path)
        except OSError as error:
            if fd >= 0:
                os.close(fd)
            with suppress(OSError):
                self._new.unlink(missing_ok=True)
            if self._fd < 0:
                raise
            # The old file still holds all; it may grow up to the hard share.
            self._grown = min(self._hard, self._size + self._hard // 10)
            raise JournalFull(str(error)) from error
        if self._fd >= 0:
            os.close(self._fd)
        self._fd, self._size = fd, len(data)
        self.rewrites += 1

    def close(self) -> None:
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1
