"""Reading watched files where they have changed: blocking calls, for a thread of its own. It decides nothing."""

from __future__ import annotations

import os
import stat
import time
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from lynxscale.relay.upstream.files import MAX_FILE_BYTES, digest_of

SUFFIXES = (".list", ".json")
MAX_FILES_PER_FOLDER = 256  # files of a folder
MAX_SCAN_BYTES = 32 << 20  # bytes read in one look: guards the memory against many large files that change at once
RACY_WINDOW_NS = 50_000_000  # ns: a file changed so lately may be changed again without its times showing it
SAME, BYTES, ABSENT, UNREADABLE, UNSTEADY, LATER = "same", "bytes", "absent", "unreadable", "unsteady", "later"

FileStamp = tuple[int, ...]  # device, inode, size and times, which tell an unchanged file


class FileReadResult(NamedTuple):
    """What a look at one file found. ``what`` is one of the constants above.

    ``stamp`` is () where the file must be read again. ``data`` and ``digest`` are those of BYTES, ``reason`` says why
    there are none.
    """

    path: str
    status: str
    stamp: FileStamp = ()
    data: bytes = b""
    digest: str = ""
    reason: str = ""


class Scan(NamedTuple):
    """One look at all watched files.

    ``folders``: what to watch, by device and inode; ``faults``: of the configured paths; ``approved``: digests.
    """

    results: list[FileReadResult]
    folders: dict[str, tuple[int, int]]
    faults: list[str]
    approved: frozenset[str]


def find_files(paths: Iterable[str]) -> tuple[list[str], dict[str, tuple[int, int]], list[str]]:
    """The files behind the configured paths, the folders to watch, and what is wrong with the paths."""
    found: list[str] = []
    folders: dict[str, tuple[int, int]] = {}
    faults: list[str] = []
    for path in paths:
        is_folder = os.path.isdir(path)
        folder = path if is_folder else os.path.dirname(path) or "."
        try:
            status = os.stat(folder)
            folders[folder] = (status.st_dev, status.st_ino)
            if is_folder:
                names = sorted(
                    name for name in os.listdir(path) if name.endswith(SUFFIXES) and not name.startswith(".")
                )
                if len(names) > MAX_FILES_PER_FOLDER:
                    faults.append(
                        f"{path}: want at most {MAX_FILES_PER_FOLDER} files, not {len(names)}: the rest is left out"
                    )
                found += [os.path.join(path, name) for name in names[:MAX_FILES_PER_FOLDER]]
            else:
                found.append(path)
        except OSError as error:
            faults.append(f"{folder}: {error.strerror}")
            if not is_folder:
                found.append(path)
    return found, folders, faults


def read_if_changed(path: str, stamp: FileStamp = (), max_bytes: int = MAX_FILE_BYTES) -> FileReadResult:
    """One file, read unless it has that stamp."""
    try:
        # Before it is opened: opening a device may have effects, and a FIFO or folder is no list.
        kind = os.stat(path).st_mode
        if not stat.S_ISREG(kind):
            what = "a folder" if stat.S_ISDIR(kind) else "a FIFO" if stat.S_ISFIFO(kind) else "something else"
            return FileReadResult(path, UNREADABLE, reason=f"want a plain file, not {what}")
        descriptor = os.open(path, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC | os.O_NOCTTY)
    except FileNotFoundError:
        return FileReadResult(path, ABSENT, reason="no such file")
    except OSError as error:
        return FileReadResult(path, UNREADABLE, reason=error.strerror or str(error))
    with os.fdopen(descriptor, "rb") as file:
        before = os.fstat(descriptor)
        if not stat.S_ISREG(before.st_mode):
            return FileReadResult(path, UNREADABLE, reason="want a plain file")
        if _stamp_of(before) == stamp:
            return FileReadResult(path, SAME, stamp)
        if before.st_size > max_bytes:
            return FileReadResult(path, UNREADABLE, reason=f"want at most {max_bytes} bytes, not {before.st_size}")
        try:
            data = file.read(max_bytes + 1)
        except OSError as error:
            return FileReadResult(path, UNREADABLE, reason=error.strerror or str(error))
        after = _stamp_of(os.fstat(descriptor))
        if after != _stamp_of(before) or len(data) != before.st_size:
            return FileReadResult(path, UNSTEADY, reason="it changes while it is read")
        # Guards against a second change within the file system's clock tick, that leaves size and times as they are.
        racy = time.time_ns() - before.st_ctime_ns < RACY_WINDOW_NS
        return FileReadResult(path, BYTES, () if racy else after, data, digest_of(data))


def _stamp_of(status: os.stat_result) -> FileStamp:
    return status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns, status.st_ctime_ns


def scan_files(paths: tuple[str, ...], stamps: Mapping[str, FileStamp], approved: Callable[[], frozenset[str]]) -> Scan:
    """Look at all files once, also those of ``stamps`` that are gone; what is beyond MAX_SCAN_BYTES is ``LATER``."""
    found, folders, faults = find_files(paths)
    results, bytes_left = [], MAX_SCAN_BYTES
    for path in [*found, *(path for path in stamps if path not in found)]:
        results.append(read_if_changed(path, stamps.get(path, ())) if bytes_left > 0 else FileReadResult(path, LATER))
        bytes_left -= len(results[-1].data)
    return Scan(results, folders, faults, approved())
