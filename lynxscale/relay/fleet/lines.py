"""Lines of relays' logs, as ``lynxscale.relay.logs`` writes them: logfmt or JSON, with or without a stamp in front.

What cannot be read is counted and named with its place, never fatal: a log may end in the middle of a line, and a
traceback or another program's line may stand between ours.
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
STAMP = re.compile(r"\s*[0-9]+(?:\.[0-9]+)?\s+")  # who gathers logs may put a time in front
NAMED_MOST = 20  # unreadable lines that are named; the others are counted
LONGEST = 64 * 1024  # characters of a line


@dataclass(slots=True)
class Line:
    relay: str
    at: float  # Unix time in seconds, by the relay's clock
    event: str
    fields: dict[str, Any]


@dataclass(slots=True)
class Unread:
    """Lines that could not be read: how many, and the first of them by place and reason."""

    count: int = 0
    named: list[str] = field(default_factory=list)

    def add(self, place: str, why: str) -> None:
        self.count += 1
        if len(self.named) < NAMED_MOST:
            self.named.append(f"{place}: {why}")


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
    """One line. Raises ValueError that says what is wrong."""
    if len(text) > LONGEST:
        raise ValueError(f"longer than {LONGEST} characters")
    stamp = STAMP.match(text)
    found = _fields(text[stamp.end() :] if stamp else text)
    for key in ("ts", "event"):
        if not isinstance(found.get(key), str):
            raise ValueError(f"no {key}")
    return Line(relay, datetime.fromisoformat(found.pop("ts")).timestamp(), found.pop("event"), found)


def files(names: Iterable[str]) -> list[Path]:
    """The files named, and of each folder its ``*.log`` files. Raises FileNotFoundError."""
    found: list[Path] = []
    for name in names:
        path = Path(name)
        inside = sorted(path.glob("*.log")) if path.is_dir() else [path]
        if not inside or not inside[0].exists():
            raise FileNotFoundError(f"{name}: no such file, or a folder without *.log")
        found += inside
    return found


def read(path: Path, unread: Unread) -> Iterator[Line]:
    """The lines of one relay, which is called by its file's name."""
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
