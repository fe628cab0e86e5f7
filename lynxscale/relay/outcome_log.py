"""The ends of messages that were given up, as a file of JSON lines; in place of notices to the platform.

A line is written before its message is forgotten. One that cannot be written is tried again until it can be: the
journal keeps the message so long. A crash between the two can write a line a second time; its id tells.
"""

from __future__ import annotations

import os
from collections.abc import Callable
from pathlib import Path

import orjson
import structlog

from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadlines

log = structlog.get_logger()

FIRST_REST_MS, MOST_REST_MS = 20, 500


class FinalsFile:
    """``on_done`` is told a message's number once its line is written; it is never told in ``owe`` itself."""

    def __init__(
        self,
        path: Path,
        size: int,
        keep: int,
        deadlines: Deadlines,
        on_done: Callable[[int], None],
        counters: Counters,
        clock: Callable[[], float],
    ) -> None:
        self._path, self._size, self._keep = path, size, keep
        self._deadlines, self._on_done, self._counters, self._clock = deadlines, on_done, counters, clock
        self._owed: dict[int, bytes] = {}
        self._planned = False
        self._rest = FIRST_REST_MS
        self._failing = False

    def __len__(self) -> int:
        return len(self._owed)

    def owe(self, number: int, id: str, status: str, again_ms: int) -> None:
        row: dict = {"id": id, "status": status, "ts": round(self._clock(), 3)}
        if again_ms > 0:
            row["again_ms"] = again_ms
        self._owed[number] = orjson.dumps(row) + b"\n"
        self._plan(1)

    def stop(self) -> None:
        """What is still owed stays in the journal."""

    def _plan(self, micros: int) -> None:
        if not self._planned:
            self._planned = True
            self._deadlines.after(micros, self._write)

    def _write(self) -> None:
        self._planned = False
        owed = list(self._owed)
        try:
            self._put(b"".join(self._owed.values()))
        except OSError as error:
            if not self._failing:
                log.error("finals_not_written", path=str(self._path), error=str(error), owed=len(owed))
            self._failing = True
            self._counters.add("notices", "sent_again")
            self._plan(self._rest * 1000)
            self._rest = min(self._rest * 2, MOST_REST_MS)
            return
        if self._failing:
            log.info("finals_written_again", path=str(self._path), lines=len(owed))
        self._failing, self._rest = False, FIRST_REST_MS
        for number in owed:
            del self._owed[number]
            self._counters.add("notices", "delivered")
            self._on_done(number)

    def _put(self, data: bytes) -> None:
        self._path.parent.mkdir(parents=True, exist_ok=True)
        with open(self._path, "ab", buffering=0) as out:
            begin = out.tell()
            if begin and self._torn():
                data = b"\n" + data  # guards a reader against a line that a crash cut short
            written = out.write(data)
            if written != len(data):
                os.ftruncate(out.fileno(), begin)  # a full disk: the whole of it comes again
                raise OSError(28, "no space for all of it")
            end = out.tell()
        if end >= self._size:
            self._turn()

    def _torn(self) -> bool:
        with open(self._path, "rb") as file:
            file.seek(-1, os.SEEK_END)
            return file.read(1) != b"\n"

    def _turn(self) -> None:
        """The file becomes the first of those that are kept, and the last of them goes."""
        names = [
            self._path,
            *(self._path.with_name(f"{self._path.name}.{place}") for place in range(1, self._keep + 1)),
        ]
        if not self._keep:
            self._path.unlink()
        for place in range(self._keep, 0, -1):
            if names[place - 1].exists():
                os.replace(names[place - 1], names[place])
