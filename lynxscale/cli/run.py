"""``lynxscale run``: the daemon, like `lynxscale` without arguments, with an optional configuration file."""

import sys

import click

from lynxscale.cli import example


@example("NODE_CONFIG=node.json NODE_STATE=state lynxscale run --conf deploy/lynxscale.conf")
@click.command()
@click.option("--conf", type=click.Path(dir_okay=False), help="The configuration file (default: LYNXSCALE_CONF).")
def command(conf: str | None) -> None:
    """Run one relay until SIGTERM. The README lists its environment variables."""
    from lynxscale.relay.daemon import main

    sys.exit(main(conf))
