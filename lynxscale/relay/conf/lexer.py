"""Lexer of the line-based configuration file: splits it into words and knows no directive but ``include``.

A line is a directive and its words, separated by blanks. ``#`` begins a comment where a word could begin. Double
quotes enclose blanks, with the escapes ``\\"`` and ``\\\\``; single quotes enclose any text without single quotes.
Outside single quotes ``${NAME}`` is replaced by an environment variable. ``include PATH`` is replaced by the lines of
another file; the path is relative to the folder of the including file and may contain ``*``.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from glob import glob
from pathlib import Path

from lynxscale.relay.exceptions import RelayError

MAX_FILE_BYTES = 1 << 20  # guards against a device or a log file that is named by mistake
MAX_INCLUDE_DEPTH = 8  # maximum nesting of included files
VARIABLE = re.compile(r"\$\{([A-Za-z_][A-Za-z0-9_]*)\}")
WORD = re.compile(r"""(?:"(?:[^"\\]|\\.)*"|'[^']*'|[^\s"'])+""")
WORD_PART = re.compile(r""""((?:[^"\\]|\\.)*)"|'([^']*)'|([^"']+)""")


@dataclass(frozen=True, slots=True)
class Fault:
    """A fault and its location; ``line`` is 0 if the fault concerns the complete file."""

    file: str
    line: int
    word: str
    wanted: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.word}: {self.wanted}"


@dataclass(frozen=True, slots=True)
class Line:
    """The words of one line, and its location."""

    file: str
    number: int
    words: tuple[str, ...]

    def fault(self, word: str, wanted: str) -> Fault:
        """A fault in this line."""
        return Fault(self.file, self.number, word, wanted)


class UnclosedQuoteError(RelayError, ValueError):
    """A quote is not closed; the message is the text from that quote on."""


def split(raw: str, substitute: Callable[[str], str] = str) -> list[str]:
    """The words of a line; ``substitute`` is applied to text outside single quotes. Raises UnclosedQuoteError."""
    words, position = [], 0
    while position < len(raw):
        if raw[position].isspace():
            position += 1
            continue
        if raw[position] == "#":
            break
        match = WORD.match(raw, position)
        if match is None or (match.end() < len(raw) and not raw[match.end()].isspace()):
            raise UnclosedQuoteError(raw[position : position + 20])
        words.append(
            "".join(
                literal or substitute(re.sub(r"\\(.)", r"\1", quoted) if quoted else plain)
                for quoted, literal, plain in WORD_PART.findall(match.group())
            )
        )
        position = match.end()
    return words


class Lexer:
    """Reads the lines of a file and of the files that it includes; collects errors in ``faults``."""

    def __init__(self, env: Mapping[str, str]) -> None:
        self._env = env
        self.faults: list[Fault] = []

    def lines(self, path: str | Path, *, _includers: tuple[Path, ...] = ()) -> Iterator[Line]:
        """Every non-empty line, in order. A file that cannot be read is added to the faults, not raised."""
        path = Path(path)
        try:
            if path.stat().st_size > MAX_FILE_BYTES:
                raise ValueError(f"longer than {MAX_FILE_BYTES} bytes")
            text = path.read_text(encoding="utf-8")
        except (OSError, ValueError) as error:
            reason = getattr(error, "strerror", None) or str(error)
            self.faults.append(Fault(str(path), 0, "file", f"want a readable text file: {reason}"))
            return
        for number, raw in enumerate(text.split("\n"), 1):
            words = self._words(str(path), number, raw.rstrip("\r"))
            if not words:
                continue
            line = Line(str(path), number, words)
            if words[0] == "include":
                yield from self._include(line, path, _includers)
            else:
                yield line

    def _include(self, line: Line, path: Path, includers: tuple[Path, ...]) -> Iterator[Line]:
        if len(line.words) != 2:
            self.faults.append(line.fault("include", "want one path"))
            return
        including = (*includers, path.resolve())
        pattern = path.parent / line.words[1]
        found = sorted(glob(str(pattern))) if "*" in line.words[1] else [str(pattern)]
        for name in found:
            if Path(name).resolve() in including:
                self.faults.append(line.fault(line.words[1], "want a file that does not include itself"))
            elif len(including) >= MAX_INCLUDE_DEPTH:
                self.faults.append(
                    line.fault(line.words[1], f"want at most {MAX_INCLUDE_DEPTH} levels of included files")
                )
            else:
                yield from self.lines(name, _includers=including)

    def _words(self, file: str, number: int, raw: str) -> tuple[str, ...]:
        try:
            return tuple(split(raw, lambda text: self._substitute(file, number, text)))
        except UnclosedQuoteError as error:
            self.faults.append(Fault(file, number, str(error), "want a closing quote"))
            return ()

    def _substitute(self, file: str, number: int, text: str) -> str:
        def value(match: re.Match) -> str:
            name = match.group(1)
            if name not in self._env:
                self.faults.append(Fault(file, number, match.group(), "want a variable that is set"))
            return self._env.get(name, "")

        return VARIABLE.sub(value, text)
