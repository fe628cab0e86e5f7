"""Endpoint lists in the state folder: last good versions, versions that await approval, approvals, verdicts.

lists/good/NAME.list     the last version of a list that was applied, behind a line with its digest and path
lists/held/DIGEST.list   one that awaits `lynxscale list approve`
lists/approved/DIGEST    an operator's approval, and whose it is
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

from lynxscale.relay.exceptions import StoredListCorruptError
from lynxscale.relay.upstream.files import digest_of

FOLDER = "lists"
MAX_VERDICT_FILE_BYTES = 256 << 10  # bytes of one file of verdicts; there are two
MAX_AWAITING = 16  # versions that await approval: guards the disk against a writer that makes a new one each second
DIGEST = re.compile(r"[0-9a-f]{64}")


class StoredList(NamedTuple):
    """A last good version: the path of its file, its digest and bytes."""

    unit: str
    digest: str
    data: bytes


def _replace_file(path: Path, data: bytes) -> None:
    """Atomically, also if the machine stops."""
    path.parent.mkdir(parents=True, exist_ok=True)
    new = path.with_name(path.name + ".new")
    with open(new, "wb") as out:
        out.write(data)
        out.flush()
        os.fdatasync(out.fileno())
    os.replace(new, path)


class ListStore:
    """The folder. Every method may block and is called from a thread; a file that cannot be written raises OSError.

    ``unit`` is the path of a list's file.
    """

    def __init__(self, state: Path) -> None:
        self.folder = state / FOLDER
        self.verdicts = self.folder / "verdicts.jsonl"

    def _good_path(self, unit: str) -> Path:
        plain = re.sub(r"[^A-Za-z0-9._-]", "_", Path(unit).name)[:80]
        return self.folder / "good" / f"{zlib.crc32(os.path.abspath(unit).encode()):08x}-{plain}"

    def save_good(self, unit: str, digest: str, data: bytes) -> None:
        """Store the last good version of a list."""
        header = orjson.dumps({"good": 1, "unit": os.path.abspath(unit), "sha256": digest})
        _replace_file(self._good_path(unit), header + b"\n" + data)

    def remove_good(self, unit: str) -> None:
        """Remove the last good version of a list that is no more."""
        self._good_path(unit).unlink(missing_ok=True)

    def load_good(self) -> Iterator[StoredList | StoredListCorruptError]:
        """The last good version of every list; an error for each that is corrupt."""
        for path in sorted((self.folder / "good").glob("*")):
            if path.suffix == ".new":
                continue
            try:
                header, _, data = path.read_bytes().partition(b"\n")
                table = orjson.loads(header)
                if table["good"] != 1 or table["sha256"] != digest_of(data):
                    raise ValueError("its digest is another")
                yield StoredList(str(table["unit"]), table["sha256"], data)
            except (OSError, ValueError, KeyError, TypeError) as error:
                yield StoredListCorruptError(f"{path}: {error}")

    def save_awaiting(self, digest: str, data: bytes) -> None:
        """Store a version that awaits approval; the oldest beyond MAX_AWAITING are removed."""
        folder = self.folder / "held"
        _replace_file(folder / f"{digest}.list", data)
        awaiting = sorted(folder.glob("*.list"), key=lambda path: path.stat().st_mtime_ns)
        for path in awaiting[:-MAX_AWAITING]:
            path.unlink(missing_ok=True)

    def load_awaiting(self) -> dict[str, bytes]:
        """The versions that await approval, by digest."""
        return {path.stem: path.read_bytes() for path in sorted((self.folder / "held").glob("*.list"))}

    def approve(self, digest: str, by: str) -> None:
        """Store an operator's approval of a version."""
        _replace_file(self.folder / "approved" / digest, orjson.dumps({"by": by}) + b"\n")

    def approved_digests(self) -> frozenset[str]:
        """The digests that operators have approved."""
        try:
            return frozenset(name for name in os.listdir(self.folder / "approved") if DIGEST.fullmatch(name))
        except OSError:
            return frozenset()

    def remove_awaiting(self, digest: str) -> None:
        """A version awaits approval no more: remove its bytes and the approval."""
        for path in (self.folder / "held" / f"{digest}.list", self.folder / "approved" / digest):
            with contextlib.suppress(OSError):
                path.unlink()

    def append_verdicts(self, rows: list[dict]) -> None:
        """Append verdicts; the file is rotated when it is full, and the one before it removed."""
        self.folder.mkdir(parents=True, exist_ok=True)
        with open(self.verdicts, "ab") as out:
            out.write(b"".join(orjson.dumps(row) + b"\n" for row in rows))
            full = out.tell() > MAX_VERDICT_FILE_BYTES
        if full:
            os.replace(self.verdicts, self.verdicts.with_name("verdicts.1.jsonl"))

    def read_verdicts(self) -> Iterator[dict]:
        """The verdicts, oldest first; a truncated line is skipped."""
        for path in (self.verdicts.with_name("verdicts.1.jsonl"), self.verdicts):
            with contextlib.suppress(FileNotFoundError):
                for line in path.read_bytes().splitlines():
                    with contextlib.suppress(ValueError):
                        yield orjson.loads(line)

    def reported_digests(self) -> frozenset[str] | None:
        """The digests of versions whose verdict is in the file; None where that cannot be read."""
        try:
            return frozenset(
                str(row["digest"]) for row in self.read_verdicts() if isinstance(row, dict) and "digest" in row
            )
        except OSError:
            return None
