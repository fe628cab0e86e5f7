"""What membership keeps in the state folder: last good files, versions that wait for a word, approvals, the verdicts.

lists/good/NAME.list     the last version of a unit that was applied, behind a line with its digest and path
lists/held/DIGEST.list   one that waits for `lynxscale list approve`
lists/approved/DIGEST    an operator's word, and whose it is
lists/verdicts.jsonl     every verdict, a JSON object a line; verdicts.1.jsonl is the file before it
"""

from __future__ import annotations

import contextlib
import os
import re
import zlib
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

import orjson

from lynxscale.relay.upstream.files import digest_of

FOLDER = "lists"
LOG_MOST = 256 << 10  # bytes of one file of verdicts; there are two
HELD_MOST = 16  # versions that wait: guards the disk against a writer that makes a new one each second
DIGEST = re.compile(r"[0-9a-f]{64}")


class Good(NamedTuple):
    """A last good version: the unit's path, its digest and bytes."""

    unit: str
    digest: str
    data: bytes


class Spoilt(Exception):
    """A file of ours is not what was written; the text names it."""


def _replace(path: Path, data: bytes) -> None:
    """Whole or not at all, also if the machine stops."""
    path.parent.mkdir(parents=True, exist_ok=True)
    new = path.with_name(path.name + ".new")
    with open(new, "wb") as out:
        out.write(data)
        out.flush()
        os.fdatasync(out.fileno())
    os.replace(new, path)


class Lists:
    """The folder. Every method may block and is called from a thread; a file that cannot be written raises OSError."""

    def __init__(self, state: Path) -> None:
        self.folder = state / FOLDER
        self.verdicts = self.folder / "verdicts.jsonl"

    def _good(self, unit: str) -> Path:
        plain = re.sub(r"[^A-Za-z0-9._-]", "_", Path(unit).name)[:80]
        return self.folder / "good" / f"{zlib.crc32(os.path.abspath(unit).encode()):08x}-{plain}"

    def keep(self, unit: str, digest: str, data: bytes) -> None:
        """This version is the last good one of its unit."""
        head = orjson.dumps({"good": 1, "unit": os.path.abspath(unit), "sha256": digest})
        _replace(self._good(unit), head + b"\n" + data)

    def forget(self, unit: str) -> None:
        """A unit is no more."""
        self._good(unit).unlink(missing_ok=True)

    def good(self) -> Iterator[Good | Spoilt]:
        """The last good version of every unit."""
        for path in sorted((self.folder / "good").glob("*")):
            if path.suffix == ".new":
                continue
            try:
                head, _, data = path.read_bytes().partition(b"\n")
                table = orjson.loads(head)
                if table["good"] != 1 or table["sha256"] != digest_of(data):
                    raise ValueError("its digest is another")
                yield Good(str(table["unit"]), table["sha256"], data)
            except (OSError, ValueError, KeyError, TypeError) as error:
                yield Spoilt(f"{path}: {error}")

    def hold(self, digest: str, data: bytes) -> None:
        """This version waits for a word; the oldest beyond the most that are kept goes."""
        folder = self.folder / "held"
        _replace(folder / f"{digest}.list", data)
        held = sorted(folder.glob("*.list"), key=lambda path: path.stat().st_mtime_ns)
        for path in held[:-HELD_MOST]:
            path.unlink(missing_ok=True)

    def held(self) -> dict[str, bytes]:
        """Versions that wait, by digest."""
        return {path.stem: path.read_bytes() for path in sorted((self.folder / "held").glob("*.list"))}

    def approve(self, digest: str, by: str) -> None:
        """An operator's word for a version."""
        _replace(self.folder / "approved" / digest, orjson.dumps({"by": by}) + b"\n")

    def approved(self) -> frozenset[str]:
        """What operators have confirmed."""
        try:
            return frozenset(name for name in os.listdir(self.folder / "approved") if DIGEST.fullmatch(name))
        except OSError:
            return frozenset()

    def settle(self, digest: str) -> None:
        """A version waits no more: its bytes and the word for it go."""
        for path in (self.folder / "held" / f"{digest}.list", self.folder / "approved" / digest):
            with contextlib.suppress(OSError):
                path.unlink()

    def log(self, rows: list[dict]) -> None:
        """Write verdicts down; the file before the last goes when this one is full."""
        self.folder.mkdir(parents=True, exist_ok=True)
        with open(self.verdicts, "ab") as out:
            out.write(b"".join(orjson.dumps(row) + b"\n" for row in rows))
            full = out.tell() > LOG_MOST
        if full:
            os.replace(self.verdicts, self.verdicts.with_name("verdicts.1.jsonl"))

    def logged(self) -> Iterator[dict]:
        """The verdicts, oldest first; a line that was cut short is passed over."""
        for path in (self.verdicts.with_name("verdicts.1.jsonl"), self.verdicts):
            with contextlib.suppress(FileNotFoundError):
                for line in path.read_bytes().splitlines():
                    with contextlib.suppress(ValueError):
                        yield orjson.loads(line)

    def told(self) -> frozenset[str] | None:
        """The digests of versions whose verdict is written down; None where that cannot be read."""
        try:
            return frozenset(str(row["digest"]) for row in self.logged() if isinstance(row, dict) and "digest" in row)
        except OSError:
            return None
