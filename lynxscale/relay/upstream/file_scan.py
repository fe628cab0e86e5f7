"""Reads watched files that have changed. The calls block, so they run in a worker thread; they make no decisions."""

from __future__ import annotations

import os
import stat
import time
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from lynxscale.relay.upstream.files import MAX_FILE_BYTES, digest_of

SUFFIXES = (".list", ".json")
MAX_FILES_PER_FOLDER = 256
MAX_SCAN_BYTES = 32 << 20  # read per scan; bounds the memory when many large files change at once
RACY_WINDOW_NS = 50_000_000  # a file changed this recently may be changed again without a new timestamp
SAME, BYTES, ABSENT, UNREADABLE, UNSTEADY, LATER = "same", "bytes", "absent", "unreadable", "unsteady", "later"

FileStamp = tuple[int, ...]  # device, inode, size and times; if it is the same, the file is unchanged


class FileReadResult(NamedTuple):
    """The result of reading one file. ``status`` is one of the constants above.

    ``stamp`` is () if the file must be read again by the next scan. ``data`` and ``digest`` are set with status BYTES;
    otherwise ``reason`` may say why the file was not read.
    """

    path: str
    status: str
    stamp: FileStamp = ()
    data: bytes = b""
    digest: str = ""
    reason: str = ""


class Scan(NamedTuple):
    """The results of one scan of all watched files.

    ``folders`` are the folders to watch, each with its device and inode. ``faults`` say what is wrong with the
    configured paths. ``approved`` are the digests of versions that an operator has approved.
    """

    results: list[FileReadResult]
    folders: dict[str, tuple[int, int]]
    faults: list[str]
    approved: frozenset[str]


def find_files(paths: Iterable[str]) -> tuple[list[str], dict[str, tuple[int, int]], list[str]]:
    """Return the files behind the configured paths, the folders to watch, and what is wrong with the paths."""
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
    """Read a file unless it still has this stamp."""
    try:
        # Checked before opening: opening a device may have side effects, and a FIFO or folder is not a list.
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
        # A second change within the file system's clock tick can leave size and times as they are.
        racy = time.time_ns() - before.st_ctime_ns < RACY_WINDOW_NS
        return FileReadResult(path, BYTES, () if racy else after, data, digest_of(data))


def _stamp_of(status: os.stat_result) -> FileStamp:
    return status.st_dev, status.st_ino, status.st_size, status.st_mtime_ns, status.st_ctime_ns


def scan_files(paths: tuple[str, ...], stamps: Mapping[str, FileStamp], approved: Callable[[], frozenset[str]]) -> Scan:
    """Scan all files once, including those of ``stamps`` that are gone.

    Once MAX_SCAN_BYTES have been read, the remaining files get status LATER.
    """
    found, folders, faults = find_files(paths)
    results, bytes_left = [], MAX_SCAN_BYTES
    for path in [*found, *(path for path in stamps if path not in found)]:
        results.append(read_if_changed(path, stamps.get(path, ())) if bytes_left > 0 else FileReadResult(path, LATER))
        bytes_left -= len(results[-1].data)
    return Scan(results, folders, faults, approved())
