"""``lynxscale lab``: fault injection for relays on this machine."""

from __future__ import annotations

import click

from lynxscale.cli import example
from lynxscale.cli.common import write_json, write_table
from lynxscale.cli.exceptions import FAILED, InvalidUsageError

STANDINGS = ("member", "cut_off", "joining", "forming")


@example("lynxscale lab cluster --nodes 5 --seed 7 --minutes 2")
@click.group()
def group() -> None:
    """Run relays on loopback with seeded faults, and check their behaviour from outside."""


@example("lynxscale lab cluster --nodes 5 --seed 7 --minutes 2\nlynxscale lab cluster --kinds halves,kill --at-once 2")
@group.command()
@click.option("--nodes", default=5, show_default=True, type=click.IntRange(1, 16))
@click.option("--seed", default=1, show_default=True, type=int, help="Seed of all faults and messages.")
@click.option("--minutes", default=1.0, show_default=True, type=click.FloatRange(0.05, 600))
@click.option(
    "--at-once", default=2, show_default=True, type=click.IntRange(1, 5), help="Maximum number of concurrent faults."
)
@click.option("--kinds", default="", help="Only these kinds of fault, separated by commas (default: all).")
@click.option(
    "--rate", default=20.0, show_default=True, type=click.FloatRange(0, 400), help="Messages per second to each node."
)
@click.option("--keep", type=click.Path(file_okay=False), help="Use this folder, and keep it afterwards.")
@click.option("--plot", type=click.Path(dir_okay=False), help="Plot how each node saw the others, as PNG or SVG.")
@click.option("--json", "as_json", is_flag=True, help="The verdict as JSON.")
@click.pass_context
def cluster(
    ctx: click.Context,
    nodes: int,
    seed: int,
    minutes: float,
    at_once: int,
    kinds: str,
    rate: float,
    keep: str | None,
    plot: str | None,
    as_json: bool,
) -> None:
    """Start a cluster of relays, inject seeded faults into links and processes, and check the cluster's guarantees.

    Exit code 1 if a guarantee was violated.
    """
    import asyncio
    import contextlib
    from pathlib import Path

    from lab.cluster.faults import ALL, draw
    from lab.cluster.play import play
    from lab.traffic import fresh_folder

    chosen = tuple(kinds.split(",")) if kinds else ALL
    if unknown := set(chosen) - set(ALL):
        raise InvalidUsageError(f"--kinds: no such kind: {', '.join(sorted(unknown))}; want some of {', '.join(ALL)}")
    faults = draw(seed, [f"r{place + 1}" for place in range(nodes)], minutes * 60, at_once, chosen)
    if keep:
        Path(keep).mkdir(parents=True, exist_ok=True)
    with contextlib.nullcontext(keep) if keep else fresh_folder() as folder:
        click.echo(f"seed {seed}, {nodes} nodes, {len(faults)} faults", err=as_json)
        result = asyncio.run(play(Path(folder), nodes, seed, faults, lambda text: click.echo(text, err=as_json), rate))
        if plot:
            from lab.cluster.plot import draw_timeline

            draw_timeline(result, Path(plot))
    verdict = result.verdict
    if as_json:
        write_json(
            {
                "seed": seed,
                "formed_s": result.formed_s,
                "settled_s": result.settled_s,
                "views": verdict.views,
                "removals": verdict.removals,
                "messages": result.messages,
                "breaches": verdict.breaches,
                "bytes_per_s": result.sent_bytes,
                "datagrams_per_s": result.sent_datagrams,
            }
        )
    else:
        click.echo()
        write_table(
            ["node", *(f"{name}_%" for name in STANDINGS), "removed"],
            [
                [node, *(f"{100 * row[name] / row.total():.1f}" for name in STANDINGS), verdict.removals[node]]
                for node, row in sorted(verdict.table.items())
            ],
        )
        click.echo(
            f"\n{len(verdict.views)} views; formed in {result.formed_s:.1f} s, one view again "
            f"{result.settled_s:.1f} s after the last fault; {result.sent_bytes:.0f} bytes and "
            f"{result.sent_datagrams:.1f} datagrams a second from each node"
        )
        for cls, row in sorted(result.messages.items()):
            click.echo(f"{cls}: " + ", ".join(f"{name} {number}" for name, number in row.items()))
    for breach in verdict.breaches:
        click.echo(f"breach: {breach}", err=True)
    if verdict.breaches:
        ctx.exit(FAILED)
