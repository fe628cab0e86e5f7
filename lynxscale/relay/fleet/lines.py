"""Lines of relays' logs, as ``lynxscale.relay.logs`` writes them: logfmt or JSON, with or without a stamp in front.

What cannot be parsed is counted and named with its place, never fatal: a log may end in the middle of a line, and a
traceback or another program's line may be in between.
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
STAMP = re.compile(r"\s*[0-9]+(?:\.[0-9]+)?\s+")  # a log collector may put a time in front
MAX_NAMED = 20  # unreadable lines that are named; the others are counted
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
    """Lines that could not be parsed: how many, and the first of them by place and reason."""

    count: int = 0
    named: list[str] = field(default_factory=list)

    def add(self, place: str, reason: str) -> None:
        """One more."""
        self.count += 1
        if len(self.named) < MAX_NAMED:
            self.named.append(f"{place}: {reason}")


def _fields(text: str) -> dict[str, Any]:
    if text.startswith("{"):
        found = orjson.loads(text)
        if not isinstance(found, dict):
            raise ValueError("JSON, but no object")
        return found
    pairs, at = {}, 0
    while at < len(text):
        pair = PAIR.match(text, at)
        if pair is None:
            raise ValueError(f"no key=value at column {at + 1}")
        key, value = pair[1], pair[2]
        pairs[key] = re.sub(r"\\(.)", r"\1", value[1:-1]) if value.startswith('"') else value
        at = pair.end()
    return pairs


def parse(text: str, relay: str) -> Line:
    """One line of a relay of that name. Raises ValueError that says what is wrong."""
    if len(text) > MAX_LINE_CHARS:
        raise ValueError(f"longer than {MAX_LINE_CHARS} characters")
    stamp = STAMP.match(text)
    found = _fields(text[stamp.end() :] if stamp else text)
    for key in ("ts", "event"):
        if not isinstance(found.get(key), str):
            raise ValueError(f"no {key}")
    return Line(relay, datetime.fromisoformat(found.pop("ts")).timestamp(), found.pop("event"), found)


def log_files(names: Iterable[str]) -> list[Path]:
    """The files named, and of each folder its ``*.log`` files. Raises FileNotFoundError."""
    found: list[Path] = []
    for name in names:
        path = Path(name)
        found_here = sorted(path.glob("*.log")) if path.is_dir() else [path]
        if not found_here or not found_here[0].exists():
            raise FileNotFoundError(f"{name}: no such file, or a folder without *.log")
        found += found_here
    return found


def read(path: Path, unread: UnreadableLines) -> Iterator[Line]:
    """The lines of one relay, which is named after its file."""
    with path.open(encoding="utf-8", errors="replace") as source:
        for number, raw in enumerate(source, 1):
            text = raw.strip()
            if not text:
                continue
            if not raw.endswith("\n"):
                unread.add(f"{path.name}:{number}", "torn, without its end")
                continue
            try:
                yield parse(text, path.stem)
            except ValueError as error:
                unread.add(f"{path.name}:{number}", str(error))
