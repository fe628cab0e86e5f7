"""The command line of the control plane: ``lynxscale-controlplane``."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
from returns.result import Failure

from lynxscale.controlplane.configuration import Configuration, check
from lynxscale.controlplane.configuration_update import apply_update, check_update
from lynxscale.controlplane.status import ControlStatus, render
from lynxscale.coordination.store import Store
from lynxscale.runtime.commands import CheckSettings, call, fail, print_status, read_file
from lynxscale.runtime.durable_files import ReadOnlyFiles
from lynxscale.runtime.exit_codes import ExitCode


@cappa.command(help="Run a control process; the variable LYNXSCALE_SETTINGS names its settings file.")
@dataclass
class Run:
    """Run a control process until SIGTERM."""

    def __call__(self) -> None:
        """Run."""
        from lynxscale.controlplane.__main__ import main as run

        raise cappa.Exit(code=run())


@cappa.command(name="check", help="Check a configuration file; all findings are told at once, each with its place.")
@dataclass
class Check:
    """Check a configuration without sending it."""

    file: str

    def __call__(self) -> None:
        """Tell the findings."""
        checked = check(read_file(self.file))
        if isinstance(checked, Failure):
            raise fail("\n".join(f"{self.file}: {finding}" for finding in checked.failure()), ExitCode.FINDINGS)
        table = checked.unwrap()
        print(f"{self.file}: good, version {table['generation']}, {len(table['routes'])} routes")


@cappa.command(help="Tell what a control process knows; ADDRESS is its control address.")
@dataclass
class Status:
    """The status of a member."""

    address: str
    json: Annotated[bool, cappa.Arg(long=True, help="As JSON.")] = False

    def __call__(self) -> None:
        """Print it."""
        print_status(self.address, self.json, ControlStatus, render)


@cappa.command(help="Read the configuration in force from any control process.")
@dataclass
class Read:
    """The newest configuration."""

    address: str

    def __call__(self) -> None:
        """Print it as it was sent."""
        response = call(self.address, "GET", "/config/read")
        if response.status != 200:
            raise fail(f"{self.address}: {response.status}: {response.body.decode()}", ExitCode.FINDINGS)
        print(response.body.decode())


@cappa.command(help="Send a configuration, or an update of the one in force, to any control process.")
@dataclass
class Push:
    """Replace or update the configuration in force."""

    address: str
    file: str
    base: Annotated[int, cappa.Arg(long=True, help="The version that it builds on.")]
    update: Annotated[bool, cappa.Arg(long=True, help="FILE is an update: generation, upsert and remove.")] = False

    def __call__(self) -> None:
        """Send it and tell the answer."""
        fields = ((b"lynxscale-base-version", b"%d" % self.base),)
        path = "/config/update" if self.update else "/config/replace"
        response = call(self.address, "POST", path, read_file(self.file), fields)
        if response.status != 200:
            raise fail(f"{self.address}: {response.status}: {response.body.decode()}", ExitCode.FINDINGS)
        print(f"{self.file}: acknowledged")


@cappa.command(help="Tell which routes and services differ between two configuration files.")
@dataclass
class Diff:
    """Compare two configurations by name."""

    before: str
    after: str
    update: Annotated[bool, cappa.Arg(long=True, help="AFTER is an update of BEFORE.")] = False

    def __call__(self) -> None:
        """One line for each difference; exit code 1 where there are any."""
        before = _table(self.before)
        after = _updated(before, self.after) if self.update else _table(self.after)
        lines = [line for part in ("routes", "services") for line in differences(part, before, after)]
        print("\n".join(lines) if lines else "no difference")
        if lines:
            raise cappa.Exit(code=ExitCode.FINDINGS)


def _updated(before: Configuration, path: str) -> Configuration:
    changed = check_update(read_file(path)).bind(lambda update: apply_update(before, update))
    if isinstance(changed, Failure):
        raise fail("\n".join(f"{path}: {finding}" for finding in changed.failure()), ExitCode.UNUSABLE)
    return changed.unwrap()


def _table(path: str) -> Configuration:
    checked = check(read_file(path))
    if isinstance(checked, Failure):
        raise fail("\n".join(f"{path}: {finding}" for finding in checked.failure()), ExitCode.UNUSABLE)
    return checked.unwrap()


def differences(part: str, before: dict, after: dict) -> list[str]:
    """Lines ``+``, ``-`` and ``~`` for entries added, removed and changed."""
    old, new = ({entry["name"]: entry for entry in table[part]} for table in (before, after))
    lines = [f"- {part} {name}" for name in old if name not in new]
    lines += [f"+ {part} {name}" for name in new if name not in old]
    for name in old:
        if name in new and old[name] != new[name]:
            fields = sorted(key for key in old[name] | new[name] if old[name].get(key) != new[name].get(key))
            lines.append(f"~ {part} {name}: {', '.join(fields)}")
    return lines


@cappa.command(help="Check every file of a stopped member's data folder; nothing is changed.")
@dataclass
class Verify:
    """Verify stored versions."""

    folder: str

    def __call__(self) -> None:
        """Tell the position reached, and each file that shows that something is missing."""
        store = _store(self.folder)
        print(f"{self.folder}: position {store.position.epoch}/{store.position.index}, {len(store.values)} keys")
        if not store.intact:
            findings = (f"{self.folder}/{name}: damaged, or nothing leads to it" for name in store.damage)
            raise fail("\n".join(findings), ExitCode.FINDINGS)


@cappa.command(help="Print every key and value of a stopped member's data folder, a JSON object a line.")
@dataclass
class Export:
    """Export the stored state."""

    folder: str

    def __call__(self) -> None:
        """Print it, sorted by key."""
        for key, value in sorted(_store(self.folder).values.items()):
            print(msgspec.json.encode({"key": key, "value": value}).decode())


def _store(folder: str) -> Store:
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
    """Commands on stored versions."""

    command: cappa.Subcommands[Verify | Export]


@cappa.command(name="lynxscale-controlplane", help="Configuration, endpoints, budgets and conversations of a tier.")
@dataclass
class ControlPlane:
    """All commands."""

    command: cappa.Subcommands[Run | CheckSettings | Check | Status | Config | Storage]


def main(arguments: list[str] | None = None) -> None:
    """Entry point."""
    cappa.invoke(ControlPlane, argv=arguments)


if __name__ == "__main__":
    main()
