"""All file operations of the journal; ``lab/fake_disk.py`` replaces them in tests.

File names are relative to one folder. Failures raise OSError.
"""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol


class Storage(Protocol):
    """The file operations that the journal needs. Handles come from ``create`` and ``append_to``."""

    def lock(self) -> None:
        """Lock the folder. Raises BlockingIOError if another process has locked it."""

    def unlock(self) -> None:
        """Unlock the folder."""

    def names(self) -> list[str]:
        """The names of all files."""

    def read(self, name: str) -> bytes:
        """A file's bytes."""
        ...

    def create(self, name: str) -> int:
        """Create an empty file for appending and return its handle."""

    def append_to(self, name: str, size: int) -> int:
        """Open an existing file for appending, truncated to ``size`` bytes, and return its handle."""

    def write(self, handle: int, data: bytes) -> int:
        """Append ``data`` and return how many bytes were written, which may be fewer than all."""

    def overwrite(self, name: str, data: bytes) -> None:
        """Overwrite the start of an existing file that is at least as long; a crash may leave a partial write."""

    def truncate(self, handle: int, size: int) -> None:
        """Truncate a file to ``size`` bytes."""

    def close(self, handle: int) -> None:
        """Close a handle."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically, replacing any file with the new name."""

    def unlink(self, name: str) -> None:
        """Remove a file."""


class FolderStorage:
    """Storage in a folder of the file system. ``lock``: the name of its lock file."""

    def __init__(self, path: Path, lock: str = "lock") -> None:
        self._path, self._lock_name = path, lock
        self._lock_handle = -1

    def lock(self) -> None:
        """Lock the folder, creating it if it is missing. Raises BlockingIOError if another process has locked it."""
        self._path.mkdir(parents=True, exist_ok=True)
        self._lock_handle = os.open(self._path / self._lock_name, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        try:
            fcntl.flock(self._lock_handle, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            os.close(self._lock_handle)
            raise BlockingIOError(errno.EWOULDBLOCK, "another process has this journal", str(self._path)) from None

    def unlock(self) -> None:
        """Unlock the folder; the operating system does the same when the process ends."""
        if self._lock_handle >= 0:
            os.close(self._lock_handle)
            self._lock_handle = -1

    def names(self) -> list[str]:
        """The names of all files, sorted."""
        return sorted(os.listdir(self._path))

    def read(self, name: str) -> bytes:
        """A file's bytes."""
        return (self._path / name).read_bytes()

    def create(self, name: str) -> int:
        """Create an empty file for appending and return its handle."""
        return os.open(self._path / name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def append_to(self, name: str, size: int) -> int:
        """Open an existing file for appending, truncated to ``size`` bytes, and return its handle."""
        handle = os.open(self._path / name, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        try:
            if os.fstat(handle).st_size != size:
                os.ftruncate(handle, size)
        except OSError:
            os.close(handle)
            raise
        return handle

    def write(self, handle: int, data: bytes) -> int:
        """Append ``data`` and return how many bytes were written."""
        return os.write(handle, data)

    def overwrite(self, name: str, data: bytes) -> None:
        """Overwrite the start of an existing file."""
        handle = os.open(self._path / name, os.O_WRONLY | os.O_CLOEXEC)
        try:
            if os.pwrite(handle, data, 0) != len(data):
                raise OSError(errno.EIO, "only part of the data was written")
        finally:
            os.close(handle)

    def truncate(self, handle: int, size: int) -> None:
        """Truncate a file to ``size`` bytes."""
        os.ftruncate(handle, size)

    def close(self, handle: int) -> None:
        """Close a handle."""
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically."""
        os.replace(self._path / old, self._path / new)

    def unlink(self, name: str) -> None:
        """Remove a file."""
        os.unlink(self._path / name)
