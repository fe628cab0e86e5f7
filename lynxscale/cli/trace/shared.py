"""The command group, and the arguments and options that its commands share."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import click

from lynxscale.cli import example
from lynxscale.cli.common import (
    progress,
    trace_files,
)
from lynxscale.cli.exceptions import CommandFailedError
from lynxscale.trace.merge import Merge
from lynxscale.trace.reader import NotATraceError, Reader
from lynxscale.trace.select import RecordFilter, TooManyMatchesError, gather, unix_from


class TraceGroup(click.Group):
    """A group that reports errors of the input files in one line."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command. Raises CommandFailedError if a file is not a trace or too many messages match."""
        try:
            return super().invoke(ctx)
        except NotATraceError as error:
            raise CommandFailedError(str(error)) from error
        except TooManyMatchesError as error:
            raise CommandFailedError(str(error)) from error


def open_reader(path: Path) -> Reader:
    """Open a reader. Raises NotATraceError with a message that names the file."""
    try:
        return Reader(path)
    except NotATraceError as error:
        raise NotATraceError(f"{path}: {error}") from error


def readable_files(names: tuple[str, ...]) -> list[Path]:
    """Return the named files, each of which has a valid head."""
    paths = trace_files(names)
    for path in paths:
        open_reader(path).close()
    return paths


files = click.argument("files", nargs=-1, required=True, type=click.Path())
to_json = click.option("--json", "as_json", is_flag=True, help="As JSON.")
to_file = click.option(
    "-o",
    "--output",
    "output",
    required=True,
    type=click.Path(dir_okay=False),
    help="The file to write, atomically.",
)


def _parse_time(_ctx: click.Context, _option: click.Parameter, value: str | None) -> int | None:
    if value is None:
        return None
    try:
        return unix_from(value)
    except ValueError as error:
        wanted = "want Unix seconds, or a date and time such as 2026-05-02T14:00:00"
        raise click.BadParameter(f"{wanted}, not {value}") from error


def selection(command: Callable) -> Callable:
    """Decorator: add the options that select records."""
    for option in reversed(
        (
            click.option("--from", "since", callback=_parse_time, help="Unix seconds, or a date and time (UTC)."),
            click.option("--to", "until", callback=_parse_time, help="In the same form as --from; excluded."),
            click.option(
                "--class", "classes", multiple=True, help="Messages of this class; may be given several times."
            ),
            click.option("--tenant", "tenants", multiple=True, help="Messages of this tenant."),
            click.option(
                "--dest", "dests", multiple=True, type=click.IntRange(0), help="Messages for this destination."
            ),
            click.option("--endpoint", "endpoints", multiple=True, help="Messages with an attempt at this endpoint."),
            click.option("--id", "ids", multiple=True, help="The message with this id."),
            click.option(
                "--outcome",
                "outcomes",
                multiple=True,
                help="Messages with this verdict, final status or attempt result, such as undeliverable or timeout.",
            ),
        )
    ):
        command = option(command)
    return command


def filter_from(since: int | None, until: int | None, **sets: tuple) -> RecordFilter:
    """Build a filter from the values of the options that ``selection`` adds."""
    return RecordFilter(since, until, **{name: frozenset(values) for name, values in sets.items()})


def with_first_pass(wanted: RecordFilter, paths: list[Path]) -> RecordFilter:
    """Make the first pass if the filter needs one; losses are only reported by the second pass."""
    if not wanted.needs_first_pass:
        return wanted
    found = gather(wanted, progress(selected_frames(paths, wanted, lambda _loss: None), "looking"))
    return replace(wanted, gathered=found)


def selected_frames(paths: list[Path], wanted: RecordFilter, losses: Callable) -> Merge:
    """Merge the frames of all files in order of time, and skip blocks that hold no matching record."""
    one = next(iter(wanted.ids)) if len(wanted.ids) == 1 and wanted.ids else None
    return Merge(paths, losses, wanted.may_match_block, one)


@example("lynxscale trace summarise traces/")
@click.group(cls=TraceGroup)
def group() -> None:
    """Read, cut, join and replay trace files. A folder stands for the *.lxt files in it."""
