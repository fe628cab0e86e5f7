"""Durable state of a node (generation, view, votes) in its state folder: written and synced before it takes effect.

Two files, ``node.0`` and ``node.1``, are written alternately. The one with the higher serial number is valid and stays
unchanged while the other is written. A file is overwritten in place, so that one sync of its data is enough; if there
is no file of that size yet, the data is written under another name and the file renamed. Format, big-endian: ``LXNODE``
and one byte of version, crc32c of the rest, serial number, length, then a ``StoredNode`` as MessagePack with its fields
in order, and zeros up to a multiple of the block size.

Version 1 was one file, ``node``, without serial number, length and padding. It is read if there is no newer file.
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

MAGIC, VERSION_1_MAGIC = b"LXNODE\x02", b"LXNODE\x01"
CHECKSUM, HEADER = struct.Struct(">I"), struct.Struct(">QI")
VERSION_1_FILE, FILES, FOLDER = "node", ("node.0", "node.1"), "cluster"
DAMAGED_SUFFIX = ".damaged"  # added to the name of a file that cannot be read
UNCERTAIN_SUFFIX = ".unsure"  # added to the name of a file that may be the older of the two
MAX_FILE_BYTES, BLOCK_BYTES = 1 << 20, 4096


class StoredNode(msgspec.Struct, array_like=True, frozen=True):
    """Content of a file; field order is the format. ``generation`` is that of the process that wrote the file; the next
    process starts a higher one."""

    cluster: str
    node: str
    generation: Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]
    durable: DurableState | None = None  # state of view agreement


@dataclass(frozen=True, slots=True)
class LoadResult:
    """Result of loading. ``reason``: why an existing file could not be read or trusted."""

    stored: StoredNode | None
    reason: str = ""
    serial: int = 0


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(StoredNode).decode


def encode(stored: StoredNode, serial: int) -> bytes:
    """Encode the content of a file, padded to a multiple of the block size."""
    data = _encode(stored)
    data = HEADER.pack(serial, len(data)) + data
    data = MAGIC + CHECKSUM.pack(crc32c(data)) + data
    return data + bytes(-len(data) % BLOCK_BYTES)


def decode(data: bytes) -> LoadResult:
    """Decode the content of a file; the result has a reason if it is invalid."""
    magic, rest = data[: len(MAGIC)], data[len(MAGIC) + CHECKSUM.size :]
    if len(data) < len(MAGIC) + CHECKSUM.size or magic[:-1] != MAGIC[:-1]:
        return LoadResult(None, "not a node state file")
    if magic not in (MAGIC, VERSION_1_MAGIC):
        return LoadResult(None, f"unsupported version {magic[-1]}")
    serial = 0
    if magic == MAGIC:
        if len(data) % BLOCK_BYTES:
            return LoadResult(None, "cut short")
        serial, length = HEADER.unpack_from(rest)
        if any(rest[HEADER.size + length :]):
            return LoadResult(None, "data after the stored state")
        rest = rest[: HEADER.size + length]
    if CHECKSUM.unpack_from(data, len(MAGIC))[0] != crc32c(rest):
        return LoadResult(None, "checksum")
    try:
        return LoadResult(_decode(rest[HEADER.size :] if magic == MAGIC else rest), serial=serial)
    except msgspec.MsgspecError as error:
        return LoadResult(None, str(error))


class StateStore:
    """Loads and saves the files of one node. ``load`` and ``save`` block and raise OSError."""

    def __init__(self, state: Path, cluster: str, node: str) -> None:
        self._folder, self._owner = state / FOLDER, (cluster, node)
        self._serial = 0  # serial number of the last complete write
        # After a failed sync, pages may look written without being on disk: the file is then created anew.
        self._failed = False

    def load(self) -> LoadResult:
        """Load the state that the last process saved.

        A file that cannot be read is renamed to ``node.N.damaged`` and the other one to ``node.N.unsure``, as the
        other one may be older and lack a vote. If one of the two files is missing, the remaining one is also renamed to
        ``node.N.unsure``.

        Raises ForeignStateError if the folder belongs to another node.
        """
        self._folder.mkdir(exist_ok=True)
        found = {name: result for name in FILES if (result := self._read(name)) is not None}
        if not found and (result := self._read(VERSION_1_FILE)) is not None:
            found[VERSION_1_FILE] = result
        newest = max(found.values(), key=lambda result: result.serial, default=LoadResult(None))
        reasons = [f"{name}: {result.reason}" for name, result in found.items() if result.stored is None]
        if not reasons and newest.serial > 1 and len(found) < len(FILES):
            reasons = ["one of two files is missing"]
        if not reasons:
            self._serial = newest.serial
            return newest
        # Readable files are renamed first, so that a start after a crash in this loop detects the damage again.
        for name in sorted(found, key=lambda name: found[name].stored is None):
            path = self._folder / name
            path.rename(path.with_name(name + (DAMAGED_SUFFIX if found[name].stored is None else UNCERTAIN_SUFFIX)))
        return LoadResult(None, "; ".join(reasons))

    def _read(self, name: str) -> LoadResult | None:
        path = self._folder / name
        try:
            with open(path, "rb") as file:
                found = decode(file.read(MAX_FILE_BYTES))
        except FileNotFoundError:
            return None
        if found.stored is not None and (found.stored.cluster, found.stored.node) != self._owner:
            raise ForeignStateError(
                f"{path} belongs to node {found.stored.node} in cluster {found.stored.cluster}; this relay is "
                f"{self._owner[1]} in {self._owner[0]}: want its own state folder, or an empty one"
            )
        return found

    def save(self, generation: int, durable: DurableState | None) -> None:
        """Write and sync the state. After an error, the other file still has the previous state."""
        serial = self._serial + 1
        data, path = encode(StoredNode(*self._owner, generation, durable), serial), self._folder / FILES[serial % 2]
        in_place = not self._failed and path.exists() and path.stat().st_size == len(data)
        new = path if in_place else path.with_name(path.name + ".new")
        self._failed = True
        handle = os.open(new, os.O_WRONLY | os.O_CLOEXEC | (0 if in_place else os.O_CREAT | os.O_TRUNC), 0o644)
        try:
            if os.pwrite(handle, data, 0) != len(data):
                raise OSError(28, "no space", str(new))
            os.fdatasync(handle)
        finally:
            os.close(handle)
        if not in_place:
            new.rename(path)
            (self._folder / VERSION_1_FILE).unlink(missing_ok=True)
            handle = os.open(self._folder, os.O_RDONLY)
            try:
                os.fsync(handle)  # persists the new name
            finally:
                os.close(handle)
        self._serial, self._failed = serial, False


class WriteQueue:
    """Coalesces writes: at most one in flight and one queued, and a later state replaces the queued one. A state that
    is already in flight or on disk is not written again, so a slow disk causes no backlog. No I/O."""

    def __init__(self) -> None:
        self._written: Any = None
        self._writing: Any = None
        self._queued: Any = None
        self._after_writing: list[Callable[[], None]] = []
        self._after_queued: list[Callable[[], None]] = []

    def put(self, state: Any, callback: Callable[[], None]) -> Any:
        """Return the state to write at once, or None. ``callback`` is called at once if the state is on disk already;
        otherwise ``done`` returns it after the write."""
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
        """Start the queued write, with none in flight: return its state, or None if none is queued."""
        self._writing, self._queued = self._queued, None
        self._after_writing, self._after_queued = self._after_queued, []
        return self._writing

    def done(self, written: bool) -> list[Callable[[], None]]:
        """End the write in flight: return its callbacks, or none if it failed."""
        self._written, self._writing = self._writing if written else None, None
        callbacks, self._after_writing = self._after_writing, []
        return callbacks if written else []
