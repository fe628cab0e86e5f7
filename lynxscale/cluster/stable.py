"""What a node must not forget, as one small file in its state folder: written whole, synced, and only then acted on.

The file, big-endian: ``LXNODE`` and one byte of version, crc32c of the rest, then MessagePack by ``Stored``, fields in
order.
"""

from __future__ import annotations

import os
import struct
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import msgspec
from crc32c import crc32c

from lynxscale.cluster.words import Kept

MAGIC = b"LXNODE\x01"
CHECK = struct.Struct(">I")
FILE, FOLDER = "node", "cluster"
FILE_MOST = 1 << 20


class Stored(msgspec.Struct, array_like=True, frozen=True):
    """``life``: of the process that wrote it; the next one's is higher."""

    cluster: str
    node: str
    life: Annotated[int, msgspec.Meta(ge=0, le=(1 << 62))]
    kept: Kept | None = None  # of views and votes


class Foreign(Exception):
    """The folder belongs to another node; the text names both."""


@dataclass(frozen=True, slots=True)
class Found:
    """What a start finds. ``reason``: why nothing could be read where a file is there."""

    stored: Stored | None
    reason: str = ""


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Stored).decode


def encode(stored: Stored) -> bytes:
    data = _encode(stored)
    return MAGIC + CHECK.pack(crc32c(data)) + data


def decode(data: bytes) -> Found:
    """What stands in a file's bytes; a reason where they are not of use."""
    head = len(MAGIC) + CHECK.size
    if len(data) < head or not data.startswith(MAGIC[:-1]):
        return Found(None, "no such file's bytes")
    if data[:len(MAGIC)] != MAGIC:
        return Found(None, f"version {data[len(MAGIC) - 1]}, which this program does not know")
    if CHECK.unpack_from(data, len(MAGIC))[0] != crc32c(data[head:]):
        return Found(None, "checksum")
    try:
        return Found(_decode(data[head:]))
    except msgspec.MsgspecError as error:
        return Found(None, str(error))


class Store:
    """The file of one node. ``load`` and ``save`` block and raise OSError."""

    def __init__(self, state: Path, cluster: str, node: str) -> None:
        self._folder, self._whose = state / FOLDER, (cluster, node)

    def load(self) -> Found:
        """What the last process left. A file that cannot be read is set aside, as ``node.damaged``.

        Raises Foreign where the folder is another node's: acting on its word would be acting in its name.
        """
        self._folder.mkdir(exist_ok=True)
        path = self._folder / FILE
        try:
            with open(path, "rb") as file:
                data = file.read(FILE_MOST)
        except FileNotFoundError:
            return Found(None)
        found = decode(data)
        if found.stored is None:
            path.rename(self._folder / f"{FILE}.damaged")
        elif (found.stored.cluster, found.stored.node) != self._whose:
            raise Foreign(f"{path} is of node {found.stored.node} in cluster {found.stored.cluster}; this relay is "
                          f"{self._whose[1]} in {self._whose[0]}: want the folder that belongs to it, or an empty one")
        return found

    def save(self, life: int, kept: Kept | None) -> None:
        """On disk once this returns."""
        path = self._folder / f"{FILE}.new"
        with open(path, "wb") as file:
            file.write(encode(Stored(*self._whose, life, kept)))
            file.flush()
            os.fsync(file.fileno())
        path.rename(self._folder / FILE)
        handle = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(handle)  # guards against a name that the folder forgets
        finally:
            os.close(handle)
