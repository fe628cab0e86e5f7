"""A node's durable state (generation, view, votes) in its state folder: written and synced before it is acted on.

Two files, ``node.0`` and ``node.1``, take turns: the one with the higher serial number counts, and stays as it is while
the other is written. Each is written in place, so that one sync of its data is enough; where there is none of that size
yet, under another name first. Big-endian: ``LXNODE`` and one byte of version, crc32c of the rest, serial number,
length, then MessagePack by ``Stored``, fields in order, and zeros to whole blocks.

Version 1 was one file, ``node``, with no serial number, length or zeros. It is read where there is nothing newer.
"""

from __future__ import annotations

import os
import struct
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec
from crc32c import crc32c

from lynxscale.relay.cluster.exceptions import ForeignStateError
from lynxscale.relay.cluster.messages import DurableState

MAGIC, MAGIC_1 = b"LXNODE\x02", b"LXNODE\x01"
CHECKSUM, HEADER = struct.Struct(">I"), struct.Struct(">QI")
FILE_1, FILES, FOLDER = "node", ("node.0", "node.1"), "cluster"
DAMAGED_SUFFIX = ".damaged"  # of a file that cannot be read
UNCERTAIN_SUFFIX = ".unsure"  # of a file that may be the older of two
MAX_FILE_SIZE, BLOCK_SIZE = 1 << 20, 4096


class StoredNode(msgspec.Struct, array_like=True, frozen=True):
    """A file's content, in stored order. ``generation``: of the process that wrote it; the next one's is higher."""

    cluster: str
    node: str
    generation: Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]
    durable: DurableState | None = None  # of views and votes


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Result of loading. ``reason``: why nothing could be read although a file exists."""

    stored: StoredNode | None
    reason: str = ""
    serial: int = 0


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(StoredNode).decode


def encode(stored: StoredNode, serial: int) -> bytes:
    """A file's bytes, padded to whole blocks."""
    data = _encode(stored)
    data = HEADER.pack(serial, len(data)) + data
    data = MAGIC + CHECKSUM.pack(crc32c(data)) + data
    return data + bytes(-len(data) % BLOCK_SIZE)


def decode(data: bytes) -> LoadResult:
    """Decode a file's bytes; the result has a reason where they are invalid."""
    magic, rest = data[: len(MAGIC)], data[len(MAGIC) + CHECKSUM.size :]
    if len(data) < len(MAGIC) + CHECKSUM.size or magic[:-1] != MAGIC[:-1]:
        return LoadResult(None, "no such file's bytes")
    if magic not in (MAGIC, MAGIC_1):
        return LoadResult(None, f"version {magic[-1]}, which this program does not know")
    serial = 0
    if magic == MAGIC:
        if len(data) % BLOCK_SIZE:
            return LoadResult(None, "cut short")
        serial, length = HEADER.unpack_from(rest)
        if any(rest[HEADER.size + length :]):
            return LoadResult(None, "more than one file's bytes")
        rest = rest[: HEADER.size + length]
    if CHECKSUM.unpack_from(data, len(MAGIC))[0] != crc32c(rest):
        return LoadResult(None, "checksum")
    try:
        return LoadResult(_decode(rest[HEADER.size :] if magic == MAGIC else rest), serial=serial)
    except msgspec.MsgspecError as error:
        return LoadResult(None, str(error))


