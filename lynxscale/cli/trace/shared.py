"""The group, and what its commands share: files by name, and the words that say which records are wanted."""

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
from lynxscale.trace.select import TooManyMatchesError, Wanted, gather, unix_from


class Plain(click.Group):
    """Turns what files can be into plain lines."""

    def invoke(self, ctx: click.Context) -> Any:
        """Run the command. Raises CommandFailedError where a file is no trace or too much matches."""
        try:
            return super().invoke(ctx)
        except NotATraceError as error:
            raise CommandFailedError(str(error)) from error
        except TooManyMatchesError as error:
            raise CommandFailedError(str(error)) from error


def open_reader(path: Path) -> Reader:
    """The reader of a file. Raises NotATraceError, whose text names the file."""
    try:
        return Reader(path)
    except NotATraceError as error:
        raise NotATraceError(f"{path}: {error}") from error


def checked(names: tuple[str, ...]) -> list[Path]:
    """The files, each with a head that can be read."""
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
    help="The file to write; it appears whole or not at all.",
)


def _moment(_ctx: click.Context, _option: click.Parameter, value: str | None) -> int | None:
    if value is None:
        return None
    try:
        return unix_from(value)
    except ValueError as error:
        wanted = "want Unix seconds, or a date and time such as 2026-05-02T14:00:00"
        raise click.BadParameter(f"{wanted}, not {value}") from error


def selection(command: Callable) -> Callable:
    """The options by which a tool is told which records are wanted."""
    for option in reversed(
        (
            click.option("--from", "since", callback=_moment, help="Unix seconds, or a date and time (UTC)."),
            click.option("--to", "until", callback=_moment, help="As --from; not included."),
            click.option("--class", "classes", multiple=True, help="Messages of this class; may be given again."),
            click.option("--tenant", "tenants", multiple=True, help="Messages of this tenant."),
            click.option(
                "--dest", "dests", multiple=True, type=click.IntRange(0), help="Messages for this destination."
            ),
            click.option("--endpoint", "endpoints", multiple=True, help="Messages that had a try at this endpoint."),
            click.option("--id", "ids", multiple=True, help="The message of this id."),
            click.option(
                "--outcome",
                "outcomes",
                multiple=True,
                help="Messages with this verdict, end, or result of a try, such as undeliverable or timeout.",
            ),
        )
    ):
        command = option(command)
    return command


def wanted_from(since: int | None, until: int | None, **sets: tuple) -> Wanted:
    """What the options of ``selection`` ask for."""
    return Wanted(since, until, **{name: frozenset(values) for name, values in sets.items()})


def gathered(wanted: Wanted, paths: list[Path]) -> Wanted:
    """With the first pass made, where there must be one; what is lost is told in the second."""
    if not wanted.two_passes:
        return wanted
    found = gather(wanted, progress(frames_of(paths, wanted, lambda _loss: None), "looking"))
    return replace(wanted, gathered=found)


def frames_of(paths: list[Path], wanted: Wanted, losses: Callable) -> Merge:
    """The frames of all files in the order of time; blocks without a wanted record are passed over."""
    one = next(iter(wanted.ids)) if len(wanted.ids) == 1 and wanted.ids else None
    return Merge(paths, losses, wanted.block, one)


@example("lynxscale trace summarise traces/")
@click.group(cls=Plain)
def group() -> None:
    """Read, cut, join and replay trace files. A folder stands for the *.lxt files in it."""
