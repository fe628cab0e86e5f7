"""A folder of small files that survive a crash: each is written under a temporary name, synced and renamed into place.

A rename within a folder is atomic (POSIX ``rename``), and durable once the folder itself is synced.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

from lynxscale.runtime.exceptions import ReadOnlyFolderError

TEMPORARY_SUFFIX = ".aside"
SYNC_EVERY_BYTES = 4 * 1024 * 1024
"""A long file is synced each time that so much was written, so that no single sync blocks for long."""
FILE_MODE = 0o644


class DurableFiles:
    """Implements the Files port. A write returns once content and name are on stable storage.

    ``before_sync()`` is called before a write blocks on the disk.
    """

    def __init__(self, folder: str, before_sync: Callable[[], None] = lambda: None) -> None:
        self._before_sync = before_sync
        self._folder = Path(folder)
        self._folder.mkdir(parents=True, exist_ok=True)
        self._descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
        for unfinished in self._folder.glob(f"*{TEMPORARY_SUFFIX}"):
            unfinished.unlink()

    def write(self, name: str, content: bytes) -> None:
        """Store a file. Raises OSError; the file of that name is then as before."""
        self.write_all({name: content})

    def write_all(self, contents: dict[str, bytes]) -> None:
        """Store several files. Raises OSError; those not yet renamed into place are then as before."""
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
        """Begin a file. Raises OSError."""
        temporary = self._folder / (name + TEMPORARY_SUFFIX)
        return AtomicFileWriter(temporary, self._folder / name, self._descriptor)

    def read(self, name: str) -> bytes | None:
        """A file's content, None where there is none. Raises OSError."""
        try:
            return (self._folder / name).read_bytes()
        except FileNotFoundError:
            return None

    def read_chunk(self, name: str, offset: int, size: int) -> bytes | None:
        """At most ``size`` bytes from an offset, read from the disk, not from the page cache. Raises OSError."""
        return read_chunk_from_disk(self._folder / name, offset, size)

    def names(self) -> list[str]:
        """All complete files, sorted."""
        return sorted(name for name in os.listdir(self._folder) if not name.endswith(TEMPORARY_SUFFIX))

    def remove(self, name: str) -> None:
        """Remove a file; durable with the next write. Raises OSError."""
        (self._folder / name).unlink(missing_ok=True)


def read_chunk_from_disk(path: Path, offset: int, size: int) -> bytes | None:
    """At most ``size`` bytes of a file from an offset, None where there is none. Raises OSError.

    The pages are dropped from the cache first: what the cache holds says nothing of the disk.
    """
    try:
        descriptor = os.open(path, os.O_RDONLY)
    except FileNotFoundError:
        return None
    try:
        os.posix_fadvise(descriptor, offset, size, os.POSIX_FADV_DONTNEED)
        return os.pread(descriptor, size, offset)
    finally:
        os.close(descriptor)


class AtomicFileWriter:
    """Implements the FileWriter port: a file under a temporary name, renamed once its content is durable."""

    def __init__(self, temporary_path: Path, path: Path, folder_descriptor: int) -> None:
        """Create the temporary file. Raises OSError."""
        self._temporary_path = temporary_path
        self._path = path
        self._folder_descriptor = folder_descriptor
        self._descriptor = os.open(temporary_path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, FILE_MODE)
        self._unsynced_bytes = 0

    def append(self, content: bytes) -> None:
        """Add a chunk, and sync once ``SYNC_EVERY_BYTES`` are unsynced. Raises OSError."""
        try:
            written = 0
            while written < len(content):
                written += os.write(self._descriptor, content[written:])
            self._unsynced_bytes += written
            if self._unsynced_bytes > SYNC_EVERY_BYTES:
                os.fdatasync(self._descriptor)
                self._unsynced_bytes = 0
        except OSError:
            self.discard()
            raise

    def finish(self) -> None:
        """Make content and name durable. Raises OSError."""
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
        """Give the file its name; durable once the folder is synced. Raises OSError."""
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
    """Implements the Files port for inspecting a folder: it changes nothing."""

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
        """A file's content, None where there is none. Raises OSError."""
        path = self._folder / name
        return path.read_bytes() if path.is_file() else None

    def read_chunk(self, name: str, offset: int, size: int) -> bytes | None:
        """At most ``size`` bytes from an offset. Raises OSError."""
        return read_chunk_from_disk(self._folder / name, offset, size)

    def names(self) -> list[str]:
        """All complete files, sorted."""
        return sorted(path.name for path in self._folder.iterdir() if not path.name.endswith(TEMPORARY_SUFFIX))

    def remove(self, name: str) -> None:
        """Does nothing: a reader of the folder may drop files that it finds superseded."""

    def _write_rejected(self) -> ReadOnlyFolderError:
        return ReadOnlyFolderError(f"{self._folder} is open for reading only")
