"""A fake of the journal's file storage: counts operations, and can fail, tear a write or kill the process at any.

Written data survives a killed process. ``ProcessKilled`` is raised at the operation in which the process dies, and
at every later one.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

BLOCK_BYTES = 4096


class ProcessKilled(BaseException):
    """The simulated process was killed; a BaseException, so that no error handling of the journal goes on."""


class FakeDisk:
    """The journal's Storage in memory.

    ``capacity_bytes``: capacity of the disk, on which each file takes whole blocks of 4 KiB.
    ``killed_at``: number of the operation in which the process is killed; ``torn``: how many bytes of that write are
    stored, or, for any other operation, whether it is done at all. ``fails(name, number)`` is called with each
    operation and may raise OSError.
    """

    def __init__(self, files: dict[str, bytes] | None = None, capacity_bytes: int | None = None) -> None:
        self.files: dict[str, bytearray] = {name: bytearray(data) for name, data in (files or {}).items()}
        self.capacity_bytes, self.killed_at, self.torn = capacity_bytes, None, 0
        self.fails: Callable[[str, int], None] = lambda _what, _number: None
        self.operations: list[tuple[str, int]] = []  # name, and bytes of a write
        self._handles: dict[int, str] = {}
        self._next = 3
        self.peak = 0

    def image(self) -> dict[str, bytes]:
        """The files that a process would find on a restart."""
        return {name: bytes(data) for name, data in self.files.items()}

    def blocks(self, without: str = "") -> int:
        """Bytes of all files but one, each rounded up to whole blocks."""
        return sum(-(-len(data) // BLOCK_BYTES) * BLOCK_BYTES for name, data in self.files.items() if name != without)

    def _operation(self, what: str, size: int = 0) -> bool:
        """Count an operation; returns whether the process dies in it. Raises ProcessKilled for later ones."""
        number = len(self.operations)
        if self.killed_at is not None and number > self.killed_at:
            raise ProcessKilled
        self.operations.append((what, size))
        if number == self.killed_at:
            return True
        self.fails(what, number)
        return False

    def _done(self, dies: bool) -> None:
        self.peak = max(self.peak, self.blocks())
        if dies:
            raise ProcessKilled

    # Storage -------------------------------------------------------------------------------------

    def lock(self) -> None:
        """Does nothing: there is no other process."""

    def unlock(self) -> None:
        """Does nothing: there is no other process."""

    def names(self) -> list[str]:
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        return bytes(self.files[name])

    def create(self, name: str) -> int:
        dies = self._operation("create")
        if dies and not self.torn:
            raise ProcessKilled
        self.files[name] = bytearray()
        self._done(dies)
        return self._handle(name)

    def append_to(self, name: str, size: int) -> int:
        dies = self._operation("append_to")
        if dies and not self.torn:
            raise ProcessKilled
        del self.files[name][size:]
        self._done(dies)
        return self._handle(name)

    def _handle(self, name: str) -> int:
        self._next += 1
        self._handles[self._next] = name
        return self._next

    def write(self, handle: int, data: bytes) -> int:
        """Raises OSError where the disk is full."""
        name = self._handles[handle]
        dies = self._operation("write", len(data))
        if dies:
            data = data[: self.torn]
        if self.capacity_bytes is not None:
            capacity = self.capacity_bytes - self.blocks(name) - len(self.files[name])
            if capacity <= 0 and data:
                raise OSError(errno.ENOSPC, "No space left on device")
            data = data[:capacity]
        self.files[name] += data
        self._done(dies)
        return len(data)

    def overwrite(self, name: str, data: bytes) -> None:
        dies = self._operation("overwrite", len(data))
        if dies:
            data = data[: self.torn]
        assert len(data) <= len(self.files[name])
        self.files[name][: len(data)] = data
        self._done(dies)

    def truncate(self, handle: int, size: int) -> None:
        dies = self._operation("truncate")
        if dies and not self.torn:
            raise ProcessKilled
        del self.files[self._handles[handle]][size:]
        self._done(dies)

    def close(self, handle: int) -> None:
        self._handles.pop(handle)

    def rename(self, old: str, new: str) -> None:
        dies = self._operation("rename")
        if dies and not self.torn:
            raise ProcessKilled
        self.files[new] = self.files.pop(old)
        for handle, name in self._handles.items():
            if name == old:
                self._handles[handle] = new
        self._done(dies)

    def unlink(self, name: str) -> None:
        dies = self._operation("unlink")
        if dies and not self.torn:
            raise ProcessKilled
        del self.files[name]
        self._done(dies)
