"""Commands that show the contents of traces: info, dump, message, summarise, verify."""

from __future__ import annotations

import sys
import time
from pathlib import Path
from typing import Any

import click

from lynxscale.cli import example
from lynxscale.cli.common import (
    Losses,
    progress,
    trace_files,
    write_json,
    write_line,
    write_table,
)
from lynxscale.cli.exceptions import FAILED, CommandFailedError, InvalidUsageError
from lynxscale.cli.trace.shared import (
    files,
    filter_from,
    group,
    open_reader,
    readable_files,
    selected_frames,
    selection,
    to_json,
    with_first_pass,
)
from lynxscale.trace import records as r
from lynxscale.trace.merge import Merge
from lynxscale.trace.reader import NotATraceError, Reader, follow
from lynxscale.trace.select import RecordFilter, matching_parts, message_of
from lynxscale.trace.view import iso, message_history, objects

FOLLOW_EVERY_S = 0.25  # interval of reading a live file


@example("lynxscale trace info relay-a.lxt")
@group.command()
@files
@to_json
def info(files: tuple[str, ...], as_json: bool) -> None:
    """Show the version, size, times, relays, classes and tenants of each file."""
    losses, rows = Losses(), []
    for path in readable_files(files):
        rows.append(_info(path, losses))
    if as_json:
        write_json(rows)
        return
    for row in rows:
        click.echo(f"{row['file']}")
        for name, value in row.items():
            if name != "file":
                shown = ", ".join(map(str, value)) if isinstance(value, list) else value
                click.echo(f"  {name:10}{shown if shown not in ('', None) else '-'}")


def _info(path: Path, losses: Losses) -> dict[str, Any]:
    with open_reader(path) as reader:
        row: dict[str, Any] = {
            "file": str(path),
            "version": reader.head.major,
            "bytes": reader.size,
            "created": iso(reader.head.created),
            "writer": reader.head.writer,
        }
        index = reader.index() if reader.head.major == 2 else None
        sets: dict[str, set] = {"sources": set(), "classes": set(), "tenants": set()}
        first = last = None
        blocks = frames = records = 0
        if index is not None:
            for place in index:
                one = place.summary
                blocks, frames, records = blocks + 1, frames + one.frames, records + one.records
                first = one.first if first is None else min(first, one.first)
                last = one.last if last is None else max(last, one.last)
                for name, found in sets.items():
                    found |= getattr(one, name)
        else:
            for frame in progress(reader.frames(), path.name):
                frames, records = frames + 1, records + len(frame.records)
                first = frame.unix if first is None else min(first, frame.unix)
                last = frame.unix if last is None else max(last, frame.unix)
                sets["sources"].add(frame.source)
                for number, values in frame.records:
                    if number == r.MESSAGE:
                        sets["classes"].add(values[0].cls[1])
                        sets["tenants"].add(values[0].tenant[1])
            for loss in reader.losses:
                losses(loss)
        return row | {
            "index": "yes" if index is not None else "no",
            "blocks": blocks if index is not None else None,
            "frames": frames,
            "records": records,
            "from": iso(first) if first is not None else None,
            "to": iso(last) if last is not None else None,
            "relays": sorted(sets["sources"]),
            "classes": sorted(sets["classes"]),
            "tenants": sorted(sets["tenants"]),
        }


@example("lynxscale trace dump --class payout --from 2026-05-02T14:00:00 relay-a.lxt")
@group.command()
@files
@selection
@click.option(
    "--follow", "-f", "following", is_flag=True, help="Follow one file that is being written, until it is closed."
)
def dump(files: tuple[str, ...], following: bool, **options: Any) -> None:
    """Print records in order of time, as one JSON object per line."""
    wanted, paths = filter_from(**options), readable_files(files)
    if following:
        if len(paths) != 1 or wanted.needs_first_pass:
            raise InvalidUsageError("--follow wants one file, and neither --endpoint nor --outcome")

        def wait() -> None:
            sys.stdout.flush()
            time.sleep(FOLLOW_EVERY_S)

        source: Any = follow(paths[0], wait)
    else:
        wanted = with_first_pass(wanted, paths)
        source = selected_frames(paths, wanted, Losses())
    for frame in source:
        for part in matching_parts(frame, wanted):
            for row in objects(part):
                write_line(row)


@example("lynxscale trace message 9b1f03aa5c7e2d41 relay-a/ relay-b/")
@group.command()
@click.argument("id")
@files
@to_json
def message(id: str, files: tuple[str, ...], as_json: bool) -> None:
    """Show the history of one message in all files, in order of time."""
    paths = readable_files(files)
    wanted = RecordFilter(ids=frozenset((id,)))
    found = [
        part
        for frame in progress(Merge(paths, Losses(), wanted.may_match_block, id), "looking")
        for part in matching_parts(frame, wanted)
        if any(message_of(*record) for record in part.records)
    ]
    if not found:
        raise CommandFailedError(f"{id}: no record of this message is in the files")
    start = found[0].unix
    if as_json:
        write_json([row for part in found for row in objects(part) if row.get("id") == id])
        return
    for part in found:
        for line in message_history(part, id, start):
            click.echo(line)


