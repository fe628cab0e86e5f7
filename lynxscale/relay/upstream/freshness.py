"""Looking at watched paths: what may block, for a thread of its own. It decides nothing."""

from __future__ import annotations

import os
import stat
import time
from collections.abc import Callable, Iterable, Mapping
from typing import NamedTuple

from lynxscale.relay.upstream.files import FILE_MOST, digest_of

SUFFIXES = (".list", ".json")
UNITS_MOST = 256  # files of a folder
ROUND_MOST = 32 << 20  # bytes read in one look: guards the memory against many large files that change at once
RACY = 50_000_000  # ns: a file changed so lately may be changed again without its times showing it
SAME, BYTES, ABSENT, UNREADABLE, UNSTEADY, LATER = "same", "bytes", "absent", "unreadable", "unsteady", "later"

Mark = tuple[int, ...]


class Sight(NamedTuple):
    """What a look at one unit found. ``mark``: what tells an unchanged file; () where it must be read again."""

    unit: str
    what: str
    mark: Mark = ()
    data: bytes = b""
    digest: str = ""
    reason: str = ""


class Round(NamedTuple):
    """One look at everything."""

    sights: list[Sight]
    folders: dict[str, tuple[int, int]]  # what to watch, and which folder it was
    faults: list[str]
    approved: frozenset[str]


def units_of(paths: Iterable[str]) -> tuple[list[str], dict[str, tuple[int, int]], list[str]]:
    """The files behind the configured paths, the folders to watch, and what is wrong with the paths."""
    units, folders, faults = [], {}, []
    for path in paths:
        whole = os.path.isdir(path)
        folder = path if whole else os.path.dirname(path) or "."
        try:
            seen = os.stat(folder)
            folders[folder] = (seen.st_dev, seen.st_ino)
            if whole:
                names = sorted(
                    name for name in os.listdir(path) if name.endswith(SUFFIXES) and not name.startswith(".")
                )
                if len(names) > UNITS_MOST:
                    faults.append(f"{path}: want at most {UNITS_MOST} files, not {len(names)}: the rest is left out")
                units += [os.path.join(path, name) for name in names[:UNITS_MOST]]
            else:
                units.append(path)
        except OSError as error:
            faults.append(f"{folder}: {error.strerror}")
            if not whole:
                units.append(path)
    return units, folders, faults


def look(unit: str, mark: Mark = (), most: int = FILE_MOST) -> Sight:
    """One file, read if it is another than the one with that mark."""
    try:
        # Before it is opened: opening a device may do things, and a FIFO or folder is none of ours.
        kind = os.stat(unit).st_mode
        if not stat.S_ISREG(kind):
            what = "a folder" if stat.S_ISDIR(kind) else "a FIFO" if stat.S_ISFIFO(kind) else "something else"
            return Sight(unit, UNREADABLE, reason=f"want a plain file, not {what}")
        number = os.open(unit, os.O_RDONLY | os.O_NONBLOCK | os.O_CLOEXEC | os.O_NOCTTY)
    except FileNotFoundError:
        return Sight(unit, ABSENT, reason="no such file")
    except OSError as error:
        return Sight(unit, UNREADABLE, reason=error.strerror or str(error))
    with os.fdopen(number, "rb") as file:
        before = os.fstat(number)
        if not stat.S_ISREG(before.st_mode):
            return Sight(unit, UNREADABLE, reason="want a plain file")
        if _mark(before) == mark:
            return Sight(unit, SAME, mark)
        if before.st_size > most:
            return Sight(unit, UNREADABLE, reason=f"want at most {most} bytes, not {before.st_size}")
        try:
            data = file.read(most + 1)
        except OSError as error:
            return Sight(unit, UNREADABLE, reason=error.strerror or str(error))
        after = _mark(os.fstat(number))
        if after != _mark(before) or len(data) != before.st_size:
            return Sight(unit, UNSTEADY, reason="it changes while it is read")
        # Guards against a second change within the file system's clock tick, that leaves size and times as they are.
        racy = time.time_ns() - before.st_ctime_ns < RACY
        return Sight(unit, BYTES, () if racy else after, data, digest_of(data))


def _mark(seen: os.stat_result) -> Mark:
    return seen.st_dev, seen.st_ino, seen.st_size, seen.st_mtime_ns, seen.st_ctime_ns


def look_round(paths: tuple[str, ...], marks: Mapping[str, Mark], approved: Callable[[], frozenset[str]]) -> Round:
    """Everything once; what is beyond the bytes of one look comes ``LATER``."""
    units, folders, faults = units_of(paths)
    sights, room = [], ROUND_MOST
    for unit in [*units, *(unit for unit in marks if unit not in units)]:
        sights.append(look(unit, marks.get(unit, ())) if room > 0 else Sight(unit, LATER))
        room -= len(sights[-1].data)
    return Round(sights, folders, faults, approved())
