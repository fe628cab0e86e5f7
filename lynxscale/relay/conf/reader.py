"""Lines of a configuration file into settings; all that is wrong is told at once."""

from __future__ import annotations

import os
from collections.abc import Iterable, Mapping
from dataclasses import replace
from difflib import get_close_matches
from pathlib import Path

from lynxscale.relay.conf import product_settings as own
from lynxscale.relay.conf.directive import Section, field_of
from lynxscale.relay.conf.lexer import Fault, Lexer, Line
from lynxscale.relay.conf.table import SECTIONS, Conf

VARIABLE = "LYNXSCALE_CONF"


class ConfFaults(Exception):
    """The file is not of use; ``faults`` has each reason with its place."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


def _near(word: str, known: Iterable[str]) -> str:
    found = get_close_matches(word, list(known), 1)
    return f", perhaps {found[0]}" if found else ""


class _Reading:
    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.values: dict[str, dict] = {}
        self.seen: dict[tuple[str, str], Line] = {}
        self.sections: dict[str, Line] = {}
        self.section: Section | None = None
        self.unknown: Line | None = None  # an unknown section: its lines are passed over

    def line(self, line: Line) -> None:
        first = line.words[0]
        if first in ("begin", "end"):
            self._turn(line)
        elif self.unknown is not None:
            return
        elif self.section is None:
            self.faults.append(line.fault(first, "want begin SECTION before any directive"))
        else:
            self._directive(line, self.section)

    def _turn(self, line: Line) -> None:
        first, *names = line.words
        if len(names) != 1:
            self.faults.append(line.fault(first, "want the name of one section"))
            return
        known = {section.name: section for section in SECTIONS}
        opened = self.unknown.words[1] if self.unknown else self.section.name if self.section else None
        if first == "end":
            if opened != names[0]:
                self.faults.append(line.fault(names[0], f"want end {opened}" if opened else "want begin first"))
            self.section = self.unknown = None
            return
        if opened is not None:
            self.faults.append(line.fault(names[0], f"want end {opened} before the next section"))
        self.section, self.unknown = known.get(names[0]), None
        if self.section is None:
            wanted = "want a section: " + ", ".join(known)
            self.faults.append(line.fault(names[0], wanted + _near(names[0], known)))
            self.unknown = line
        elif names[0] in self.sections:
            self.faults.append(line.fault(names[0], f"want it once: {_place(self.sections[names[0]])}"))
        else:
            self.sections[names[0]] = line
            self.values[names[0]] = {}

    def _directive(self, line: Line, section: Section) -> None:
        name, *words = line.words
        known = {directive.name: directive for directive in section.directives}
        directive = known.get(name)
        if directive is None:
            wanted = f"want a directive of {section.name}: " + ", ".join(known)
            self.faults.append(line.fault(name, wanted + _near(name, known)))
            return
        rows = directive.kind == "row"
        if (before := self.seen.get((section.name, name))) is not None and not rows:
            self.faults.append(line.fault(name, f"want it once: {_place(before)}"))
            return
        self.seen[section.name, name] = line
        try:
            value = directive.read(tuple(words))
            values, field = self.values[section.name], field_of(name)
            values[field] = (*values.get(field, ()), value) if rows else value
        except (ValueError, KeyError):
            given = " ".join(words) or "nothing"
            self.faults.append(line.fault(name, f"want {directive.wanted()}, not {given}"))

    def place(self, section: str, name: str, file: str) -> tuple[str, int]:
        """Where a directive stands, else its section; the whole file where neither does."""
        line = self.seen.get((section, name)) or self.sections.get(section)
        return (line.file, line.number) if line is not None else (file, 0)

    def end(self) -> Conf:
        still = self.unknown or (self.section and self.sections[self.section.name])
        if still:
            self.faults.append(still.fault(still.words[1], f"want end {still.words[1]} before the file's end"))
        conf = Conf()
        for section in SECTIONS:
            if section.name not in self.values:
                continue
            settings = section.type(**self.values[section.name])
            conf = replace(conf, **{section.name: settings})
            for name, wanted in section.check(settings):
                line = self.seen.get((section.name, name)) or self.sections[section.name]
                self.faults.append(line.fault(name, wanted))
        return conf


def _place(line: Line) -> str:
    return f"it stands at {line.file}:{line.number}"


def read(path: str | Path, env: Mapping[str, str] = os.environ) -> Conf:
    """The settings in a file.

    Raises ConfFaults with every fault that it has.
    """
    lexer, reading = Lexer(env), _Reading()
    for line in lexer.lines(path):
        reading.line(line)
    conf = reading.end()
    if not (lexer.faults or reading.faults):
        reading.faults += own.faults(conf, lambda section, name: reading.place(section, name, str(path)))
    faults = sorted(lexer.faults + reading.faults, key=lambda fault: (fault.file, fault.line))
    if faults:
        raise ConfFaults(faults)
    return conf


def from_environment(env: Mapping[str, str] = os.environ, path: str | Path | None = None) -> Conf:
    """The settings in ``path``, else in the file that ``LYNXSCALE_CONF`` names, else the defaults."""
    path = path or env.get(VARIABLE)
    return read(path, env) if path else Conf()
