"""All file operations of the journal: ``lab/fake_disk.py`` stands in for them in tests.

Names are those of files in one folder. Errors are OSError.
"""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol


class Port(Protocol):
    """What the journal needs of a folder."""

    def lock(self) -> None:
        """Keep every other process out. Raises BlockingIOError where one holds it."""

    def unlock(self) -> None:
        """Let others in."""

    def names(self) -> list[str]:
        """The names of all files."""

    def read(self, name: str) -> bytes:
        """All bytes of a file."""

    def create(self, name: str) -> int:
        """A new, empty file to append to; its handle."""

    def append_to(self, name: str, size: int) -> int:
        """An existing file to append to, truncated to that size; its handle."""

    def write(self, handle: int, data: bytes) -> int:
        """Append; how many bytes were written."""

    def overwrite(self, name: str, data: bytes) -> None:
        """Replace the first bytes of an existing file that is at least as long. A crash may leave a part of them."""

    def truncate(self, handle: int, size: int) -> None:
        """Cut a file to that size."""

    def close(self, handle: int) -> None:
        """Release a handle."""

    def rename(self, old: str, new: str) -> None:
        """Replace a file atomically."""

    def unlink(self, name: str) -> None:
        """Remove a file."""


class Folder:
    """A folder of the file system, as Port has it."""

    def __init__(self, path: Path, lock: str = "lock") -> None:
        self._path, self._lock = path, lock
        self._locked = -1

    def lock(self) -> None:
        """Part of Port."""
        self._path.mkdir(parents=True, exist_ok=True)
        self._locked = os.open(self._path / self._lock, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._locked, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self._locked)
            raise BlockingIOError(errno.EWOULDBLOCK, "another process has this journal", str(self._path)) from None

    def unlock(self) -> None:
        """Let others in; the end of the process does so too."""
        if self._locked >= 0:
            os.close(self._locked)
            self._locked = -1

    def names(self) -> list[str]:
        """Part of Port."""
        return sorted(os.listdir(self._path))

    def read(self, name: str) -> bytes:
        """Part of Port."""
        return (self._path / name).read_bytes()

    def create(self, name: str) -> int:
        """Part of Port."""
        return os.open(self._path / name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def append_to(self, name: str, size: int) -> int:
        """Part of Port."""
        handle = os.open(self._path / name, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        try:
            if os.fstat(handle).st_size != size:
                os.ftruncate(handle, size)
        except OSError:
            os.close(handle)
            raise
        return handle

    def write(self, handle: int, data: bytes) -> int:
        """Part of Port."""
        return os.write(handle, data)

    def overwrite(self, name: str, data: bytes) -> None:
        """Part of Port."""
        handle = os.open(self._path / name, os.O_WRONLY | os.O_CLOEXEC)
        try:
            if os.pwrite(handle, data, 0) != len(data):
                raise OSError(errno.EIO, "only part of it was written")
        finally:
            os.close(handle)

    def truncate(self, handle: int, size: int) -> None:
        """Part of Port."""
        os.ftruncate(handle, size)

    def close(self, handle: int) -> None:
        """Part of Port."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Part of Port."""
        os.replace(self._path / old, self._path / new)

    def unlink(self, name: str) -> None:
        """Part of Port."""
        os.unlink(self._path / name)
