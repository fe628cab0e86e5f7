"""Words of a line-based configuration file: the bytes' side of the format, without any meaning.

A line is a directive and its words, parted by blanks. ``#`` begins a comment where a word could begin. Double
quotes hold blanks, with ``\\"`` and ``\\\\`` inside; single quotes hold anything but themselves. Outside single
quotes ``${NAME}`` is a variable of the environment. ``include PATH`` stands for the lines of another file;
the path is taken from the folder of the file that names it, and may hold ``*``.
"""

from __future__ import annotations

import re
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from glob import glob
from pathlib import Path

FILE_MOST = 1 << 20  # bytes of one file: guards against a device or a log named by mistake
DEEPEST = 8  # files within files
VARIABLE = re.compile(r"\$\{([A-Za-z_][A-Za-z0-9_]*)\}")
WORD = re.compile(r"""(?:"(?:[^"\\]|\\.)*"|'[^']*'|[^\s"'])+""")
PIECE = re.compile(r""""((?:[^"\\]|\\.)*)"|'([^']*)'|([^"']+)""")


@dataclass(frozen=True, slots=True)
class Fault:
    """One thing wrong, with its place; ``line`` is 0 where it is the whole file's."""

    file: str
    line: int
    word: str
    wanted: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        return f"{place}: {self.word}: {self.wanted}"


@dataclass(frozen=True, slots=True)
class Line:
    file: str
    number: int
    words: tuple[str, ...]

    def fault(self, word: str, wanted: str) -> Fault:
        return Fault(self.file, self.number, word, wanted)


class Unclosed(ValueError):
    """A quote is not closed; the text is what is there."""


def split(raw: str, fill: Callable[[str], str] = str) -> list[str]:
    """The words of a line; ``fill`` is given what stands outside single quotes. Raises Unclosed."""
    words, at = [], 0
    while at < len(raw):
        if raw[at].isspace():
            at += 1
            continue
        if raw[at] == "#":
            break
        match = WORD.match(raw, at)
        if match is None or (match.end() < len(raw) and not raw[match.end()].isspace()):
            raise Unclosed(raw[at : at + 20])
        words.append(
            "".join(
                literal or fill(re.sub(r"\\(.)", r"\1", quoted) if quoted else plain)
                for quoted, literal, plain in PIECE.findall(match.group())
            )
        )
        at = match.end()
    return words


class Lexer:
    """Lines of a file and of all that it includes; what is wrong is gathered in ``faults``."""

    def __init__(self, env: Mapping[str, str]) -> None:
        self._env = env
        self.faults: list[Fault] = []

    def lines(self, path: str | Path, *, _above: tuple[Path, ...] = ()) -> Iterator[Line]:
        """Every line with words in it, in order. A file that cannot be read is a fault, not an exception."""
        path = Path(path)
        try:
            if path.stat().st_size > FILE_MOST:
                raise ValueError(f"longer than {FILE_MOST} bytes")
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
                yield from self._include(line, path, _above)
            else:
                yield line

    def _include(self, line: Line, path: Path, above: tuple[Path, ...]) -> Iterator[Line]:
        if len(line.words) != 2:
            self.faults.append(line.fault("include", "want one path"))
            return
        here = (*above, path.resolve())
        pattern = path.parent / line.words[1]
        found = sorted(glob(str(pattern))) if "*" in line.words[1] else [str(pattern)]
        for name in found:
            if Path(name).resolve() in here:
                self.faults.append(line.fault(line.words[1], "want a file that does not include itself"))
            elif len(here) >= DEEPEST:
                self.faults.append(line.fault(line.words[1], f"want at most {DEEPEST} files within files"))
            else:
                yield from self.lines(name, _above=here)

    def _words(self, file: str, number: int, raw: str) -> tuple[str, ...]:
        try:
            return tuple(split(raw, lambda text: self._filled(file, number, text)))
        except Unclosed as error:
            self.faults.append(Fault(file, number, str(error), "want a closing quote"))
            return ()

    def _filled(self, file: str, number: int, text: str) -> str:
        def value(match: re.Match) -> str:
            name = match.group(1)
            if name not in self._env:
                self.faults.append(Fault(file, number, match.group(), "want a variable that is set"))
            return self._env.get(name, "")

        return VARIABLE.sub(value, text)
