"""A tier of real processes, each of which runs from its own checkout of the program."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path

import msgspec

from lab.tier.disturbances import TOLERATED_MACHINES
from lab.tier.judge_wait import wait_until
from lab.tier.local import CONTROL_COUNT, LocalTier
from lynxscale.coordination.membership_plan import voters_wanted

THIS_CHECKOUT = Path(__file__).resolve().parents[2]
STEADY_DISK_SCRIPT = THIS_CHECKOUT / "lab/tier/steady_disk.py"  # also for checkouts that have none
EXIT_TIMEOUT_S = 10.0  # longer than the setting grace-s, 8 s
COMMAND_TIMEOUT_S = 30.0


@dataclass(frozen=True)
class Checkout:
    """One version of the program, and the interpreter that runs it."""

    label: str
    path: Path
    python: str

    def environment(self, bytecode: Path, settings: Path | None = None) -> dict[str, str]:
        """The environment of a process. Bytecode is cached outside the checkout."""
        variables = {"PYTHONPATH": str(self.path), "PYTHONPYCACHEPREFIX": str(bytecode)}
        return os.environ | variables | ({"LYNXSCALE_SETTINGS": str(settings)} if settings else {})


class UpgradeTier(LocalTier):
    """A local tier, each process of which runs from its own checkout."""

    def __init__(
        self,
        folder: Path,
        network: int,
        checkout: Checkout,
        controls: int = CONTROL_COUNT,
        steady_disk: bool = False,
    ) -> None:
        super().__init__(folder, network, controls=controls, steady_disk=steady_disk)
        self.checkouts = dict.fromkeys((*self.control_names, *self.relay_names), checkout)

    def launch(self, name: str, bootstrap: bool = False) -> None:
        """Start a process from its checkout."""
        checkout = self.checkouts[name]
        settings = self.folder / f"{name}.toml"
        settings.write_text(self.settings_text(name, bootstrap))
        module = "lynxscale.controlplane" if name.startswith("control") else "lynxscale.dataplane"
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [checkout.python, *([str(STEADY_DISK_SCRIPT)] if self.steady_disk else ["-m"]), module],
                cwd=checkout.path,
                env=checkout.environment(self.folder / "bytecode", settings),
                stdout=log,
                stderr=log,
            )

    @property
    def has_spare(self) -> bool:
        """Whether there are more members than voters."""
        return len(self.control_names) > voters_wanted(TOLERATED_MACHINES)

    async def end(self, name: str) -> int:
        """Send SIGTERM to a process and return its exit code. Raises TimeoutError if it does not end in time."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)

        async def ended() -> bool:
            return process.poll() is not None

        await wait_until(ended, EXIT_TIMEOUT_S, f"{name} ends after SIGTERM")
        del self.processes[name]
        return process.returncode

    async def run(self, checkout: Checkout, module: str, *arguments: str) -> tuple[int, str]:
        """Run a module of a checkout as a command. Returns its exit code and its output."""
        process = await asyncio.create_subprocess_exec(
            checkout.python,
            *("-m", module, *arguments),
            cwd=checkout.path,
            env=checkout.environment(self.folder / "bytecode"),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        try:
            async with asyncio.timeout(COMMAND_TIMEOUT_S):
                output, _ = await process.communicate()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()
        return process.returncode, output.decode()

    async def status(self, name: str) -> dict:
        """The status report of a process; empty if it does not answer."""
        address = self.control(name) if name.startswith("control") else self.readiness(name)
        response = await self.call(address, "GET", "/status")
        return msgspec.json.decode(response.body) if response.status == 200 else {}

    async def in_sync_backups(self) -> list[str]:
        """The names of the members other than the primary whose replicas are in sync."""
        status = await self.status(await self.primary())
        return sorted(replica["node"] for replica in status.get("replicas", []) if replica["in_sync"])

    async def healthy(self) -> bool:
        """Whether there is one primary, enough members are in sync, and all relays are ready and use that primary."""
        controls = [name for name in self.control_names if name in self.processes]
        statuses = {name: await self.status(name) for name in (*controls, *self.relay_names)}
        if not all(statuses.values()):
            return False
        leading = [name for name in controls if statuses[name]["leads"]]
        if len(leading) != 1:
            return False
        primary = statuses[leading[0]]
        if any(statuses[name]["primary"] != primary["primary"] for name in controls):
            return False
        in_sync = {replica["node"] for replica in primary["replicas"] if replica["in_sync"]} | {leading[0]}
        running = in_sync & set(self.processes)
        relays = [statuses[name] for name in self.relay_names]
        return (
            len(running) == voters_wanted(TOLERATED_MACHINES)
            and sorted(primary["relays"]) == sorted(relay["address"] for relay in relays)
            and all(relay["ready"] and relay["primary"] == primary["primary"] for relay in relays)
        )


def program_folder(checkout: Checkout, bytecode: Path) -> str:
    """The folder from which the interpreter of a checkout imports the program."""
    result = subprocess.run(
        [checkout.python, "-c", "import lynxscale; print(lynxscale.__file__)"],
        cwd=checkout.path,
        env=checkout.environment(bytecode),
        capture_output=True,
        text=True,
        check=True,
        timeout=COMMAND_TIMEOUT_S,
    )
    return str(Path(result.stdout.strip()).resolve().parents[1])


def revision(checkout: Checkout) -> str:
    """The commit of a checkout, marked as dirty if files differ from it."""
    result = subprocess.run(
        ["git", "-C", str(checkout.path), "describe", "--always", "--dirty"], capture_output=True, text=True
    )
    return result.stdout.strip() or "unknown"


def interpreter_of(path: Path) -> str:
    """The interpreter of a checkout's virtual environment, or else the current interpreter."""
    own = path / ".venv" / "bin" / "python"
    return str(own) if own.exists() else sys.executable
