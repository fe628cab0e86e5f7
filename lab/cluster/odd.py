"""A relay with skewed clocks and a slow disk: ``python -m lab.cluster.odd RATE run --conf FILE``, in the node's folder.

Its monotonic clocks run at ``RATE`` from its start on. A file of doubles in that folder holds two more settings, which
may change while the relay runs: the offset of its wall clock, and the duration of each file sync, in seconds. The relay
itself is unchanged.
"""

from __future__ import annotations

import mmap
import os
import struct
import sys
import time
from collections.abc import Callable
from pathlib import Path

SETTINGS_FILE, DOUBLE = "odd", struct.Struct("d")
WALL_CLOCK_OFFSET, SYNC_DELAY = 0, 1  # indexes of the doubles in the file


def set_value(folder: Path, slot: int, seconds: float) -> None:
    """Change a setting of the relay in this folder, running or not."""
    with open(folder / SETTINGS_FILE, "r+b") as file:
        file.seek(slot * DOUBLE.size)
        file.write(DOUBLE.pack(seconds))


def install(rate: float, path: Path) -> None:
    """Replace this process's clocks and sync calls. Must run before the import of any module that keeps one of them."""
    if not path.exists():
        path.write_bytes(DOUBLE.pack(0.0) * 2)
    with open(path, "r+b") as file:
        shared = mmap.mmap(file.fileno(), DOUBLE.size * 2)

    def current(slot: int) -> float:
        return DOUBLE.unpack_from(shared, slot * DOUBLE.size)[0]

    def scaled(clock: Callable, number_type: type) -> Callable:
        start = clock()
        return lambda: start + number_type((clock() - start) * rate)

    def delayed(sync: Callable) -> Callable:
        def delayed_sync(descriptor: int) -> None:
            time.sleep(current(SYNC_DELAY))
            sync(descriptor)

        return delayed_sync

    true_get, true_time, true_time_ns = time.clock_gettime_ns, time.time, time.time_ns
    boottime = scaled(lambda: true_get(time.CLOCK_BOOTTIME), int)
    time.monotonic, time.monotonic_ns = scaled(time.monotonic, float), scaled(time.monotonic_ns, int)
    time.clock_gettime_ns = lambda which: boottime() if which == time.CLOCK_BOOTTIME else true_get(which)
    time.time = lambda: true_time() + current(WALL_CLOCK_OFFSET)
    time.time_ns = lambda: true_time_ns() + int(current(WALL_CLOCK_OFFSET) * 1e9)
    os.fsync, os.fdatasync = delayed(os.fsync), delayed(os.fdatasync)


if __name__ == "__main__":
    rate = float(sys.argv.pop(1))
    install(rate, Path(SETTINGS_FILE))
    from lynxscale.__main__ import main

    main()
