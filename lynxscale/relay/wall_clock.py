"""Unix time that goes on evenly over the restarts of a relay, whatever steps its machine's wall clock makes meanwhile.

Times in the journal are compared with those of a later process: when a message is over, and since when a try may have
run. A wall clock that is put back by an hour would open a key's span again, and one put forward would end all that is
held. So the first process on a boot of the machine notes how far Unix time is from the clock that runs since the boot,
and all later ones go by that. After a new boot only the wall clock is left to ask.

The file ``clock`` in the state folder: JSON with ``version``, ``boot`` (the system's name of it) and ``zero``, in µs.
"""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path

import orjson
import structlog

log = structlog.get_logger()

FILE, VERSION = "clock", 1
BOOT = Path("/proc/sys/kernel/random/boot_id")
STEP = 1_000_000  # µs; a smaller difference is what a clock that is steered gathers, and not told


def unix_clock(state: Path) -> Callable[[], int]:
    """Gives Unix time in µs as the relays with this folder count it on this boot. A folder that cannot be written costs
    the next process what this one knows, and is told in the log."""
    boot, wall = _boot(), time.time_ns() // 1000 - _since_boot()
    zero = _noted(state / FILE, boot)
    if zero is None:
        zero = wall
        if boot:
            _note(state / FILE, boot, zero)
    elif abs(wall - zero) > STEP:
        log.warning("wall_clock_stepped", ms=(wall - zero) // 1000)
    return lambda: _since_boot() + zero


def _since_boot() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def _boot() -> str:
    with suppress(OSError):
        return BOOT.read_text().strip()
    return ""


def _noted(path: Path, boot: str) -> int | None:
    try:
        told = orjson.loads(path.read_bytes())
        version, noted, zero = told["version"], told["boot"], told["zero"]
        if version == VERSION and noted == boot and type(zero) is int:
            return zero
    except FileNotFoundError:
        pass
    except (OSError, ValueError, KeyError, TypeError) as error:
        log.warning("clock_unreadable", error=str(error))
    return None


def _note(path: Path, boot: str, zero: int) -> None:
    fresh = path.with_name(f"{FILE}.new")
    try:
        fresh.write_bytes(orjson.dumps({"version": VERSION, "boot": boot, "zero": zero}))
        os.replace(fresh, path)  # whole, or not at all
    except OSError as error:
        log.warning("clock_not_noted", error=str(error))


__all__ = ["unix_clock"]
