"""Unix time that goes on evenly over the restarts of a relay, whatever steps its machine's wall clock makes meanwhile.

Times in the journal are compared with those of a later process: the deadline of a message, and since when an attempt
may have run. A wall clock that is put back by an hour would open a key's span again, and one put forward would end all
pending messages. So the first process on a boot of the machine stores how far Unix time is from the clock that runs
since the boot, and all later ones go by that. After a new boot only the wall clock is left to ask.

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
BOOT_ID = Path("/proc/sys/kernel/random/boot_id")
MAX_SLEW = 1_000_000  # µs; a smaller difference is what a clock that is slewed gathers, and not logged


def unix_clock(state: Path) -> Callable[[], int]:
    """Unix time in µs, as the relays with this state folder count it on this boot of the machine.

    A folder that cannot be written costs the next process this knowledge, and is logged.
    """
    boot, wall_zero = _boot_id(), time.time_ns() // 1000 - _since_boot()
    zero = _load(state / FILE, boot)
    if zero is None:
        zero = wall_zero
        if boot:
            _save(state / FILE, boot, zero)
    elif abs(wall_zero - zero) > MAX_SLEW:
        log.warning("wall_clock_stepped", ms=(wall_zero - zero) // 1000)
    return lambda: _since_boot() + zero


def _since_boot() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def _boot_id() -> str:
    with suppress(OSError):
        return BOOT_ID.read_text().strip()
    return ""


def _load(path: Path, boot: str) -> int | None:
    try:
        stored = orjson.loads(path.read_bytes())
        version, stored_boot, zero = stored["version"], stored["boot"], stored["zero"]
        if version == VERSION and stored_boot == boot and type(zero) is int:
            return zero
    except FileNotFoundError:
        pass
    except (OSError, ValueError, KeyError, TypeError) as error:
        log.warning("clock_unreadable", error=str(error))
    return None


def _save(path: Path, boot: str, zero: int) -> None:
    new = path.with_name(f"{FILE}.new")
    try:
        new.write_bytes(orjson.dumps({"version": VERSION, "boot": boot, "zero": zero}))
        os.replace(new, path)  # atomically
    except OSError as error:
        log.warning("clock_not_saved", error=str(error))