@example("lynxscale trace summarise --by class,destination --window 10s relay-a.lxt")
@group.command()
@files
@selection
@click.option("--by", default="class", help="Columns: some of class, tenant, destination.")
@click.option("--window", default="", help="One set of rows per time window of this length, such as 10s.")
@click.option("--plot", type=click.Path(dir_okay=False), help="Also draw a page: a .png or .svg file (plots extra).")
@to_json
def summarise(files: tuple[str, ...], by: str, window: str, plot: str | None, as_json: bool, **options: Any) -> None:
    """Count messages, final statuses, attempts and worth by class, tenant or destination, with latency percentiles."""
    from lynxscale.relay.conf.directive import TIMES, parse_amount
    from lynxscale.trace.summary import GROUP_COLUMNS, Summariser, TooManyRowsError

    columns = tuple(name for name in by.split(",") if name)
    if not set(columns) <= set(GROUP_COLUMNS):
        raise InvalidUsageError(f"--by: want some of {', '.join(GROUP_COLUMNS)}, not {by}")
    try:
        span = parse_amount(window, TIMES) if window else 0
    except ValueError as error:
        raise InvalidUsageError(f"--window: want a time such as 10s, not {window}") from error
    if plot is not None and Path(plot).suffix not in (".png", ".svg"):
        raise InvalidUsageError(f"--plot: want a .png or .svg file, not {plot}")
    paths = readable_files(files)
    wanted = with_first_pass(filter_from(**options), paths)
    summary = Summariser(columns, span, wanted)
    try:
        for frame in progress(selected_frames(paths, wanted, Losses()), "summarising"):
            summary.add(frame)
    except TooManyRowsError as error:
        raise InvalidUsageError(str(error)) from error
    rows = [row.table(summary.columns) for row in summary.rows()]
    if plot is not None:
        _plot(Path(plot), rows, summary.columns)
    overview = {
        "from": _iso(summary.first),
        "to": _iso(summary.last),
        "relays": sorted(summary.sources),
        "dropped_records": summary.dropped,
    }
    if as_json:
        write_json(overview | {"rows": rows})
        return
    click.echo("  ".join(f"{name}: {', '.join(v) if isinstance(v, list) else v}" for name, v in overview.items()))
    shown = (
        "messages",
        "ends",
        "unfinished",
        "tries_each",
        "p50_ms",
        "p90_ms",
        "p99_ms",
        "worth_asked",
        "worth_in_aim",
        "worth_late",
    )
    names = [*summary.columns, *shown, "rejects"]
    write_table(names, ([_cell(name, row) for name in names] for row in rows))


def _cell(name: str, row: dict[str, Any]) -> Any:
    if name == "window":
        return iso(row["window"])[11:23]
    if name == "rejects":
        return " ".join(f"{k}={v}" for k, v in row["verdicts"].items() if k != "taken") or "-"
    value = row.get(name, "-")
    return " ".join(f"{k}={v}" for k, v in value.items()) or "-" if isinstance(value, dict) else value


def _iso(unix: int | None) -> str | None:
    return iso(unix) if unix is not None else None


def _plot(path: Path, rows: list[dict], columns: tuple[str, ...]) -> None:
    try:
        from lynxscale.trace.plot import draw_page
    except ImportError as error:
        raise InvalidUsageError("--plot: want the plots extra: pip install 'lynxscale[plots]'") from error
    draw_page(path, rows, columns)


@example("lynxscale trace verify relay-a/*.lxt")
@group.command()
@files
@to_json
@click.pass_context
def verify(ctx: click.Context, files: tuple[str, ...], as_json: bool) -> None:
    """Read every byte of each file; exit code 1 if one is damaged or cannot be read.

    A truncated end, as left by a crash, is shown but is not damage. Gaps in the sequence numbers of a file are shown
    too: those records were cut out, or dropped by the recorder.
    """
    rows, damaged = [], False
    for path in trace_files(files):
        row: dict[str, Any] = {
            "file": str(path),
            "records": 0,
            "gaps": 0,
            "damaged_bytes": 0,
            "cut_off_bytes": 0,
            "index": None,
            "losses": [],
            "state": "whole",
        }
        rows.append(row)
        try:
            with Reader(path) as reader:
                _verify(reader, row)
        except (NotATraceError, OSError) as error:
            row["state"] = f"not read: {error}"
        damaged |= row["state"] not in ("whole", "cut off")
    if as_json:
        write_json(rows)
    else:
        losses = Losses()
        for row in rows:
            for loss in row["losses"]:
                losses(loss)
        write_table(
            ["file", "state", "records", "gaps", "damaged", "cut off", "index"],
            (
                [
                    row["file"],
                    row["state"],
                    row["records"],
                    row["gaps"],
                    row["damaged_bytes"],
                    row["cut_off_bytes"],
                    row["index"] or "-",
                ]
                for row in rows
            ),
        )
    if damaged:
        ctx.exit(FAILED)


def _verify(reader: Reader, row: dict[str, Any]) -> None:
    next_seq: dict[str, int] = {}
    for frame in progress(reader.frames(), Path(reader.path).name):
        row["records"] += len(frame.records)
        row["gaps"] += frame.seq != next_seq.get(frame.source, frame.seq)
        next_seq[frame.source] = frame.seq + len(frame.records)
    row["index"] = "yes" if reader.indexed else "no"
    row["losses"] = reader.losses
    for loss in reader.losses:
        row["cut_off_bytes" if loss.torn else "damaged_bytes"] += loss.size
    if row["damaged_bytes"]:
        row["state"] = "damaged"
    elif row["cut_off_bytes"] or (reader.head.major == 2 and not reader.indexed):
        row["state"] = "cut off"