class StateStore:
    """The files of one node. ``load`` and ``save`` block and raise OSError."""

    def __init__(self, state: Path, cluster: str, node: str) -> None:
        self._folder, self._owner = state / FOLDER, (cluster, node)
        self._serial = 0  # of the last complete write
        # Guards against a sync that failed and left pages that only look written: that file is made anew.
        self._failed = False

    def load(self) -> LoadResult:
        """What the last process left.

        A file that cannot be read is set aside, as ``node.N.damaged``, and the other one with it, as ``node.N.unsure``:
        it may be the older of the two, which has forgotten a vote. So it is where one is missing.

        Raises ForeignStateError where the folder is another node's.
        """
        self._folder.mkdir(exist_ok=True)
        found = {name: one for name in FILES if (one := self._read(name)) is not None}
        if not found and (one := self._read(FILE_1)) is not None:
            found[FILE_1] = one
        newest = max(found.values(), key=lambda one: one.serial, default=LoadResult(None))
        reasons = [f"{name}: {one.reason}" for name, one in found.items() if one.stored is None]
        if not reasons and newest.serial > 1 and len(found) < len(FILES):
            reasons = ["one of two files is missing"]
        if not reasons:
            self._serial = newest.serial
            return newest
        # Those that could be read go first: a start that is cut short here finds the damage again.
        for name in sorted(found, key=lambda name: found[name].stored is None):
            path = self._folder / name
            path.rename(path.with_name(name + (DAMAGED_SUFFIX if found[name].stored is None else UNCERTAIN_SUFFIX)))
        return LoadResult(None, "; ".join(reasons))

    def _read(self, name: str) -> LoadResult | None:
        path = self._folder / name
        try:
            with open(path, "rb") as file:
                found = decode(file.read(MAX_FILE_SIZE))
        except FileNotFoundError:
            return None
        if found.stored is not None and (found.stored.cluster, found.stored.node) != self._owner:
            raise ForeignStateError(
                f"{path} is of node {found.stored.node} in cluster {found.stored.cluster}; this relay is "
                f"{self._owner[1]} in {self._owner[0]}: want the folder that belongs to it, or an empty one"
            )
        return found

    def save(self, generation: int, durable: DurableState | None) -> None:
        """On disk once this returns; after an error the other file still has the state before."""
        serial = self._serial + 1
        data, path = encode(StoredNode(*self._owner, generation, durable), serial), self._folder / FILES[serial % 2]
        fits = not self._failed and path.exists() and path.stat().st_size == len(data)
        new = path if fits else path.with_name(path.name + ".new")
        self._failed = True
        handle = os.open(new, os.O_WRONLY | os.O_CLOEXEC | (0 if fits else os.O_CREAT | os.O_TRUNC), 0o644)
        try:
            if os.pwrite(handle, data, 0) != len(data):
                raise OSError(28, "no space", str(new))
            os.fdatasync(handle)
        finally:
            os.close(handle)
        if not fits:
            new.rename(path)
            (self._folder / FILE_1).unlink(missing_ok=True)
            handle = os.open(self._folder, os.O_RDONLY)
            try:
                os.fsync(handle)  # guards against a name that the folder forgets
            finally:
                os.close(handle)
        self._serial, self._failed = serial, False


class WriteQueue:
    """Coalesces writes: one is in flight, at most one queued behind it, and a later state replaces the queued one.
    A state that is in flight or on disk already is not written again, so a slow disk builds no backlog. No I/O."""

    def __init__(self) -> None:
        self._written: Any = None
        self._writing: Any = None
        self._queued: Any = None
        self._after_writing: list[Callable[[], None]] = []
        self._after_queued: list[Callable[[], None]] = []

    def put(self, state: Any, callback: Callable[[], None]) -> Any:
        """The state to write at once, or None. ``callback`` is called or handed out once the state is on disk."""
        if self._queued is None and state == self._writing:
            self._after_writing.append(callback)
        elif self._queued is None and self._writing is None and state == self._written:
            callback()
        else:
            self._queued = state
            self._after_queued.append(callback)
            return self.begin() if self._writing is None else None
        return None

    def begin(self) -> Any:
        """What is to be written now that nothing is under way; None where nothing waits."""
        self._writing, self._queued = self._queued, None
        self._after_writing, self._after_queued = self._after_queued, []
        return self._writing

    def done(self, written: bool) -> list[Callable[[], None]]:
        """The write under way has ended: what was to follow it, nothing where it failed."""
        self._written, self._writing = self._writing if written else None, None
        callback, self._after_writing = self._after_writing, []
        return callback if written else []
