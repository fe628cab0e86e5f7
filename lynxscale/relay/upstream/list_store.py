"""Endpoint lists in the state folder: last good versions, versions that await approval, approvals, verdicts.

lists/good/NAME.list     the version of a list that was applied last, after a header line with its digest and path
lists/held/DIGEST.list   a version that awaits `lynxscale list approve`
lists/approved/DIGEST    an operator's approval, with the operator's name
lists/verdicts.jsonl     all verdicts, one JSON object per line; verdicts.1.jsonl is the previous, rotated file
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
MAX_VERDICT_FILE_BYTES = 256 << 10  # the file is rotated beyond this size; there are two
MAX_AWAITING = 16  # stored versions that await approval; bounds the disk use of a writer that makes one each second
DIGEST = re.compile(r"[0-9a-f]{64}")


class StoredList(NamedTuple):
    """A last good version: the absolute path of its file, its digest and its bytes."""

    unit: str
    digest: str
    data: bytes


def _replace_file(path: Path, data: bytes) -> None:
    """Write a file atomically and durably, even if the machine crashes."""
    path.parent.mkdir(parents=True, exist_ok=True)
    new = path.with_name(path.name + ".new")
    with open(new, "wb") as out:
        out.write(data)
        out.flush()
        os.fdatasync(out.fileno())
    os.replace(new, path)


class ListStore:
    """The ``lists`` folder in the state folder. ``unit`` is the path of a list's file.

    Every method may block, so a running relay calls them from a worker thread. Failed writes raise OSError.
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
        """Remove the last good version of a list that does not exist any more."""
        self._good_path(unit).unlink(missing_ok=True)

    def load_good(self) -> Iterator[StoredList | StoredListCorruptError]:
        """Yield the last good version of every list, or an error for each one that is corrupt."""
        for path in sorted((self.folder / "good").glob("*")):
            if path.suffix == ".new":
                continue
            try:
                header, _, data = path.read_bytes().partition(b"\n")
                table = orjson.loads(header)
                if table["good"] != 1 or table["sha256"] != digest_of(data):
                    raise ValueError("its digest does not match")
                yield StoredList(str(table["unit"]), table["sha256"], data)
            except (OSError, ValueError, KeyError, TypeError) as error:
                yield StoredListCorruptError(f"{path}: {error}")

    def save_awaiting(self, digest: str, data: bytes) -> None:
        """Store a version that awaits approval, and remove the oldest ones beyond MAX_AWAITING."""
        folder = self.folder / "held"
        _replace_file(folder / f"{digest}.list", data)
        awaiting = sorted(folder.glob("*.list"), key=lambda path: path.stat().st_mtime_ns)
        for path in awaiting[:-MAX_AWAITING]:
            path.unlink(missing_ok=True)

    def load_awaiting(self) -> dict[str, bytes]:
        """Return the versions that await approval, by digest."""
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
        """Remove a version that no longer awaits approval, and its approval."""
        for path in (self.folder / "held" / f"{digest}.list", self.folder / "approved" / digest):
            with contextlib.suppress(OSError):
                path.unlink()

    def append_verdicts(self, rows: list[dict]) -> None:
        """Append verdicts. A full file is rotated, which replaces the previously rotated one."""
        self.folder.mkdir(parents=True, exist_ok=True)
        with open(self.verdicts, "ab") as out:
            out.write(b"".join(orjson.dumps(row) + b"\n" for row in rows))
            full = out.tell() > MAX_VERDICT_FILE_BYTES
        if full:
            os.replace(self.verdicts, self.verdicts.with_name("verdicts.1.jsonl"))

    def read_verdicts(self) -> Iterator[dict]:
        """Yield the verdicts, oldest first; truncated lines are skipped."""
        for path in (self.verdicts.with_name("verdicts.1.jsonl"), self.verdicts):
            with contextlib.suppress(FileNotFoundError):
                for line in path.read_bytes().splitlines():
                    with contextlib.suppress(ValueError):
                        yield orjson.loads(line)

    def reported_digests(self) -> frozenset[str] | None:
        """Return the digests of all versions whose verdict is in the files; None if they cannot be read."""
        try:
            return frozenset(
                str(row["digest"]) for row in self.read_verdicts() if isinstance(row, dict) and "digest" in row
            )
        except OSError:
            return None
