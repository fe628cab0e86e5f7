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
        """Exit with the code of the process."""
        from lynxscale.dataplane.__main__ import main as run

        raise cappa.Exit(code=run())


@cappa.command(help="Print the status of a relay; ADDRESS is its readiness address.")
@dataclass
class Status:
    """Print the status of a relay."""

    address: str
    json: Annotated[bool, cappa.Arg(long=True, help="As JSON.")] = False

    def __call__(self) -> None:
        """Print the status as text or JSON."""
        print_status(self.address, self.json, RelayStatus, render)


@cappa.command(name="lynxscale-dataplane", help="Relays that forward requests from clients to endpoints.")
@dataclass
class DataPlane:
    """All commands of the data plane."""

    command: cappa.Subcommands[Run | CheckSettings | Status]


def main(arguments: list[str] | None = None) -> None:
    """Parse the arguments, those of the process by default, and run the command."""
    cappa.invoke(DataPlane, argv=arguments)


if __name__ == "__main__":
    main()
