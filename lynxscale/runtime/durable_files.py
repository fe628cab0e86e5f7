"""Durable files: each is written under a temporary name, synced and renamed into place, so that it survives a crash.

A rename within a folder is atomic (POSIX ``rename``), and durable once the folder itself is synced.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from lynxscale.runtime.direct_read import read_from_disk
from lynxscale.runtime.exceptions import ReadOnlyFolderError

TEMPORARY_SUFFIX = ".aside"
SYNC_INTERVAL_BYTES = 4 * 1024 * 1024
"""A long file is synced whenever this many bytes are unsynced, so that no single sync blocks for long."""
FILE_MODE = 0o644


class DurableFiles:
    """Implements the Files port in a folder. A write returns once content and name are on stable storage.

    ``before_sync()`` is called before a write blocks on the disk.
    """

    def __init__(self, folder: str, before_sync: Callable[[], None] = lambda: None) -> None:
        """Create the folder if it is missing, and remove files that were not finished. Raises OSError."""
        self._before_sync = before_sync
        self._folder = Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)
        for unfinished in self._folder.glob(f"*{TEMPORARY_SUFFIX}"):
            unfinished.unlink()
        self._descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)

    def write(self, name: str, content: bytes) -> None:
        """Write a file. Raises OSError; a file of that name is then unchanged."""
        self.write_all({name: content})

    def write_all(self, contents: dict[str, bytes]) -> None:
        """Write several files. Raises OSError; those not yet renamed into place are then unchanged."""
        self._before_sync()
        files = []
        try:
            for name, content in contents.items():
                file = self.create(name)
                files.append(file)
                file.append(content)
                file.sync()
            for file in files:
                file.rename_into_place()
            os.fsync(self._descriptor)
        except OSError:
            for file in files:
                file.discard()
            raise

    def create(self, name: str) -> AtomicFileWriter:
        """Return a writer for a new file. Raises OSError."""
        temporary = self._folder / (name + TEMPORARY_SUFFIX)
        return AtomicFileWriter(temporary, self._folder / name, self._descriptor)

    def read(self, name: str) -> bytes | None:
        """Return a file's content, None if it does not exist. Raises OSError."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def read_chunk(self, name: str, offset: int, size: int) -> bytes | None:
        """Return at most ``size`` bytes from an offset, read from the disk, not from the page cache. Raises OSError."""
        return read_from_disk(self._folder / name, offset, size)

    def names(self) -> list[str]:
        """Return the names of all complete files, sorted."""
        return sorted(name for name in os.listdir(self._folder) if not name.endswith(TEMPORARY_SUFFIX))

    def remove(self, name: str) -> None:
        """Remove a file; the removal is durable after the next write. Raises OSError."""
        (self._folder / name).unlink(missing_ok=True)


class AtomicFileWriter:
    """Implements the FileWriter port: writes under a temporary name and renames once the content is durable."""

    def __init__(self, temporary_path: Path, path: Path, folder_descriptor: int) -> None:
        """Create the temporary file. Raises OSError."""
        self._temporary_path = temporary_path
        self._path = path
        self._folder_descriptor = folder_descriptor
        self._descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        self._unsynced_bytes = 0

    def append(self, content: bytes) -> None:
        """Append a chunk, and sync if more than ``SYNC_INTERVAL_BYTES`` are unsynced. Raises OSError."""
        try:
            written = 0
            while written < len(content):
                written += os.write(self._descriptor, content[written:])
            self._unsynced_bytes += written
            if self._unsynced_bytes > SYNC_INTERVAL_BYTES:
                os.fdatasync(self._descriptor)
                self._unsynced_bytes = 0
        except OSError:
            self.discard()
            raise

    def finish(self) -> None:
        """Make the content and the name durable. Raises OSError."""
        self.sync()
        self.rename_into_place()
        os.fsync(self._folder_descriptor)

    def sync(self) -> None:
        """Make the content durable. Raises OSError."""
        try:
            os.fdatasync(self._descriptor)
        except OSError:
            self.discard()
            raise

    def rename_into_place(self) -> None:
        """Rename the file to its final name; this is durable once the folder is synced. Raises OSError."""
        self._close()
        os.rename(self._temporary_path, self._path)

    def discard(self) -> None:
        """Remove the temporary file."""
        self._close()
        self._temporary_path.unlink(missing_ok=True)

    def _close(self) -> None:
        descriptor, self._descriptor = self._descriptor, -1
        if descriptor >= 0:
            os.close(descriptor)


class ReadOnlyFiles:
    """Implements the Files port for inspecting a folder without changing it."""

    def __init__(self, folder: str) -> None:
        self._folder = Path(folder)

    def write(self, name: str, content: bytes) -> None:
        """Not possible here. Raises ReadOnlyFolderError."""
        raise self._write_rejected()

    def write_all(self, contents: dict[str, bytes]) -> None:
        """Not possible here. Raises ReadOnlyFolderError."""
        raise self._write_rejected()

    def create(self, name: str) -> AtomicFileWriter:
        """Not possible here. Raises ReadOnlyFolderError."""
        raise self._write_rejected()

    def read(self, name: str) -> bytes | None:
        """Return a file's content, None if it does not exist. Raises OSError."""
        path = self._folder / name
        return path.read_bytes() if path.is_file() else None

    def read_chunk(self, name: str, offset: int, size: int) -> bytes | None:
        """Return at most ``size`` bytes from an offset. Raises OSError."""
        return read_from_disk(self._folder / name, offset, size)

    def names(self) -> list[str]:
        """Return the names of all complete files, sorted."""
        return sorted(path.name for path in self._folder.iterdir() if not path.name.endswith(TEMPORARY_SUFFIX))

    def remove(self, name: str) -> None:
        """Do nothing: the store removes superseded files as it opens a folder, which an inspection must not do."""

    def _write_rejected(self) -> ReadOnlyFolderError:
        return ReadOnlyFolderError(f"{self._folder} is open for reading only")
