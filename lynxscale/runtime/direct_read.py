"""Reads files from the disk, past the page cache, whose pages would hide damage on the disk (``O_DIRECT``).

Dropping the pages with ``POSIX_FADV_DONTNEED`` before an ordinary read is no alternative: Linux may then wait until a
kernel thread has run on every processor, which takes seconds on a machine whose processors are all in use.
"""

from __future__ import annotations

import errno
import mmap
import os
from pathlib import Path

ALIGNMENT_BYTES = 4096
"""A multiple of the block sizes of disks, as offsets, lengths and buffers of direct reads have to be."""
UNSUPPORTED = frozenset({errno.EINVAL, errno.EOPNOTSUPP, errno.ENOSYS})


def read_from_disk(path: Path, offset: int, size: int) -> bytes | None:
    """Return at most ``size`` bytes of a file from an offset, None if it does not exist. Raises OSError.

    A file system without direct reads, such as tmpfs, reads the file in the ordinary way.
    """
    try:
        return _read_direct(path, offset, size)
    except FileNotFoundError:
        return None
    except OSError as error:
        if error.errno not in UNSUPPORTED:
            raise
        return _read_cached(path, offset, size)


def _read_direct(path: Path, offset: int, size: int) -> bytes:
    skipped = offset % ALIGNMENT_BYTES
    aligned_size = -(-(skipped + size) // ALIGNMENT_BYTES) * ALIGNMENT_BYTES
    descriptor = os.open(path, os.O_RDONLY | os.O_DIRECT)
    try:
        with mmap.mmap(-1, aligned_size, mmap.MAP_PRIVATE | mmap.MAP_ANONYMOUS) as buffer:
            count = os.preadv(descriptor, [buffer], offset - skipped)
            return buffer[skipped : min(count, skipped + size)]
    finally:
        os.close(descriptor)


def _read_cached(path: Path, offset: int, size: int) -> bytes | None:
    try:
        descriptor = os.open(path, os.O_RDONLY)
    except FileNotFoundError:
        return None
    try:
        return os.pread(descriptor, size, offset)
    finally:
        os.close(descriptor)
