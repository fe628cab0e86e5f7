"""Recovery of a store at start: loads the newest snapshot, replays the later batches and detects missing files."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import groupby

import msgspec

from lynxscale.coordination import netstring
from lynxscale.coordination.checksummed_file import strip_checksum
from lynxscale.coordination.exceptions import StorageCorruptError
from lynxscale.coordination.key_value_table import KeyValueTable
from lynxscale.coordination.messages import Batch, Position, Put
from lynxscale.coordination.ports import Files
from lynxscale.coordination.recent_batches import RecentBatches
from lynxscale.coordination.version_files import (
    BATCH_PREFIX,
    INITIAL_POSITION,
    SNAPSHOT_PREFIX,
    WATERMARK_FILE,
    position_of,
)

READ_CHUNK_BYTES = 256 * 1024  # part of a snapshot file that is decoded at a time


@dataclass(slots=True)
class RecoveredState:
    """The recovered state. ``damage``: names of files that show that some data is missing."""

    position: Position = INITIAL_POSITION
    table: KeyValueTable = field(default_factory=KeyValueTable)
    recent_batches: RecentBatches = field(default_factory=RecentBatches)
    damage: list[str] = field(default_factory=list)
    batch_files: int = 0
    batch_bytes: int = 0
    snapshot_bytes: int = 0


def recover(files: Files, watermark: Position | None) -> RecoveredState:
    """Recover the newest state that the version files contain without a gap."""
    return _Recovery(files).run(watermark)


class _Recovery:
    """One pass over the version files, whose names sort by index, then by epoch."""

    def __init__(self, files: Files) -> None:
        self._files = files
        self._state = RecoveredState()
        self._corrupt: list[str] = []
        self._orphans: list[str] = []  # batches that do not follow the position reached

    def run(self, watermark: Position | None) -> RecoveredState:
        """Load the newest snapshot, replay the batches after it, and detect damage."""
        self._load_snapshot()
        for names in self._batch_names_by_index():
            self._replay(names)
        self._state.damage = self._find_damage(watermark)
        return self._state

    def _find_damage(self, watermark: Position | None) -> list[str]:
        """Files that show damage after the position reached; earlier files were superseded by a snapshot."""
        reached = self._state.position
        damage = [name for name in (*self._corrupt, *self._orphans) if _position(name) > reached]
        if watermark is not None and watermark > reached:
            damage.append(WATERMARK_FILE)
        return sorted(damage)

    def _load_snapshot(self) -> None:
        """Load the newest snapshot that is intact, if any."""
        for name in reversed(self._names(SNAPSHOT_PREFIX)):
            content = self._read(name)
            if content is not None:
                frames = _frames(content)
                self._state.snapshot_bytes = len(content)
                self._state.position = msgspec.json.decode(next(frames), type=Position)
                for frame in frames:
                    self._state.table.apply(msgspec.json.decode(frame, type=tuple[Put, ...]))
                return

    def _replay(self, names: list[str]) -> None:
        """Apply one of the batches of an index: of those that follow the position, the one of the latest epoch."""
        state = self._state
        following: list[tuple[Batch, int]] = []
        for name in names:
            content = self._read(name)
            if content is None:
                continue
            batch = msgspec.json.decode(content, type=Batch)
            if batch.previous == state.position:
                following.append((batch, len(content)))
            else:
                self._orphans.append(name)
        if following:
            batch, size = max(following, key=lambda entry: entry[0].position)
            state.position = batch.position
            state.table.apply(batch.puts)
            state.recent_batches.add(batch)
            state.batch_files += 1
            state.batch_bytes += size

    def _batch_names_by_index(self) -> Iterator[list[str]]:
        for _, names in groupby(self._names(BATCH_PREFIX), key=lambda name: _position(name).index):
            yield list(names)

    def _names(self, prefix: str) -> list[str]:
        return sorted(name for name in self._files.names() if name.startswith(prefix) and position_of(name))

    def _read(self, name: str) -> bytes | None:
        try:
            return strip_checksum(name, self._files.read(name) or b"")
        except StorageCorruptError:
            self._corrupt.append(name)
            return None


def _position(name: str) -> Position:
    """The position in the name of a version file."""
    position = position_of(name)
    assert position is not None, name
    return position


def _frames(content: bytes) -> Iterator[bytes]:
    """Yield the payloads of a snapshot file, decoding it in chunks."""
    decoder = netstring.Decoder()
    for begin in range(0, len(content), READ_CHUNK_BYTES):
        yield from decoder.feed(content[begin : begin + READ_CHUNK_BYTES])
