"""The files of a simulated machine, with durable writes and disk faults."""

from __future__ import annotations

import errno
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lab.tier.machine import Machine

REMOVAL_UNDO_PROBABILITY = 0.5
"""The probability that a power loss undoes a removal that was not synced."""


class SimulatedFiles:
    """Implements the Files port. Writes are durable; a removal is durable once a later write has synced the folder."""

    def __init__(self, machine: Machine) -> None:
        self._machine = machine
        self._files: dict[str, bytes] = {}
        self._unsynced_removals: dict[str, bytes] = {}
        self.full = False

    def check_space(self) -> None:
        """Raises OSError if the disk is full."""
        if self.full:
            raise OSError(errno.ENOSPC, "No space left on device")

    def write(self, name: str, content: bytes) -> None:
        """Store a file. Raises OSError if the disk is full."""
        self.write_all({name: content})

    def write_all(self, contents: dict[str, bytes]) -> None:
        """Store several files, one after the other. Raises OSError if the disk is full."""
        self.check_space()
        self._machine.sync(len(contents) + 1)
        for name, content in contents.items():
            self._files[name] = content
            self._unsynced_removals.clear()
            self._machine.world.count_step(self._machine)

    def create(self, name: str) -> SimulatedFileWriter:
        """Start a file that is written in chunks."""
        return SimulatedFileWriter(self, name)

    def read(self, name: str) -> bytes | None:
        """The content of a file, None if it does not exist."""
        return self._files.get(name)

    def read_chunk(self, name: str, offset: int, size: int) -> bytes | None:
        """At most ``size`` bytes from an offset, None if the file does not exist."""
        content = self._files.get(name)
        return None if content is None else content[offset : offset + size]

    def names(self) -> list[str]:
        """The names of all files, sorted."""
        return sorted(self._files)

    def remove(self, name: str) -> None:
        """Remove a file; a power loss may undo it."""
        if name in self._files:
            self._unsynced_removals[name] = self._files.pop(name)

    # Copies ------------------------------------------------------------------------------------------

    def content(self) -> dict[str, bytes]:
        """A copy of all files."""
        return dict(self._files)

    def restore(self, content: dict[str, bytes]) -> None:
        """Replace all files."""
        self._files = dict(content)

    # Faults ------------------------------------------------------------------------------------------

    def corrupt(self, name: str, random: Random) -> None:
        """Flip one random bit of a file."""
        content = bytearray(self._files[name])
        content[random.randrange(len(content))] ^= 1 << random.randrange(8)
        self._files[name] = bytes(content)

    def truncate(self, name: str, random: Random) -> None:
        """Truncate a file at a random offset."""
        self._files[name] = self._files[name][: random.randrange(len(self._files[name]))]

    def lose_power(self, random: Random) -> None:
        """Undo removals that were not synced, each with ``REMOVAL_UNDO_PROBABILITY``."""
        for name, content in self._unsynced_removals.items():
            if random.random() < REMOVAL_UNDO_PROBABILITY:
                self._files.setdefault(name, content)
        self._unsynced_removals.clear()


class SimulatedFileWriter:
    """Implements the FileWriter port: stores the file once it is finished."""

    def __init__(self, files: SimulatedFiles, name: str) -> None:
        self._files = files
        self._name = name
        self._content = bytearray()

    def append(self, content: bytes) -> None:
        """Add a chunk. Raises OSError if the disk is full."""
        self._files.check_space()
        self._content += content

    def finish(self) -> None:
        """Store the file. Raises OSError if the disk is full."""
        self._files.write(self._name, bytes(self._content))

    def discard(self) -> None:
        """Drop what was appended."""
        self._content.clear()
