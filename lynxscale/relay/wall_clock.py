"""Unix time that is continuous over restarts of a relay, even if the machine's wall clock is stepped.

A later process compares times in the journal with its own: the deadline of a message, and the time at which an attempt
may have been executed. A wall clock set back by an hour would reopen the span of an idempotency key, and one set
forward would end all pending messages. So the first process after a boot stores the offset of Unix time from the
boot-time clock, and later processes use that offset. After another boot the offset is taken from the wall clock again.

The file ``clock`` in the state folder is JSON with ``version``, ``boot`` (the kernel's boot id) and ``zero`` (the
offset in µs).
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
MAX_SLEW_US = 1_000_000  # smaller differences come from slewing, and are not logged


def unix_clock(state: Path) -> Callable[[], int]:
    """A clock of Unix time in µs, shared by the processes with this state folder until the next boot.

    If the offset cannot be stored, this is logged, and the next process takes its own from the wall clock.
    """
    boot, wall_clock_offset = _boot_id(), time.time_ns() // 1000 - _since_boot()
    offset = _load(state / FILE, boot)
    if offset is None:
        offset = wall_clock_offset
        if boot:
            _save(state / FILE, boot, offset)
    elif abs(wall_clock_offset - offset) > MAX_SLEW_US:
        log.warning("wall_clock_stepped", ms=(wall_clock_offset - offset) // 1000)
    return lambda: _since_boot() + offset


def _since_boot() -> int:
    return time.clock_gettime_ns(time.CLOCK_BOOTTIME) // 1000


def _boot_id() -> str:
    with suppress(OSError):
        return BOOT_ID.read_text().strip()
    return ""


def _load(path: Path, boot: str) -> int | None:
    try:
        stored = orjson.loads(path.read_bytes())
        version, stored_boot, offset = stored["version"], stored["boot"], stored["zero"]
        if version == VERSION and stored_boot == boot and type(offset) is int:
            return offset
    except FileNotFoundError:
        pass
    except (OSError, ValueError, KeyError, TypeError) as error:
        log.warning("clock_unreadable", error=str(error))
    return None


def _save(path: Path, boot: str, offset: int) -> None:
    new = path.with_name(f"{FILE}.new")
    try:
        new.write_bytes(orjson.dumps({"version": VERSION, "boot": boot, "zero": offset}))
        os.replace(new, path)  # atomically
    except OSError as error:
        log.warning("clock_not_saved", error=str(error))
