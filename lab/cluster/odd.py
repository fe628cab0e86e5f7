"""A relay whose clocks are off: ``python -m lab.cluster.odd RATE run --conf FILE``, in the node's folder.

Its monotonic clocks run at ``RATE`` from its start on. Its wall clock is off by what the file ``WALL`` says at the
moment, seconds as one double, so that it can be stepped while the relay runs. The program itself is as in service.
"""

from __future__ import annotations

import mmap
import struct
import sys
import time
from collections.abc import Callable
from pathlib import Path

WALL, DOUBLE = "wall", struct.Struct("d")


def step_wall(folder: Path, seconds: float) -> None:
    """From now on the wall clock of the relay in that folder is so far off."""
    with open(folder / WALL, "r+b") as file:
        file.write(DOUBLE.pack(seconds))


def put_wrong(rate: float, wall: Path) -> None:
    """Replace this process's clocks; before anything that keeps one of them is imported."""
    if not wall.exists():
        wall.write_bytes(DOUBLE.pack(0.0))
    with open(wall, "r+b") as file:
        told = mmap.mmap(file.fileno(), DOUBLE.size)

    def scaled(clock: Callable, whole: type) -> Callable:
        begun = clock()
        return lambda: begun + whole((clock() - begun) * rate)

    true_get, true_time, true_time_ns = time.clock_gettime_ns, time.time, time.time_ns
    boot = scaled(lambda: true_get(time.CLOCK_BOOTTIME), int)
    time.monotonic, time.monotonic_ns = scaled(time.monotonic, float), scaled(time.monotonic_ns, int)
    time.clock_gettime_ns = lambda which: boot() if which == time.CLOCK_BOOTTIME else true_get(which)
    time.time = lambda: true_time() + DOUBLE.unpack_from(told)[0]
    time.time_ns = lambda: true_time_ns() + int(DOUBLE.unpack_from(told)[0] * 1e9)


if __name__ == "__main__":
    rate = float(sys.argv.pop(1))
    put_wrong(rate, Path(WALL))
    from lynxscale.__main__ import main

    main()
