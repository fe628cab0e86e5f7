"""``python -m lab.tier.steady_disk MODULE``: a program on a disk whose syncs take the same time each.

While other programs write to this machine's disk, each access to it takes a multiple of what deployments state. Killed
processes lose nothing that they have written, so no access is needed: a sync is replaced by a wait, files are read from
the page cache, and a file that is replaced stays open, as freeing it waits until it has been written.
"""

from __future__ import annotations

import os
import runpy
import sys
import time
from collections import deque
from pathlib import Path

SYNC_S = 0.001
MAX_REPLACED = 200  # number of replaced files that stay open

rename = os.rename
replaced_files: deque[int] = deque()


def wait_for_sync(descriptor: int) -> None:
    """Take the place of ``os.fsync`` and ``os.fdatasync``. Raises OSError if the descriptor is not open."""
    os.fstat(descriptor)
    time.sleep(SYNC_S)


def keep_in_page_cache(descriptor: int, offset: int, length: int, advice: int) -> None:
    """Take the place of ``os.posix_fadvise``, which other versions call. Raises OSError if the file is not open."""
    os.fstat(descriptor)


def rename_and_keep_replaced(source: Path, target: Path) -> None:
    """Take the place of ``os.rename``. Raises OSError."""
    if target.exists():
        replaced_files.append(os.open(target, os.O_RDONLY))
    rename(source, target)
    if len(replaced_files) > MAX_REPLACED:
        os.close(replaced_files.popleft())


def main() -> None:
    """Run the module named by the first argument; the other arguments are its own."""
    os.fsync = os.fdatasync = wait_for_sync
    os.O_DIRECT = 0
    os.posix_fadvise = keep_in_page_cache
    os.rename = rename_and_keep_replaced
    module = sys.argv.pop(1)
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
