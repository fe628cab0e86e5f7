"""Stores the scheduler's learned state for the next process, with endpoints by name in place of their numbers."""

from __future__ import annotations

import os
import time
from collections.abc import Callable
from contextlib import suppress
from pathlib import Path
from typing import Any

import orjson
import structlog

log = structlog.get_logger()

FILE_NAME, VERSION = "knowledge", 1
MAX_BYTES = 64 << 10  # a larger state is not stored, because the folder is small
MAX_AGE_US = 15_000_000  # an older state is outdated and not loaded


def save(state: Path, learned: dict[str, Any], name_of: Callable[[int], tuple[str, str] | None], now: int) -> None:
    """Write the learned state atomically. A failure is only logged: the next process then starts without it.

    ``learned`` is the scheduler's export, ``name_of`` gives an endpoint's id and address, and ``now`` is in µs of the
    monotonic clock.
    """
    rows = [[name, *row[1:]] for row in learned["endpoints"] if (name := name_of(row[0])) is not None]
    lanes = [
        [lane[0], [name for one in lane[1] if (name := name_of(one)) is not None], *lane[2:]]
        for lane in learned["lanes"]
    ]
    data = orjson.dumps(
        {"version": VERSION, "now": now, "unix": time.time_ns() // 1000, **learned, "endpoints": rows, "lanes": lanes}
    )
    if len(data) > MAX_BYTES:
        return
    new = state / f"{FILE_NAME}.new"
    try:
        new.write_bytes(data)
        os.replace(new, state / FILE_NAME)
    except OSError as error:
        log.warning("learned_not_saved", error=str(error))
        with suppress(OSError):
            new.unlink()


def load(state: Path, number_of: Callable[[str, str], int | None], now: int) -> dict[str, Any] | None:
    """Read and remove the file. Returns None if it is missing, outdated, or of another boot or another version.

    ``number_of`` gives the number of an id at an address, None if that is not listed.
    """
    try:
        learned = orjson.loads((state / FILE_NAME).read_bytes())
        (state / FILE_NAME).unlink()
        age = time.time_ns() // 1000 - learned["unix"]
        if (
            learned["version"] != VERSION
            or not 0 <= age <= MAX_AGE_US
            or not 0 <= now - learned["now"] <= 2 * MAX_AGE_US
        ):
            return None
        learned["endpoints"] = [
            [number, *row[1:]] for row in learned["endpoints"] if (number := number_of(*row[0])) is not None
        ]
        learned["lanes"] = [
            [lane[0], [number for name in lane[1] if (number := number_of(*name)) is not None], *lane[2:]]
            for lane in learned["lanes"]
        ]
    except FileNotFoundError:
        return None
    except (OSError, ValueError, KeyError, TypeError, IndexError) as error:
        log.warning("nothing_learned", error=str(error))
        return None
    return learned
