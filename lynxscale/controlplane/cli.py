"""The command line of the control plane: ``lynxscale-controlplane``.

Each command is a dataclass: its fields are the arguments, and calling it runs the command. cappa parses the arguments
and calls the command.
"""

from __future__ import annotations

from dataclasses import dataclass
from http import HTTPStatus
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
from returns.result import Failure, Result

from lynxscale.configuration.finding import Findings
from lynxscale.controlplane.configuration import Configuration
from lynxscale.controlplane.configuration_check import check_configuration
from lynxscale.controlplane.configuration_diff import differences
from lynxscale.controlplane.configuration_endpoint import BASE_HEADER
from lynxscale.controlplane.configuration_update import apply_update, check_update
from lynxscale.controlplane.operator_api import READ_PATH, REPLACE_PATH, UPDATE_PATH
from lynxscale.controlplane.status import ControlStatus, render
from lynxscale.coordination.store import Store
from lynxscale.runtime.commands import CheckSettings, fail, print_status, read_file, send_request_or_exit
from lynxscale.runtime.durable_files import ReadOnlyFiles
from lynxscale.runtime.exit_codes import ExitCode
from lynxscale.runtime.http_types import Response


@cappa.command(help="Run a control process; the variable LYNXSCALE_SETTINGS names its settings file.")
@dataclass
class Run:
    """Run a control process until SIGTERM."""

    def __call__(self) -> None:
        """Exit with the code of the process."""
        from lynxscale.controlplane.__main__ import main as run  # the other commands need no event loop

        raise cappa.Exit(code=run())


@cappa.command(name="check", help="Check a configuration file; all findings are printed at once, each with its path.")
@dataclass
class Check:
    """Check a configuration without sending it."""

    file: str

    def __call__(self) -> None:
        """Print the findings; the exit code is 1 if there are any."""
        checked = check_configuration(read_file(self.file))
        if isinstance(checked, Failure):
            raise fail(_finding_lines(self.file, checked.failure()), ExitCode.FINDINGS)
        configuration = checked.unwrap()
        print(f"{self.file}: good, version {int(configuration['generation'])}, {len(configuration['routes'])} routes")


@cappa.command(help="Print the status of a control process; ADDRESS is its control address.")
@dataclass
class Status:
    """Print the status of a member."""

    address: str
    json: Annotated[bool, cappa.Arg(long=True, help="As JSON.")] = False

    def __call__(self) -> None:
        """Print the status as text or JSON."""
        print_status(self.address, self.json, ControlStatus, render)


@cappa.command(help="Read the configuration in force from any control process.")
@dataclass
class Read:
    """Read the configuration in force."""

    address: str

    def __call__(self) -> None:
        """Print the configuration as the operator sent it."""
        response = _require_ok(self.address, send_request_or_exit(self.address, "GET", READ_PATH))
        print(response.body.decode())


@cappa.command(help="Send a configuration, or an update of the one in force, to any control process.")
@dataclass
class Push:
    """Replace or update the configuration in force."""

    address: str
    file: str
    base: Annotated[int, cappa.Arg(long=True, help="The version in force that FILE replaces or updates.")]
    update: Annotated[bool, cappa.Arg(long=True, help="FILE is an update: generation, upsert and remove.")] = False

    def __call__(self) -> None:
        """Send the file; the exit code is 1 if it is not acknowledged."""
        fields = ((BASE_HEADER, b"%d" % self.base),)
        path = UPDATE_PATH if self.update else REPLACE_PATH
        _require_ok(self.address, send_request_or_exit(self.address, "POST", path, read_file(self.file), fields))
        print(f"{self.file}: acknowledged")


@cappa.command(help="Print which routes and services differ between two configuration files.")
@dataclass
class Diff:
    """Compare two configurations by name."""

    before: str
    after: str
    update: Annotated[bool, cappa.Arg(long=True, help="AFTER is an update of BEFORE.")] = False

    def __call__(self) -> None:
        """Print one line for each difference; the exit code is 1 if there are any."""
        before = _load(self.before)
        after = _load_updated(before, self.after) if self.update else _load(self.after)
        lines = differences(before, after)
        print("\n".join(lines) if lines else "no difference")
        if lines:
            raise cappa.Exit(code=ExitCode.FINDINGS)


def _require_ok(address: str, response: Response) -> Response:
    """Return the response if its status is 200. Raises cappa.Exit."""
    if response.status != HTTPStatus.OK:
        raise fail(f"{address}: {response.status}: {response.body.decode()}", ExitCode.FINDINGS)
    return response


def _load(path: str) -> Configuration:
    return _unwrap(path, check_configuration(read_file(path)))


def _load_updated(before: Configuration, path: str) -> Configuration:
    return _unwrap(path, check_update(read_file(path)).bind(lambda update: apply_update(before, update)))


def _unwrap(path: str, checked: Result[Configuration, Findings]) -> Configuration:
    """Return the checked configuration of a file. Raises cappa.Exit if there are findings."""
    if isinstance(checked, Failure):
        raise fail(_finding_lines(path, checked.failure()), ExitCode.UNUSABLE)
    return checked.unwrap()


def _finding_lines(path: str, findings: Findings) -> str:
    return "\n".join(f"{path}: {finding}" for finding in findings)


@cappa.command(help="Check every file of a stopped member's data folder; nothing is changed.")
@dataclass
class Verify:
    """Verify the stored state."""

    folder: str

    def __call__(self) -> None:
        """Print the position of the last stored batch, and each file that is damaged or unreachable."""
        store = _open_store(self.folder)
        print(f"{self.folder}: position {store.position.epoch}/{store.position.index}, {len(store.values)} keys")
        if not store.intact:
            findings = (f"{self.folder}/{name}: damaged or unreachable" for name in store.damage)
            raise fail("\n".join(findings), ExitCode.FINDINGS)


@cappa.command(help="Print every key and value of a stopped member's data folder, a JSON object a line.")
@dataclass
class Export:
    """Export the stored state."""

    folder: str

    def __call__(self) -> None:
        """Print the entries, sorted by key."""
        for key, value in sorted(_open_store(self.folder).values.items()):
            print(msgspec.json.encode({"key": key, "value": value}).decode())


def _open_store(folder: str) -> Store:
    if not Path(folder).is_dir():
        raise fail(f"{folder}: no such folder", ExitCode.UNUSABLE)
    return Store(ReadOnlyFiles(folder))


@cappa.command(name="config", help="The configuration in force.")
@dataclass
class Config:
    """Commands on the configuration."""

    command: cappa.Subcommands[Read | Push | Diff]


@cappa.command(name="storage", help="The data folder of a member that is stopped.")
@dataclass
class Storage:
    """Commands on the stored state of a stopped member."""

    command: cappa.Subcommands[Verify | Export]


@cappa.command(name="lynxscale-controlplane", help="Configuration, endpoints, budgets and conversations of a tier.")
@dataclass
class ControlPlane:
    """All commands of the control plane."""

    command: cappa.Subcommands[Run | CheckSettings | Check | Status | Config | Storage]


def main(arguments: list[str] | None = None) -> None:
    """Parse the arguments, those of the process by default, and run the command."""
    cappa.invoke(ControlPlane, argv=arguments)


if __name__ == "__main__":
    main()
