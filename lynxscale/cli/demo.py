"""``lynxscale demo``: run a relay against a faulty partner, and show the outcomes of the messages."""

from __future__ import annotations

import click

from lynxscale.cli import example
from lynxscale.cli.common import write_json, write_table
from lynxscale.cli.exceptions import FAILED

COLUMNS = ("handed in", "rejected", "taken", "delivered", "deferred", "undeliverable", "lost", "twice")


@example("lynxscale demo --messages 400 --seed 7")
@click.command()
@click.option("--messages", default=400, show_default=True, type=click.IntRange(10, 5000))
@click.option("--seed", default=1, show_default=True, type=int, help="Seed of the messages and faults.")
@click.option("--json", "as_json", is_flag=True, help="The table as JSON.")
@click.pass_context
def command(ctx: click.Context, messages: int, seed: int, as_json: bool) -> None:
    """Run a relay with deploy/lynxscale.conf for about ten seconds against a simulated partner on loopback that slows
    down, refuses, fails and drains, and print the outcomes by class. Only a temporary folder is written.

    Exit code 1 if a delivery guarantee was broken.
    """
    import asyncio
    from pathlib import Path

    from lab.demo import play
    from lab.traffic import fresh_folder

    with fresh_folder() as folder:
        result = asyncio.run(play(Path(folder), messages, seed, lambda text: click.echo(text, err=as_json)))
    if as_json:
        write_json({"classes": result.table, "breaches": result.breaches})
    else:
        click.echo()
        write_table(
            ["class", *COLUMNS], [[cls, *(row[name] for name in COLUMNS)] for cls, row in sorted(result.table.items())]
        )
        click.echo()
        click.echo(
            "deferred: given up with a time to come again; undeliverable: given up for good; twice: an effect "
            "more than once, which only a class that is safe to repeat may have"
        )
    for breach in result.breaches:
        click.echo(f"rule broken: {breach}", err=True)
    if result.breaches:
        ctx.exit(FAILED)
