"""What the module has learned, in a file for the next process: names of endpoints in place of their numbers."""

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

NAME, VERSION = "knowledge", 1
SIZE_MOST = 64 << 10  # bytes: beyond it nothing is kept, as the folder is small
AGE_MOST = 15_000_000  # µs: older knowledge is another day's


def keep(state: Path, told: dict[str, Any], name_of: Callable[[int], tuple[str, str] | None], now: int) -> None:
    """Write it, whole or not at all. A folder without room costs the next process its start alone."""
    rows = [[name, *row[1:]] for row in told["endpoints"] if (name := name_of(row[0])) is not None]
    lanes = [
        [lane[0], [name for one in lane[1] if (name := name_of(one)) is not None], *lane[2:]] for lane in told["lanes"]
    ]
    data = orjson.dumps(
        {"version": VERSION, "now": now, "unix": time.time_ns() // 1000, **told, "endpoints": rows, "lanes": lanes}
    )
    if len(data) > SIZE_MOST:
        return
    fresh = state / f"{NAME}.new"
    try:
        fresh.write_bytes(data)
        os.replace(fresh, state / NAME)
    except OSError as error:
        log.warning("not_kept", error=str(error))
        with suppress(OSError):
            fresh.unlink()


def kept(state: Path, number_of: Callable[[str, str], int | None], now: int) -> dict[str, Any] | None:
    """Read it, once; None where there is none, or it is old, of another boot or of another version.

    ``number_of``: of an id at an address, None where that is not listed.
    """
    try:
        told = orjson.loads((state / NAME).read_bytes())
        (state / NAME).unlink()
        age = time.time_ns() // 1000 - told["unix"]
        if told["version"] != VERSION or not 0 <= age <= AGE_MOST or not 0 <= now - told["now"] <= 2 * AGE_MOST:
            return None
        told["endpoints"] = [
            [number, *row[1:]] for row in told["endpoints"] if (number := number_of(*row[0])) is not None
        ]
        told["lanes"] = [
            [lane[0], [number for name in lane[1] if (number := number_of(*name)) is not None], *lane[2:]]
            for lane in told["lanes"]
        ]
    except FileNotFoundError:
        return None
    except (OSError, ValueError, KeyError, TypeError, IndexError) as error:
        log.warning("nothing_learned", error=str(error))
        return None
    return told
