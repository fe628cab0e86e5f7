"""``lynxscale fleet``: aggregate the logs of many relays. For traces use ``trace summarise``."""

from __future__ import annotations

import heapq
from collections.abc import Iterator
from typing import TYPE_CHECKING, Any

import click

from lynxscale.cli import example
from lynxscale.cli.common import write_json, write_table
from lynxscale.cli.exceptions import CommandFailedError, InvalidUsageError

if TYPE_CHECKING:
    from lynxscale.relay.fleet.lines import Line, UnreadableLines

TRAFFIC = (
    "from_s",
    "dest",
    "offered",
    "rejected",
    "calls",
    "ok",
    "full",
    "told_waits",
    "connect_failed",
    "reset",
    "timeout",
    "error",
    "deferred",
    "undeliverable",
    "limit",
    "takes",
    "used",
    "failing",
    "warming",
)
LOAD = (
    "from_s",
    "held",
    "most_held",
    "most_oldest_ms",
    "out",
    "peers",
    "dials",
    "lists_asked",
    "lists_told",
    "lists_failed",
)
LEARNED = ("at_s", "what", "relays", "median_s", "last_s")


@example("lynxscale fleet count --every 5s logs")
@click.group()
def group() -> None:
    """Aggregate the logs of many relays."""


def _lines(names: tuple[str, ...], unread: UnreadableLines) -> Iterator[Line]:
    """Yield the lines of all logs in order of time.

    The clock of a relay may lag at its start, so each file is sorted before the merge.
    """
    from lynxscale.relay.fleet.lines import log_files, read

    try:
        paths = log_files(names)
    except FileNotFoundError as error:
        raise CommandFailedError(str(error)) from error
    return heapq.merge(
        *(sorted(read(path, unread), key=lambda line: line.at) for path in paths), key=lambda line: line.at
    )


def _table(title: str, columns: tuple[str, ...], rows: list[dict[str, Any]]) -> None:
    shown = [name for name in columns if any(name in row for row in rows)]
    if shown:
        click.echo(title)
        write_table(shown, [[row.get(name, "-") for name in shown] for row in rows])
        click.echo()


@example("lynxscale fleet count --every 5s --json logs/n1.log logs/n2.log")
@group.command()
@click.argument("paths", nargs=-1, required=True, type=click.Path())
@click.option(
    "--every", default="5s", show_default=True, help="The time span of a row; relays log their counters every 5s."
)
@click.option("--json", "as_json", is_flag=True, help="As JSON, with every column.")
def count(paths: tuple[str, ...], every: str, as_json: bool) -> None:
    """Aggregate the logs in PATHS, one file per relay or folders of *.log files.

    Shows calls by result next to each limit, by time span and destination; the load of the relays; and how much later
    than the first relay each of the others learned of a change.
    """
    from lynxscale.relay.conf.directive import TIMES, parse_amount
    from lynxscale.relay.fleet.lines import UnreadableLines
    from lynxscale.relay.fleet.report import FleetReport

    try:
        span = parse_amount(every, TIMES) / 1e6
    except ValueError:
        span = 0.0
    if span < 0.1:
        raise InvalidUsageError(f"--every: want a time of 100ms or more, such as 5s, not {every}")
    unread, found = UnreadableLines(), FleetReport(span)
    found.take(_lines(paths, unread))
    for name in unread.named:
        click.echo(name, err=True)
    if unread.count:
        click.echo(f"{unread.count} lines not read", err=True)
    if as_json:
        write_json(
            {
                "relays": sorted(found.relays),
                "traffic": found.traffic(),
                "load": found.load(),
                "learned": found.learned(),
                "ended": dict(found.reasons.most_common()),
                "unread": {"count": unread.count, "named": unread.named},
            }
        )
        return
    click.echo(f"{len(found.relays)} relays")
    _table("Calls, and what the limit takes, by span and destination:", TRAFFIC, found.traffic())
    _table("Relays together:", LOAD, found.load())
    _table("Learned, and how much later than by the first relay:", LEARNED, found.learned())
    _table(
        "Connections ended:",
        ("what", "times"),
        [{"what": name, "times": times} for name, times in found.reasons.most_common()],
    )
