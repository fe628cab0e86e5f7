"""The files of a store: one for each version, holding the batch that leads to it, and now and then a version whole.

A name that comes back after a loss of power, although it was removed, does no harm: a batch counts only behind the
very position that it was made for. Whether files are missing is told by three things that do not break together:
a later batch that nothing leads to, a file that is damaged, and the mark, which names a position stored before.
"""

from __future__ import annotations

import re
import zlib
from dataclasses import dataclass, field
from itertools import groupby

import msgspec

from lynxscale.coordination import netstring
from lynxscale.coordination.checksummed_file import CorruptFile, SealedPair, checksum_line, seal, unseal
from lynxscale.coordination.key_value_table import RecentBatches, Table
from lynxscale.coordination.messages import Batch, Position, Put
from lynxscale.coordination.ports import Files, FileWriter

BATCH_PREFIX, STATE_PREFIX = "batch-", "state-"
MARK_FILE = "mark"
CHUNK_BYTES = 256 * 1024  # of a whole version, encoded and written in one step
START = Position(0, 0)
_VERSION_NAME = re.compile(r"(?:batch|state)-(\d+)-(\d+)")


@dataclass
class LoadedVersion:
    """What the files hold, and in ``damage`` the names that show that something is missing."""

    position: Position = START
    table: Table = field(default_factory=Table)
    recent: RecentBatches = field(default_factory=RecentBatches)
    damage: list[str] = field(default_factory=list)
    batch_files: int = 0
    batch_bytes: int = 0
    whole_bytes: int = 0


def version_name(prefix: str, position: Position) -> str:
    """The name of a version's file; names sort by index, then by epoch."""
    return f"{prefix}{position.index:012d}-{position.epoch:08d}"


def position_of(name: str) -> Position | None:
    """The position that a file's name tells, None for other files."""
    found = _VERSION_NAME.fullmatch(name)
    return Position(int(found[2]), int(found[1])) if found else None


class VersionFiles:
    """Reads and writes the versions of one store."""

    def __init__(self, files: Files) -> None:
        self._files = files
        self._mark = SealedPair(files, MARK_FILE)

    def save(self, batch: Batch) -> int:
        """Write a batch's version; its bytes. Raises OSError."""
        content = seal(msgspec.json.encode(batch))
        self._files.write(version_name(BATCH_PREFIX, batch.position), content)
        return len(content)

    def mark(self, position: Position) -> None:
        """Note, apart from the versions, that this position is stored. Raises OSError."""
        self._mark.save(msgspec.json.encode(position))

    def write_whole(self, position: Position, puts: list[Put]) -> WholeWriter:
        """Begin a file that holds a version whole. Raises OSError."""
        return WholeWriter(self._files.create(version_name(STATE_PREFIX, position)), position, puts)

    def remove_before(self, position: Position) -> None:
        """Versions that the whole one at a position stands for are needed no longer."""
        kept = version_name(STATE_PREFIX, position)
        for name in self._files.names():
            other = position_of(name)
            if other is not None and name != kept and other.index <= position.index:
                self._files.remove(name)

    def remove_others(self, position: Position) -> None:
        """All versions but the whole one at a position go: they belong to another line, or are damaged."""
        kept = version_name(STATE_PREFIX, position)
        for name in self._files.names():
            if name != kept and position_of(name) is not None:
                self._files.remove(name)

    # Reading ---------------------------------------------------------------------------------------

    def load(self) -> LoadedVersion:
        """The newest version that the files lead to, and what is missing."""
        loaded = LoadedVersion()
        corrupt: list[str] = []
        self._load_whole(loaded, corrupt)
        orphans = self._load_batches(loaded, corrupt)
        later = [name for name in (*corrupt, *orphans) if position_of(name) > loaded.position]
        marked = self._mark.load()
        if marked is not None and msgspec.json.decode(marked, type=Position) > loaded.position:
            later.append(MARK_FILE)
        loaded.damage = sorted(later)
        return loaded

    def _load_whole(self, loaded: LoadedVersion, corrupt: list[str]) -> None:
        for name in reversed(self._names(STATE_PREFIX)):
            content = self._read(name, corrupt)
            if content is None:
                continue
            loaded.whole_bytes = len(content)
            decoder = netstring.Decoder()
            frames = (
                frame
                for begin in range(0, len(content), CHUNK_BYTES)
                for frame in decoder.feed(content[begin : begin + CHUNK_BYTES])
            )
            loaded.position = msgspec.json.decode(next(frames), type=Position)
            for frame in frames:
                loaded.table.apply(msgspec.json.decode(frame, type=tuple[Put, ...]))
            return

    def _load_batches(self, loaded: LoadedVersion, corrupt: list[str]) -> list[str]:
        """Apply the batches that follow; the names of those that nothing leads to."""
        orphans = []
        for _, names in groupby(self._names(BATCH_PREFIX), key=lambda name: position_of(name).index):
            following = []
            for name in names:
                content = self._read(name, corrupt)
                batch = None if content is None else msgspec.json.decode(content, type=Batch)
                if batch is not None and batch.previous == loaded.position:
                    following.append((batch.position, batch, len(content)))
                elif batch is not None:
                    orphans.append(name)
            if following:
                # Of two batches behind one position the later epoch's counts.
                loaded.position, batch, size = max(following, key=lambda entry: entry[0])
                loaded.table.apply(batch.puts)
                loaded.recent.add(batch)
                loaded.batch_files += 1
                loaded.batch_bytes += size
        return orphans

    def _names(self, prefix: str) -> list[str]:
        return sorted(name for name in self._files.names() if name.startswith(prefix) and position_of(name))

    def _read(self, name: str, corrupt: list[str]) -> bytes | None:
        try:
            return unseal(name, self._files.read(name) or b"")
        except CorruptFile:
            corrupt.append(name)
            return None


class WholeWriter:
    """Writes a version whole in steps, so that nothing else waits for long. The file counts once it is finished."""

    def __init__(self, file: FileWriter, position: Position, puts: list[Put]) -> None:
        self.position = position
        self.bytes = 0
        self._file = file
        self._puts = puts
        self._next = 0
        self._checksum = 0
        self._write(netstring.encode(msgspec.json.encode(position)))

    def step(self) -> bool:
        """Write one chunk; True once the file is complete and durable. Raises OSError."""
        if self._next < len(self._puts):
            self._write(netstring.encode(msgspec.json.encode(self._chunk())))
            return False
        self._file.append(checksum_line(self._checksum))
        self._file.finish()
        return True

    def discard(self) -> None:
        """Leave nothing behind."""
        self._file.discard()

    def _chunk(self) -> list[Put]:
        begin, size = self._next, 0
        while self._next < len(self._puts) and size < CHUNK_BYTES:
            put = self._puts[self._next]
            size += put.size
            self._next += 1
        return self._puts[begin : self._next]

    def _write(self, frame: bytes) -> None:
        self._file.append(frame)
        self._checksum = zlib.crc32(frame, self._checksum)
        self.bytes += len(frame)
