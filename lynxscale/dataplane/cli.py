"""The command line of the data plane: ``lynxscale-dataplane``."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Annotated

import cappa

from lynxscale.dataplane.status import RelayStatus, render
from lynxscale.runtime.commands import CheckSettings, print_status


@cappa.command(help="Run a relay; the variable LYNXSCALE_SETTINGS names its settings file.")
@dataclass
class Run:
    """Run a relay until SIGTERM."""

    def __call__(self) -> None:
        """Run it; the exit code is the process's."""
        from lynxscale.dataplane.__main__ import main as run

        raise cappa.Exit(code=run())


@cappa.command(help="Tell what a relay knows; ADDRESS is its readiness address.")
@dataclass
class Status:
    """The status of a relay."""

    address: str
    json: Annotated[bool, cappa.Arg(long=True, help="As JSON.")] = False

    def __call__(self) -> None:
        """Print it as text or JSON."""
        print_status(self.address, self.json, RelayStatus, render)


@cappa.command(name="lynxscale-dataplane", help="Relays that take requests from clients and pass them to endpoints.")
@dataclass
class DataPlane:
    """The commands of ``lynxscale-dataplane``."""

    command: cappa.Subcommands[Run | CheckSettings | Status]


def main(arguments: list[str] | None = None) -> None:
    """Entry point; ``arguments`` default to those of the process."""
    cappa.invoke(DataPlane, argv=arguments)


if __name__ == "__main__":
    main()
