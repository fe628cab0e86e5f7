"""The file operations of the journal, all of them: ``lab/fake_disk.py`` stands in for them in tests.

Names are those of files in one folder. Errors are OSError.
"""

from __future__ import annotations

import errno
import fcntl
import os
from pathlib import Path
from typing import Protocol


class Port(Protocol):
    """What the journal asks of a folder."""

    def lock(self) -> None:
        """Keep every other process out; BlockingIOError where one has it."""

    def unlock(self) -> None:
        """Let others in."""

    def names(self) -> list[str]:
        """What is there."""

    def read(self, name: str) -> bytes: ...

    def create(self, name: str) -> int:
        """A new, empty file, to be appended to."""

    def append_to(self, name: str, size: int) -> int:
        """A file that is there, cut to that size, to be appended to."""

    def write(self, handle: int, data: bytes) -> int:
        """How many bytes were taken."""

    def overwrite(self, name: str, data: bytes) -> None:
        """The first bytes of a file that is there and at least as long. Dying in it may leave a part of them."""

    def truncate(self, handle: int, size: int) -> None: ...

    def close(self, handle: int) -> None: ...

    def rename(self, old: str, new: str) -> None: ...

    def unlink(self, name: str) -> None: ...


class Folder:
    """The real one."""

    def __init__(self, path: Path, lock: str = "lock") -> None:
        self._path, self._lock = path, lock
        self._locked = -1

    def lock(self) -> None:
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
        return sorted(os.listdir(self._path))

    def read(self, name: str) -> bytes:
        return (self._path / name).read_bytes()

    def create(self, name: str) -> int:
        return os.open(self._path / name, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_APPEND | os.O_CLOEXEC, 0o600)

    def append_to(self, name: str, size: int) -> int:
        handle = os.open(self._path / name, os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC)
        try:
            if os.fstat(handle).st_size != size:
                os.ftruncate(handle, size)
        except OSError:
            os.close(handle)
            raise
        return handle

    def write(self, handle: int, data: bytes) -> int:
        return os.write(handle, data)

    def overwrite(self, name: str, data: bytes) -> None:
        handle = os.open(self._path / name, os.O_WRONLY | os.O_CLOEXEC)
        try:
            if os.pwrite(handle, data, 0) != len(data):
                raise OSError(errno.EIO, "only part of it was written")
        finally:
            os.close(handle)

    def truncate(self, handle: int, size: int) -> None:
        os.ftruncate(handle, size)

    def close(self, handle: int) -> None:
        os.close(handle)

    def rename(self, old: str, new: str) -> None:
        os.replace(self._path / old, self._path / new)

    def unlink(self, name: str) -> None:
        os.unlink(self._path / name)
