"""Writes the final outcomes of undelivered messages to a file of JSON lines, instead of notices to the platform.

A line is written before its message is removed from the journal, and a failed write is retried until it succeeds. A
crash between the two can cause a duplicate line; readers recognize it by the message id.
"""

from __future__ import annotations

import errno
import os
from collections.abc import Callable
from pathlib import Path

import orjson
import structlog

from lynxscale.relay.counters import Counters
from lynxscale.relay.deadlines import Deadlines

log = structlog.get_logger()

INITIAL_BACKOFF_MS, MAX_BACKOFF_MS = 20, 500


class OutcomeLog:
    """Appends to ``path``, which is rotated at ``size`` bytes; ``keep`` rotated files are kept.

    ``on_written`` is called with a message's number once its line is written, never from within ``enqueue``. ``clock``
    returns the Unix time in seconds.
    """

    def __init__(
        self,
        path: Path,
        size: int,
        keep: int,
        deadlines: Deadlines,
        on_written: Callable[[int], None],
        counters: Counters,
        clock: Callable[[], float],
    ) -> None:
        self._path, self._size, self._keep = path, size, keep
        self._deadlines, self._on_written, self._counters, self._clock = deadlines, on_written, counters, clock
        self._pending: dict[int, bytes] = {}
        self._scheduled = False
        self._backoff_ms = INITIAL_BACKOFF_MS
        self._failing = False

    def __len__(self) -> int:
        return len(self._pending)

    def enqueue(self, number: int, id: str, status: str, again_ms: int) -> None:
        """Queue a message's outcome. ``again_ms``: the time after which to submit the message again, or 0."""
        row: dict = {"id": id, "status": status, "ts": round(self._clock(), 3)}
        if again_ms > 0:
            row["again_ms"] = again_ms
        self._pending[number] = orjson.dumps(row) + b"\n"
        self._schedule(1)

    def stop(self) -> None:
        """Do nothing: outcomes that are not written yet stay in the journal."""

    def _schedule(self, delay: int) -> None:
        if not self._scheduled:
            self._scheduled = True
            self._deadlines.after(delay, self._write)

    def _write(self) -> None:
        self._scheduled = False
        numbers = list(self._pending)
        try:
            self._append(b"".join(self._pending.values()))
        except OSError as error:
            if not self._failing:
                log.error("finals_not_written", path=str(self._path), error=str(error), owed=len(numbers))
            self._failing = True
            self._counters.add("notices", "sent_again")
            self._schedule(self._backoff_ms * 1000)
            self._backoff_ms = min(self._backoff_ms * 2, MAX_BACKOFF_MS)
            return
        if self._failing:
            log.info("finals_written_again", path=str(self._path), lines=len(numbers))
        self._failing, self._backoff_ms = False, INITIAL_BACKOFF_MS
        for number in numbers:
            del self._pending[number]
            self._counters.add("notices", "delivered")
            self._on_written(number)

    def _append(self, data: bytes) -> None:
        self._path.parent.mkdir(parents=True, exist_ok=True)
        with open(self._path, "ab", buffering=0) as out:
            begin = out.tell()
            if begin and self._ends_mid_line():
                data = b"\n" + data  # a crash has truncated the last line: start a new one
            written = out.write(data)
            if written != len(data):
                os.ftruncate(out.fileno(), begin)  # disk full: remove the partial write and retry all of it
                raise OSError(errno.ENOSPC, "short write, the disk is full")
            end = out.tell()
        if end >= self._size:
            self._rotate()

    def _ends_mid_line(self) -> bool:
        with open(self._path, "rb") as file:
            file.seek(-1, os.SEEK_END)
            return file.read(1) != b"\n"

    def _rotate(self) -> None:
        """Rename the file to the first of the rotated ones, and drop the oldest of them."""
        names = [
            self._path,
            *(self._path.with_name(f"{self._path.name}.{number}") for number in range(1, self._keep + 1)),
        ]
        if not self._keep:
            self._path.unlink()
        for number in range(self._keep, 0, -1):
            if names[number - 1].exists():
                os.replace(names[number - 1], names[number])
