"""Which directives there are: kind, default, range and meaning of each, and the settings that they fill.

The manual page (docs/operators/configuration.md) is made from this table, and a test holds it to that.
"""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any

SIZES = {"": 1, "k": 1 << 10, "m": 1 << 20, "g": 1 << 30}
TIMES = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000, "d": 86_400_000_000}
AMOUNT = re.compile(r"([0-9]{1,15})([a-z]*)")


def amount(text: str, units: dict[str, int]) -> int:
    """A whole number with one of these units, such as ``64k`` by ``SIZES``; ValueError where it is none."""
    match = AMOUNT.fullmatch(text.lower())
    if match is None or match.group(2) not in units:
        raise ValueError(text)
    return int(match.group(1)) * units[match.group(2)]


def _written(value: int, units: dict[str, int]) -> str:
    if value == 0:
        return "0" + next(iter(units))
    unit, size = max(((u, s) for u, s in units.items() if value % s == 0), key=lambda pair: pair[1])
    return f"{value // size}{unit}"


@dataclass(frozen=True, slots=True)
class Directive:
    """One word of the file and what may follow it.

    ``kind``: ``size`` (bytes), ``time`` (whole µs), ``count``, ``share`` (0 to 1), ``flag`` (yes, no),
    ``choice`` (one of ``among``), ``path`` (a text), ``names`` (one or more words).
    """

    name: str
    kind: str
    default: Any
    help: str
    least: float = 0
    most: float = float("inf")
    among: tuple[str, ...] = ()

    def wanted(self) -> str:
        """What the words may be, as the error and the manual say it."""
        if self.kind == "choice":
            return "one of " + ", ".join(self.among)
        if self.kind == "flag":
            return "yes or no"
        if self.kind == "names":
            return "one or more names"
        if self.kind == "path":
            return "a path"
        what = {"size": "a size such as 64k", "time": "a time such as 250ms", "count": "a whole number",
                "share": "a number"}[self.kind]
        return f"{what}, {self.shown(self.least)} to {self.shown(self.most)}"

    def shown(self, value: Any) -> str:
        """A value as it would be written in the file."""
        if value is None:
            return "none"
        if value == float("inf"):
            return "any"
        if self.kind == "size":
            return _written(int(value), SIZES)
        if self.kind == "time":
            return _written(int(value), TIMES)
        if self.kind == "flag":
            return "yes" if value else "no"
        if self.kind == "names":
            return " ".join(value) or "all"
        return f"{value:g}" if isinstance(value, float) else str(value)

    def read(self, words: tuple[str, ...]) -> Any:
        """The value in these words; ValueError where they are none."""
        if self.kind == "names":
            if not words:
                raise ValueError("no names")
            return words
        if len(words) != 1:
            raise ValueError("want one word")
        text = words[0]
        if self.kind == "path":
            if not text or "\0" in text:
                raise ValueError(text)
            return text
        if self.kind == "choice":
            if text not in self.among:
                raise ValueError(text)
            return text
        if self.kind == "flag":
            return {"yes": True, "no": False}[text]
        if self.kind == "share":
            value: float = float(text) if re.fullmatch(r"[0-9]{1,9}(\.[0-9]{1,9})?", text) else -1.0
        else:
            value = amount(text, {"size": SIZES, "time": TIMES, "count": {"": 1}}[self.kind])
        if not self.least <= value <= self.most:
            raise ValueError(text)
        return value


@dataclass(frozen=True, slots=True)
class LogConf:
    """How the daemon's log is written."""

    format: str = "logfmt"
    level: str = "info"


@dataclass(frozen=True, slots=True)
class TraceConf:
    """What the recorder keeps; without a folder nothing is recorded."""

    folder: str | None = None
    level: str = "tries"
    block: int = 64 << 10  # bytes before compression
    file_size: int = 16 << 20
    file_age: int = 3_600_000_000  # µs
    total: int = 256 << 20
    memory: int = 1 << 20
    flush: int = 50_000  # µs
    classes: tuple[str, ...] = ()
    sample: float = 1.0


@dataclass(frozen=True, slots=True)
class Conf:
    """The whole of the product's own settings."""

    log: LogConf = LogConf()
    trace: TraceConf = TraceConf()


@dataclass(frozen=True, slots=True)
class Section:
    name: str
    type: type
    help: str
    directives: tuple[Directive, ...]
    check: Callable[[Any], list[tuple[str, str]]] = lambda _settings: []  # directive and what is wanted


def _check_trace(conf: TraceConf) -> list[tuple[str, str]]:
    faults = []
    if conf.file_size > conf.total // 2:
        faults.append(("file-size", "want at most half of total, so that an older file can go while one grows"))
    if conf.level == "decisions" and (conf.sample < 1 or conf.classes):
        faults.append(("level", "decisions needs every message: want no classes, and a sample of 1"))
    return faults


def _directives(type_: type, *rows: tuple) -> tuple[Directive, ...]:
    """Rows of name, kind, help and range; the default stands in the settings' own type."""
    defaults = {field.name: field.default for field in fields(type_)}
    return tuple(
        Directive(name, kind, defaults[name.replace("-", "_")], help_, **(more[0] if more else {}))
        for name, kind, help_, *more in rows
    )


SECTIONS = (
    Section("log", LogConf, "The daemon's log on standard error: one event a line.", _directives(
        LogConf,
        ("format", "choice", "How a line is written.", {"among": ("logfmt", "json")}),
        ("level", "choice", "The least level that is written.", {"among": ("debug", "info", "warning", "error")}),
    )),
    Section("trace", TraceConf, "The recorder: what the relay saw and decided, in files for `lynxscale trace`.",
            _directives(
        TraceConf,
        ("folder", "path", "Where the files go; it is made if it is missing. Without it nothing is recorded."),
        ("level", "choice", "`ends`: messages and their ends; `tries`: tries, probes, lists and notices too; "
         "`decisions`: also all that goes into and comes out of the decision module, for `trace replay`.",
         {"among": ("ends", "tries", "decisions")}),
        ("block", "size", "Bytes gathered until a block is compressed.", {"least": 4 << 10, "most": 1 << 20}),
        ("file-size", "size", "Size at which a file is closed and the next begun.",
         {"least": 64 << 10, "most": 1 << 40}),
        ("file-age", "time", "Age at which a file is closed and the next begun.",
         {"least": 1_000_000, "most": 30 * TIMES["d"]}),
        ("total", "size", "Bytes of all trace files in the folder; the oldest go first.",
         {"least": 128 << 10, "most": 1 << 50}),
        ("memory", "size", "Bytes that may wait to be written; beyond them records are dropped and counted.",
         {"least": 16 << 10, "most": 64 << 20}),
        ("flush", "time", "How long records wait to be written together: a crash loses no more. 0us writes each turn "
         "of the loop at its end, and costs two to three times the CPU.", {"most": 5_000_000}),
        ("classes", "names", "Only messages of these classes."),
        ("sample", "share", "Share of the messages that is kept, each whole, the same ones at every relay.",
         {"least": 0, "most": 1}),
    ), _check_trace),
)
