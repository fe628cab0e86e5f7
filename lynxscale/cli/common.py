"""Helpers shared by the commands: file arguments, tables, JSON output, progress and reports of losses."""

from __future__ import annotations

import sys
import time
from collections.abc import Iterable, Iterator
from pathlib import Path
from typing import Any

import click
import orjson

from lynxscale.cli.exceptions import CommandFailedError, InvalidUsageError

PROGRESS_EVERY_S = 0.2  # interval between updates of the progress line


def write_json(value: Any) -> None:
    """Write one JSON document to standard output."""
    click.echo(orjson.dumps(value, option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS))


def write_line(value: Any) -> None:
    """Write one JSON value and a newline to standard output."""
    sys.stdout.buffer.write(orjson.dumps(value, option=orjson.OPT_APPEND_NEWLINE | orjson.OPT_NON_STR_KEYS))


def write_table(columns: list[str], rows: Iterable[list[Any]]) -> None:
    """Write a table with a heading; columns of numbers are aligned right."""
    cells = [[str(cell) for cell in row] for row in rows]
    widths = [max([len(name), *(len(row[k]) for row in cells)]) for k, name in enumerate(columns)]
    right = [all(_is_number(row[k]) for row in cells) for k in range(len(columns))]

    def line(row: list[str]) -> str:
        return "  ".join(
            cell.rjust(width) if to_right else cell.ljust(width)
            for cell, width, to_right in zip(row, widths, right, strict=True)
        ).rstrip()

    click.echo(line(columns))
    for row in cells:
        click.echo(line(row))


def _is_number(text: str) -> bool:
    return text.replace(".", "", 1).replace("-", "", 1).isdigit() or text == "-"


def trace_files(names: Iterable[str]) -> list[Path]:
    """Return the named files, and the trace files of each named folder in order of name."""
    found: list[Path] = []
    for name in names:
        path = Path(name)
        if path.is_dir():
            inside = sorted(path.glob("*.lxt"))
            if not inside:
                raise CommandFailedError(f"{name}: no *.lxt file is in this folder")
            found += inside
        elif path.exists():
            found.append(path)
        else:
            raise CommandFailedError(f"{name}: no such file or folder")
    return found


def output_file(name: str, inputs: Iterable[Path]) -> Path:
    """Check an output path: its folder must exist, and it must not be one of the inputs."""
    path = Path(name)
    if not path.parent.is_dir():
        raise InvalidUsageError(f"{name}: no such folder: {path.parent}")
    if path.exists() and any(path.samefile(one) for one in inputs):
        raise InvalidUsageError(f"{name}: want another file than those that are read")
    return path


class Losses:
    """Reports each loss on standard error when it is found, and counts them."""

    def __init__(self) -> None:
        self.damaged = self.torn = 0

    def __call__(self, loss: Any) -> None:
        """Report and count one loss."""
        from lynxscale.trace.view import iso

        span = f"after {iso(loss.after)}" if loss.after is not None else "before any record"
        if loss.before is not None:
            span += f", before {iso(loss.before)}"
        if loss.torn:
            self.torn += 1
        else:
            self.damaged += 1
        click.echo(f"{loss.path}: {loss.size} bytes at {loss.offset} not read: {loss.reason}; {span}", err=True)


def progress(frames: Iterable[Any], label: str) -> Iterator[Any]:
    """Pass the frames through, and count records on standard error if that is a terminal."""
    if not sys.stderr.isatty():
        yield from frames
        return
    count, at = 0, time.monotonic()
    for frame in frames:
        yield frame
        count += len(frame.records)
        if not count & 63 and time.monotonic() - at > PROGRESS_EVERY_S:
            at = time.monotonic()
            click.echo(f"\r{label}: {count:,} records", nl=False, err=True)
    click.echo(f"\r{label}: {count:,} records, done", err=True)
