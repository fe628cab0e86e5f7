"""A fake of the journal's file port: counts operations, and fails, tears a write or kills the process at any one.

What was written outlasts a killed process. ``ProcessKilled`` is raised at the operation in which the process dies, and
at every later one.
"""

from __future__ import annotations

import errno
from collections.abc import Callable

BLOCK_BYTES = 4096


class ProcessKilled(BaseException):
    """The process was killed; nothing of what it was doing goes on."""


class FakeDisk:
    """Files in memory. ``most``: bytes that all files may hold, in blocks of 4 KiB.

    ``dies_at``: the operation in which the process ends; ``torn``: how many bytes of that write are stored, or whether
    another operation is done at all. ``fails(name, number)``: called with each operation, it may raise OSError.
    """

    def __init__(self, files: dict[str, bytes] | None = None, most: int | None = None) -> None:
        self.files: dict[str, bytearray] = {name: bytearray(data) for name, data in (files or {}).items()}
        self.most, self.dies_at, self.torn = most, None, 0
        self.fails: Callable[[str, int], None] = lambda _what, _number: None
        self.operations: list[tuple[str, int]] = []  # what was done, and bytes of a write
        self._handles: dict[int, str] = {}
        self._next = 3
        self.peak = 0

    def image(self) -> dict[str, bytes]:
        """What a process that starts now would find."""
        return {name: bytes(data) for name, data in self.files.items()}

    def blocks(self, without: str = "") -> int:
        """Bytes of all files but one, rounded up to blocks."""
        return sum(-(-len(data) // BLOCK_BYTES) * BLOCK_BYTES for name, data in self.files.items() if name != without)

    def _operation(self, what: str, size: int = 0) -> bool:
        """Count an operation; whether the process dies in it. Raises ProcessKilled after that one."""
        number = len(self.operations)
        if self.dies_at is not None and number > self.dies_at:
            raise ProcessKilled
        self.operations.append((what, size))
        if number == self.dies_at:
            return True
        self.fails(what, number)
        return False

    def _done(self, dies: bool) -> None:
        self.peak = max(self.peak, self.blocks())
        if dies:
            raise ProcessKilled

    # The port ------------------------------------------------------------------------------------

    def lock(self) -> None:
        """Part of the port: there is no other process."""

    def unlock(self) -> None:
        """Part of the port."""

    def names(self) -> list[str]:
        """Part of the port."""
        return sorted(self.files)

    def read(self, name: str) -> bytes:
        """Part of the port."""
        return bytes(self.files[name])

    def create(self, name: str) -> int:
        """Part of the port."""
        dies = self._operation("create")
        if dies and not self.torn:
            raise ProcessKilled
        self.files[name] = bytearray()
        self._done(dies)
        return self._handle(name)

    def append_to(self, name: str, size: int) -> int:
        """Part of the port."""
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
        """Part of the port. Raises OSError where the disk is full."""
        name = self._handles[handle]
        dies = self._operation("write", len(data))
        if dies:
            data = data[: self.torn]
        if self.most is not None:
            capacity = self.most - self.blocks(name) - len(self.files[name])
            if capacity <= 0 and data:
                raise OSError(errno.ENOSPC, "No space left on device")
            data = data[:capacity]
        self.files[name] += data
        self._done(dies)
        return len(data)

    def overwrite(self, name: str, data: bytes) -> None:
        """Part of the port."""
        dies = self._operation("overwrite", len(data))
        if dies:
            data = data[: self.torn]
        assert len(data) <= len(self.files[name])
        self.files[name][: len(data)] = data
        self._done(dies)

    def truncate(self, handle: int, size: int) -> None:
        """Part of the port."""
        dies = self._operation("truncate")
        if dies and not self.torn:
            raise ProcessKilled
        del self.files[self._handles[handle]][size:]
        self._done(dies)

    def close(self, handle: int) -> None:
        """Part of the port."""
        self._handles.pop(handle)

    def rename(self, old: str, new: str) -> None:
        """Part of the port."""
        dies = self._operation("rename")
        if dies and not self.torn:
            raise ProcessKilled
        self.files[new] = self.files.pop(old)
        for handle, name in self._handles.items():
            if name == old:
                self._handles[handle] = new
        self._done(dies)

    def unlink(self, name: str) -> None:
        """Part of the port."""
        dies = self._operation("unlink")
        if dies and not self.torn:
            raise ProcessKilled
        del self.files[name]
        self._done(dies)
