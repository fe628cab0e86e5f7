"""Parses a configuration file into settings and reports all its faults together."""

from __future__ import annotations

import os
from collections.abc import Iterable, Mapping
from dataclasses import replace
from difflib import get_close_matches
from pathlib import Path

from lynxscale.relay.conf import product_settings
from lynxscale.relay.conf.directive import Section, field_of
from lynxscale.relay.conf.lexer import Fault, Lexer, Line
from lynxscale.relay.conf.settings import Conf
from lynxscale.relay.conf.table import SECTIONS
from lynxscale.relay.exceptions import RelayError

VARIABLE = "LYNXSCALE_CONF"


class ConfigurationError(RelayError):
    """The file is invalid; ``faults`` lists each reason with its location."""

    def __init__(self, faults: list[Fault]) -> None:
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


def _suggestion(word: str, known: Iterable[str]) -> str:
    found = get_close_matches(word, list(known), 1)
    return f", perhaps {found[0]}" if found else ""


class _Parser:
    """Collects values and faults from the lines of a file, which are added in order."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self.values: dict[str, dict] = {}
        self.seen: dict[tuple[str, str], Line] = {}
        self.sections: dict[str, Line] = {}
        self.section: Section | None = None
        self.unknown: Line | None = None  # the begin of an unknown section, whose lines are skipped

    def add_line(self, line: Line) -> None:
        """Parse the next line."""
        first = line.words[0]
        if first in ("begin", "end"):
            self._begin_or_end(line)
        elif self.unknown is not None:
            return
        elif self.section is None:
            self.faults.append(line.fault(first, "want begin SECTION before any directive"))
        else:
            self._directive(line, self.section)

    def _begin_or_end(self, line: Line) -> None:
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
            self.faults.append(line.fault(names[0], wanted + _suggestion(names[0], known)))
            self.unknown = line
        elif names[0] in self.sections:
            self.faults.append(line.fault(names[0], f"want it once: {_location_text(self.sections[names[0]])}"))
        else:
            self.sections[names[0]] = line
            self.values[names[0]] = {}

    def _directive(self, line: Line, section: Section) -> None:
        name, *words = line.words
        known = {directive.name: directive for directive in section.directives}
        directive = known.get(name)
        if directive is None:
            wanted = f"want a directive of {section.name}: " + ", ".join(known)
            self.faults.append(line.fault(name, wanted + _suggestion(name, known)))
            return
        rows = directive.kind == "row"
        if (earlier := self.seen.get((section.name, name))) is not None and not rows:
            self.faults.append(line.fault(name, f"want it once: {_location_text(earlier)}"))
            return
        self.seen[section.name, name] = line
        try:
            value = directive.parse(tuple(words))
            values, field = self.values[section.name], field_of(name)
            values[field] = (*values.get(field, ()), value) if rows else value
        except (ValueError, KeyError):
            given = " ".join(words) or "nothing"
            self.faults.append(line.fault(name, f"want {directive.wanted()}, not {given}"))

    def location(self, section: str, name: str, file: str) -> tuple[str, int]:
        """The location of a directive, or of its section if the directive is absent, or of the file."""
        line = self.seen.get((section, name)) or self.sections.get(section)
        return (line.file, line.number) if line is not None else (file, 0)

    def finish(self) -> Conf:
        """Check the sections after the last line, and return the settings."""
        unclosed = self.unknown or (self.section and self.sections[self.section.name])
        if unclosed:
            self.faults.append(unclosed.fault(unclosed.words[1], f"want end {unclosed.words[1]} before the file's end"))
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


def _location_text(line: Line) -> str:
    return f"it stands at {line.file}:{line.number}"


def read(path: str | Path, env: Mapping[str, str] = os.environ) -> Conf:
    """The settings in a file. Raises ConfigurationError with all faults of the file."""
    lexer, parser = Lexer(env), _Parser()
    for line in lexer.lines(path):
        parser.add_line(line)
    conf = parser.finish()
    if not (lexer.faults or parser.faults):
        parser.faults += product_settings.faults(conf, lambda section, name: parser.location(section, name, str(path)))
    faults = sorted(lexer.faults + parser.faults, key=lambda fault: (fault.file, fault.line))
    if faults:
        raise ConfigurationError(faults)
    return conf


def from_environment(env: Mapping[str, str] = os.environ, path: str | Path | None = None) -> Conf:
    """The settings in ``path``, or in the file that ``LYNXSCALE_CONF`` names, or the defaults."""
    path = path or env.get(VARIABLE)
    return read(path, env) if path else Conf()
