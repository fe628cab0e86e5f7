"""A folder of small files, each written aside, synced and renamed into place."""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

ASIDE = ".aside"
SYNC_EVERY_BYTES = 4 * 1024 * 1024


class DurableFiles:
    """Implements the Files port. A write returns once content and name are on stable storage.

    ``before_sync()`` is called before a write waits for the disk.
    """

    def __init__(self, folder: str, before_sync: Callable[[], None] = lambda: None) -> None:
        self._before_sync = before_sync
        self._folder = Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)
        self._descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        for left in self._folder.glob(f"*{ASIDE}"):
            left.unlink()

    def write(self, name: str, content: bytes) -> None:
        """Store a file. Raises OSError; the file of that name is then as before."""
        self.write_all({name: content})

    def write_all(self, contents: dict[str, bytes]) -> None:
        """Store several files. Raises OSError; those that took no name are then as before."""
        self._before_sync()
        files = []
        try:
            for name, content in contents.items():
                file = self.create(name)
                files.append(file)
                file.append(content)
                file.sync()
            for file in files:
                file.take_name()
            os.fsync(self._descriptor)
        except OSError:
            for file in files:
                file.discard()
            raise

    def create(self, name: str) -> AsideFile:
        """Begin a file. Raises OSError."""
        return AsideFile(self._folder / (name + ASIDE), self._folder / name, self._descriptor)

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


class AsideFile:
    """Implements the FileWriter port: a file written aside, which takes its name once it is durable."""

    def __init__(self, aside: Path, path: Path, folder: int) -> None:
        """``folder``: descriptor of the folder. Raises OSError."""
        self._aside, self._path, self._folder = aside, path, folder
        self._descriptor = os.open(aside, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o644)
        self._unsynced = 0

    def append(self, content: bytes) -> None:
        """Add a piece; now and then what came so far is synced, so that no sync takes long. Raises OSError."""
        try:
            written = 0
            while written < len(content):
                written += os.write(self._descriptor, content[written:])
            self._unsynced += written
            if self._unsynced > SYNC_EVERY_BYTES:
                os.fdatasync(self._descriptor)
                self._unsynced = 0
        except OSError:
            self.discard()
            raise

    def finish(self) -> None:
        """Make content and name durable. Raises OSError."""
        self.sync()
        self.take_name()
        os.fsync(self._folder)

    def sync(self) -> None:
        """Make the content durable. Raises OSError."""
        try:
            os.fdatasync(self._descriptor)
        except OSError:
            self.discard()
            raise

    def take_name(self) -> None:
        """Put the file in its place; that lasts once the folder is synced. Raises OSError."""
        self._close()
        os.rename(self._aside, self._path)

    def discard(self) -> None:
        """Leave nothing behind."""
        self._close()
        self._aside.unlink(missing_ok=True)

    def _close(self) -> None:
        descriptor, self._descriptor = self._descriptor, -1
        if descriptor >= 0:
            os.close(descriptor)


class ReadOnlyFiles:
    """Implements the Files port for looking at a folder: it changes nothing."""

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder)

    def write(self, name: str, content: bytes) -> None:
        """Not possible here. Raises OSError."""
        raise OSError("the folder is only looked at")

    def write_all(self, contents: dict[str, bytes]) -> None:
        """Not possible here. Raises OSError."""
        raise OSError("the folder is only looked at")

    def create(self, name: str) -> AsideFile:
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
