"""Parser for relay logs, as ``lynxscale.relay.logs`` writes them: logfmt or JSON, with an optional leading timestamp.

A line that cannot be parsed is counted and reported with its position, and is never fatal: a log may end in the middle
of a line and may contain tracebacks or lines of other programs.
"""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Any

import orjson

PAIR = re.compile(r'([^\s="]+)=("(?:[^"\\]|\\.)*"|[^\s"]*)(?:\s+|$)')
LEADING_TIMESTAMP = re.compile(r"\s*[0-9]+(?:\.[0-9]+)?\s+")  # may be added by a log collector
MAX_NAMED = 20  # unreadable lines reported with their position; the others are only counted
MAX_LINE_CHARS = 64 * 1024


@dataclass(slots=True)
class Line:
    """One event of a relay's log."""

    relay: str
    at: float  # Unix time in seconds, by the relay's clock
    event: str
    fields: dict[str, Any]


@dataclass(slots=True)
class UnreadableLines:
    """Lines that could not be parsed: their count, and position and reason of the first ones."""

    count: int = 0
    named: list[str] = field(default_factory=list)

    def add(self, position: str, reason: str) -> None:
        """Count an unreadable line; ``position``: file name and line number."""
        self.count += 1
        if len(self.named) < MAX_NAMED:
            self.named.append(f"{position}: {reason}")


def _parse_fields(text: str) -> dict[str, Any]:
    if text.startswith("{"):
        fields = orjson.loads(text)
        if not isinstance(fields, dict):
            raise ValueError("JSON, but not an object")
        return fields
    pairs, at = {}, 0
    while at < len(text):
        pair = PAIR.match(text, at)
        if pair is None:
            raise ValueError(f"expected key=value at column {at + 1}")
        key, value = pair[1], pair[2]
        pairs[key] = re.sub(r"\\(.)", r"\1", value[1:-1]) if value.startswith('"') else value
        at = pair.end()
    return pairs


def parse(text: str, relay: str) -> Line:
    """Parse one line of the log of ``relay``. Raises ValueError with the reason if it is not a valid line."""
    if len(text) > MAX_LINE_CHARS:
        raise ValueError(f"longer than {MAX_LINE_CHARS} characters")
    timestamp = LEADING_TIMESTAMP.match(text)
    fields = _parse_fields(text[timestamp.end() :] if timestamp else text)
    for key in ("ts", "event"):
        if not isinstance(fields.get(key), str):
            raise ValueError(f"field {key} is missing or not a string")
    return Line(relay, datetime.fromisoformat(fields.pop("ts")).timestamp(), fields.pop("event"), fields)


def log_files(names: Iterable[str]) -> list[Path]:
    """The named files, and the ``*.log`` files of each named folder. Raises FileNotFoundError."""
    found: list[Path] = []
    for name in names:
        path = Path(name)
        files = sorted(path.glob("*.log")) if path.is_dir() else [path]
        if not files or not files[0].exists():
            raise FileNotFoundError(f"{name}: no such file, or no *.log files in this folder")
        found += files
    return found


def read(path: Path, unreadable: UnreadableLines) -> Iterator[Line]:
    """Parse the log of one relay, which is named after its file; unparseable lines are added to ``unreadable``."""
    with path.open(encoding="utf-8", errors="replace") as source:
        for number, raw in enumerate(source, 1):
            text = raw.strip()
            if not text:
                continue
            if not raw.endswith("\n"):
                unreadable.add(f"{path.name}:{number}", "incomplete line")
                continue
            try:
                yield parse(text, path.stem)
            except ValueError as error:
                unreadable.add(f"{path.name}:{number}", str(error))
