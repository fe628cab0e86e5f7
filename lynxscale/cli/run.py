"""``lynxscale run``: the daemon, as `lynxscale` without words, with a configuration file by name."""

import sys

import click

from lynxscale.cli import example


@example("NODE_CONFIG=node.json NODE_STATE=state lynxscale run --conf deploy/lynxscale.conf")
@click.command()
@click.option("--conf", type=click.Path(dir_okay=False), help="The configuration file (else LYNXSCALE_CONF).")
def command(conf: str | None) -> None:
    """Run one relay until SIGTERM; what it is told by variables stands in the README."""
    from lynxscale.relay.daemon import main

    sys.exit(main(conf))
