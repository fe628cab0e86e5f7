"""The replicated state of one member: keys and values in memory, and one file for each version on disk.

A version's file holds the batch that leads to it from the version before; from time to time a file holds a version
whole, and older files go. Each file ends with a checksum. A name that comes back after a loss of power, although it
was removed, does no harm: a batch is applied only behind the very position that it was made for.
"""

from __future__ import annotations

import zlib
from collections import deque
from collections.abc import Iterable

import msgspec

from lynxscale.coordination.messages import Batch, Position, Put
from lynxscale.coordination.ports import Files

BATCH_PREFIX, STATE_PREFIX = "batch-", "state-"
CHECKSUM_BYTES = 8
MOST_BATCH_FILES = 1000
LEAST_BATCH_BYTES = 1_000_000  # before the batches are folded into a whole version
RECENT_BATCHES = 512  # kept in memory, for members that missed a few
START = Position(0, 0)
REMOVED = msgspec.Raw(b"null")


class WholeState(msgspec.Struct, frozen=True):
    """The content of a file that holds a version whole."""

    position: Position
    puts: tuple[Put, ...]


class CorruptVersion(Exception):
    """A file does not hold what was written to it; the text names it."""


def seal(content: bytes) -> bytes:
    """The content with its checksum behind."""
    return content + b"%08x" % zlib.crc32(content)


def unseal(name: str, sealed: bytes) -> bytes:
    """The content of a sealed file. Raises CorruptVersion."""
    content, checksum = sealed[:-CHECKSUM_BYTES], sealed[-CHECKSUM_BYTES:]
    if checksum != b"%08x" % zlib.crc32(content):
        raise CorruptVersion(name)
    return content


class Store:
    """State at ``position``. ``apply`` changes the memory, ``save`` makes the same batch durable, in either order."""

    def __init__(self, files: Files) -> None:
        self.position = START
        self.values: dict[str, msgspec.Raw] = {}
        self.recent: deque[Batch] = deque(maxlen=RECENT_BATCHES)
        self.corrupt: list[str] = []
        self._files = files
        self._batch_files: list[str] = []
        self._batch_bytes = self._state_bytes = 0
        self._load()

    def apply(self, puts: Iterable[Put]) -> None:
        """Change the values in memory."""
        for put in puts:
            if put.removes:
                self.values.pop(put.key, None)
            else:
                self.values[put.key] = put.value

    def before(self, puts: Iterable[Put]) -> tuple[Put, ...]:
        """Puts that would undo these, if they were applied now."""
        return tuple(Put(put.key, self.values.get(put.key, REMOVED)) for put in puts)

    def save(self, batch: Batch) -> None:
        """Write the batch's version and move on to it. Raises OSError; then the position stays."""
        name = f"{BATCH_PREFIX}{batch.position.index:012d}-{batch.position.epoch:08d}"
        content = seal(msgspec.json.encode(batch))
        self._files.write(name, content)
        self._batch_files.append(name)
        self._batch_bytes += len(content)
        self.position = batch.position
        self.recent.append(batch)

    def since(self, position: Position) -> list[Batch] | None:
        """Batches that lead on from a position, None where they are no longer at hand."""
        if position == self.position:
            return []
        batches = list(self.recent)
        for place, batch in enumerate(batches):
            if batch.previous == position:
                return batches[place:]
        return None

    def whole(self) -> tuple[Put, ...]:
        """Everything, as puts."""
        return tuple(Put(key, value) for key, value in self.values.items())

    def install(self, position: Position, puts: tuple[Put, ...]) -> None:
        """Replace everything by another member's state. Raises OSError; then nothing has changed."""
        self._write_whole(WholeState(position, puts))
        self.position = position
        self.values = {put.key: put.value for put in puts if not put.removes}
        self.recent.clear()

    def checksum(self) -> int:
        """Checksum of all keys and values, the same on members with equal state."""
        total = 0
        for key, value in self.values.items():
            total ^= zlib.crc32(bytes(value), zlib.crc32(key.encode()))
        return total

    def fold_if_due(self) -> None:
        """Write the version whole where its batches have become many; to be called once the last one is applied."""
        due = self._batch_bytes > LEAST_BATCH_BYTES + 2 * self._state_bytes
        if due or len(self._batch_files) > MOST_BATCH_FILES:
            self._write_whole(WholeState(self.position, self.whole()))

    def _write_whole(self, state: WholeState) -> None:
        name = f"{STATE_PREFIX}{state.position.index:012d}-{state.position.epoch:08d}"
        content = seal(msgspec.json.encode(state))
        self._files.write(name, content)
        for other in self._files.names():
            if other.startswith((BATCH_PREFIX, STATE_PREFIX)) and other != name:
                self._files.remove(other)
        self._batch_files, self._batch_bytes, self._state_bytes = [], 0, len(content)

    def _load(self) -> None:
        names = self._files.names()
        for name in sorted((n for n in names if n.startswith(STATE_PREFIX)), reverse=True):
            if (content := self._read(name)) is not None:
                state = msgspec.json.decode(content, type=WholeState)
                self.position, self._state_bytes = state.position, len(content)
                self.apply(state.puts)
                break
        # Of two batches behind one position the later epoch's counts: sorted by index, then by epoch.
        later: dict[Position, list[tuple[Position, str, Batch]]] = {}
        for name in sorted(n for n in names if n.startswith(BATCH_PREFIX)):
            if (content := self._read(name)) is not None:
                batch = msgspec.json.decode(content, type=Batch)
                later.setdefault(batch.previous, []).append((batch.position, name, batch))
                self._batch_bytes += len(content)
        while following := later.get(self.position):
            _, name, batch = max(following, key=lambda entry: entry[0])
            self.apply(batch.puts)
            self.position = batch.position
            self._batch_files.append(name)
            self.recent.append(batch)

    def _read(self, name: str) -> bytes | None:
        try:
            return unseal(name, self._files.read(name) or b"")
        except CorruptVersion:
            self.corrupt.append(name)
            return None
