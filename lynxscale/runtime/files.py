"""A folder of small files, each written aside, synced and renamed into place."""

from __future__ import annotations

import os
from pathlib import Path

ASIDE = ".aside"


class DurableFiles:
    """Implements the Files port. A write returns once content and name are on stable storage."""

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)
        self._descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        for left in self._folder.glob(f"*{ASIDE}"):
            left.unlink()

    def write(self, name: str, content: bytes) -> None:
        """Store a file. Raises OSError; the file of that name is then as before."""
        aside = self._folder / (name + ASIDE)
        descriptor = os.open(aside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        try:
            written = 0
            while written < len(content):
                written += os.write(descriptor, content[written:])
            os.fdatasync(descriptor)
        finally:
            os.close(descriptor)
        os.rename(aside, self._folder / name)
        os.fsync(self._descriptor)

    def read(self, name: str) -> bytes | None:
        """A file's content, None where there is none."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def names(self) -> list[str]:
        """All complete files, sorted."""
        return sorted(name for name in os.listdir(self._folder) if not name.endswith(ASIDE))

    def remove(self, name: str) -> None:
        """Take a file away; durable with the next write."""
        (self._folder / name).unlink(missing_ok=True)


class ReadOnlyFiles:
    """Implements the Files port for looking at a folder: it changes nothing."""

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder)

    def write(self, name: str, content: bytes) -> None:
        """Not possible here. Raises OSError."""
        raise OSError("the folder is only looked at")

    def read(self, name: str) -> bytes | None:
        """A file's content, None where there is none."""
        path = self._folder / name
        return path.read_bytes() if path.is_file() else None

    def names(self) -> list[str]:
        """All complete files, sorted."""
        return sorted(path.name for path in self._folder.iterdir() if not path.name.endswith(ASIDE))

    def remove(self, name: str) -> None:
        """Does nothing."""
