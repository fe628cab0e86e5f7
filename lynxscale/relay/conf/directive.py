"""Directives and sections of the configuration file: the kinds of values, how they are parsed and formatted."""

from __future__ import annotations

import re
from collections.abc import Callable
from dataclasses import dataclass, fields
from typing import Any

SIZES = {"": 1, "k": 1 << 10, "m": 1 << 20, "g": 1 << 30}
TIMES = {"us": 1, "ms": 1000, "s": 1_000_000, "m": 60_000_000, "h": 3_600_000_000, "d": 86_400_000_000}
AMOUNT = re.compile(r"([0-9]{1,15})([a-z]*)")


def parse_amount(text: str, units: dict[str, int]) -> int:
    """Parse a whole number with one of the units, such as ``64k`` with ``SIZES``. Raises ValueError."""
    match = AMOUNT.fullmatch(text.lower())
    if match is None or match.group(2) not in units:
        raise ValueError(text)
    return int(match.group(1)) * units[match.group(2)]


def _format_amount(value: int, units: dict[str, int]) -> str:
    if value == 0:
        return "0" + next(iter(units))
    unit, size = max(((u, s) for u, s in units.items() if value % s == 0), key=lambda pair: pair[1])
    return f"{value // size}{unit}"


def _parse_text(text: str) -> str:
    if not text or "\0" in text:
        raise ValueError(text)
    return text


def _parse_address(text: str) -> str:
    host, colon, port = text.rpartition(":")
    if not (colon and host and port.isascii() and port.isdigit() and 0 <= int(port) < 65536):
        raise ValueError(text)
    return text


@dataclass(frozen=True, slots=True)
class Directive:
    """A directive of the file and the kind of its value.

    ``kind``: ``size`` (bytes), ``time`` (whole µs), ``count`` (a whole number), ``share`` (a decimal number), ``flag``
    (yes, no), ``choice`` (one of ``among``), ``path`` (a text), ``text``, ``names`` (one or more words), ``address``
    (HOST:PORT), ``row`` (a name, the values of ``plain``, and pairs of a column's name and value; such a directive may
    be repeated). ``least`` and ``most`` bound the value.
    """

    name: str
    kind: str
    default: Any
    help: str
    least: float = 0
    most: float = float("inf")
    among: tuple[str, ...] = ()
    columns: tuple[Directive, ...] = ()
    plain: tuple[Directive, ...] = ()

    def wanted(self) -> str:
        """Describes the valid values, for error messages and the manual."""
        if self.kind == "choice":
            return "one of " + ", ".join(self.among)
        if self.kind == "flag":
            return "yes or no"
        if self.kind == "names":
            return "one or more names"
        if self.kind == "row":
            return " ".join(
                [
                    "NAME",
                    *(one.placeholder() for one in self.plain),
                    *(f"[{one.name} {one.placeholder()}]" for one in self.columns),
                ]
            )
        if self.kind in ("path", "text"):
            return f"a {self.kind}"
        if self.kind == "address":
            return "HOST:PORT"
        description = {
            "size": "a size such as 64k",
            "time": "a time such as 250ms",
            "count": "a whole number",
            "share": "a number",
        }[self.kind]
        return f"{description}, {self.shown(self.least)} to {self.shown(self.most)}"

    def placeholder(self) -> str:
        """The placeholder for the value in the pattern of a row."""
        return {
            "choice": ",".join(self.among),
            "flag": "yes,no",
            "time": "TIME",
            "count": "COUNT",
            "address": "HOST:PORT",
            "text": "TEXT",
        }.get(self.kind, "NUMBER")

    def shown(self, value: Any) -> str:
        """Format a value as in the file."""
        if value is None:
            return "none"
        if value == float("inf"):
            return "any"
        if self.kind == "size":
            return _format_amount(int(value), SIZES)
        if self.kind == "time":
            return _format_amount(int(value), TIMES)
        if self.kind == "flag":
            return "yes" if value else "no"
        if self.kind == "names":
            return " ".join(value) or "none"
        if self.kind == "row":
            return "none"
        return f"{value:g}" if isinstance(value, float) else str(value)

    def parse(self, words: tuple[str, ...]) -> Any:
        """Parse the words after the directive into its value. Raises ValueError or KeyError."""
        if self.kind == "names":
            if not words:
                raise ValueError("no names")
            return words
        if self.kind == "row":
            return self._parse_row(words)
        if len(words) != 1:
            raise ValueError("want one word")
        text = words[0]
        if self.kind in ("path", "text"):
            return _parse_text(text)
        if self.kind == "address":
            return _parse_address(text)
        if self.kind == "choice":
            if text not in self.among:
                raise ValueError(text)
            return text
        if self.kind == "flag":
            return {"yes": True, "no": False}[text]
        return self._parse_number(text)

    def _parse_number(self, text: str) -> float:
        if self.kind == "share":
            value: float = float(text) if re.fullmatch(r"[0-9]{1,9}(\.[0-9]{1,9})?", text) else -1.0
        else:
            value = parse_amount(text, {"size": SIZES, "time": TIMES, "count": {"": 1}}[self.kind])
        if not self.least <= value <= self.most:
            raise ValueError(text)
        return value

    def _parse_row(self, words: tuple[str, ...]) -> dict[str, Any]:
        """Parse a name, the plain values, and pairs of a column's name and value."""
        pairs = 1 + len(self.plain)
        if len(words) < pairs or (len(words) - pairs) % 2 or not words[0].isprintable():
            raise ValueError("want a name, plain values and pairs")
        known = {one.name: one for one in self.columns}
        found: dict[str, Any] = {"name": words[0]}
        for one, text in zip(self.plain, words[1:pairs], strict=True):
            found[one.name] = one.parse((text,))
        for name, text in zip(words[pairs::2], words[pairs + 1 :: 2], strict=True):
            key = name.replace("-", "_")
            if name not in known or key in found:
                raise ValueError(name)
            found[key] = known[name].parse((text,))
        return found


@dataclass(frozen=True, slots=True)
class Section:
    """A section of the file; ``check`` returns the faults of its combined directives."""

    name: str
    type: type
    help: str
    directives: tuple[Directive, ...]
    check: Callable[[Any], list[tuple[str, str]]] = lambda _settings: []


FIELD_BY_DIRECTIVE = {"class": "cls"}  # fields of directives whose name is a Python keyword


def field_of(name: str) -> str:
    """The name of the settings field that a directive sets."""
    return FIELD_BY_DIRECTIVE.get(name, name.replace("-", "_"))


def column(name: str, kind: str, **more: Any) -> Directive:
    """Define a column of a row."""
    return Directive(name, kind, None, "", **more)


def directives(type_: type, *rows: tuple) -> tuple[Directive, ...]:
    """Define directives by rows of name, kind, help and further arguments; defaults come from the settings class."""
    defaults = {field.name: field.default for field in fields(type_)}
    return tuple(
        Directive(name, kind, defaults[field_of(name)], help_, **(more[0] if more else {}))
        for name, kind, help_, *more in rows
    )
