"""A small tier of real processes on loopback; the endpoints and the platform are fakes in this process.

Three control members and two relays, unless stated otherwise, run as separate processes, each at its own address in
127.0.0.0/8.
"""

from __future__ import annotations

import asyncio
import os
import resource
import signal
import socket
import subprocess
import sys
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

import msgspec

from lab.tier.fakes import FakeEndpoint, FakePlatform
from lab.tier.simulated_tier import MODEL, TOOLS, ZONES, default_configuration
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.runtime.clock import LoopClock
from lynxscale.runtime.exceptions import NoResponseError
from lynxscale.runtime.http_types import Head, Request, Response
from lynxscale.runtime.operator_client import send_request
from lynxscale.runtime.sockets import split_address

CONTROL_COUNT, RELAY_COUNT = 3, 2
FIRST_PORT = 7300
ENDPOINT_PORT = 7399
FIRST_NETWORK, LAST_NETWORK = 100, 220  # second octets of loopback addresses
STEADY_DISK_MODULE = "lab.tier.steady_disk"
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0


@dataclass
class LocalTier:
    """The processes of a tier, by name. ``network``: second octet of all addresses; ``port``: first of four ports.

    ``controls`` and ``relays``: the numbers of processes. ``steady_disk``: whether syncs take the same time each,
    whatever else writes to the disks of this machine. ``memory_mb``: as stated in the settings. ``descriptors``: how
    many each process can open.
    """

    folder: Path
    network: int = 77
    port: int = FIRST_PORT
    controls: int = CONTROL_COUNT
    relays: int = RELAY_COUNT
    steady_disk: bool = False
    memory_mb: int | None = None
    descriptors: int | None = None
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    endpoints: list[FakeEndpoint] = field(default_factory=list)
    platform: FakePlatform | None = None

    # Addresses ---------------------------------------------------------------------------------------

    def host(self, name: str) -> str:
        """The address of ``control-1``, ``relay-2`` and so on."""
        role, _, number = name.partition("-")
        return f"127.{self.network}.{1 if role == 'control' else 2}.{number}"

    def control(self, name: str) -> str:
        """The address for operators of a control member."""
        return f"{self.host(name)}:{self.port + 1}"

    def frontend(self, name: str) -> str:
        """The address for clients of a relay."""
        return f"{self.host(name)}:{self.port + 2}"

    def readiness(self, name: str) -> str:
        """The address of a relay's readiness check."""
        return f"{self.host(name)}:{self.port + 3}"

    @property
    def control_names(self) -> list[str]:
        """The names of all control members."""
        return [f"control-{number}" for number in range(1, self.controls + 1)]

    @property
    def relay_names(self) -> list[str]:
        """The names of all relays."""
        return [f"relay-{number}" for number in range(1, self.relays + 1)]

    # Processes ---------------------------------------------------------------------------------------

    async def start(self) -> None:
        """Start and configure the tier, and wait until the relays are ready. Raises TimeoutError."""
        loop = asyncio.get_running_loop()
        clock = LoopClock(loop)
        servers: list[asyncio.Task] = []

        def listen(address: str, factory: Callable) -> None:
            servers.append(loop.create_task(loop.create_server(factory, *split_address(address))))

        self.platform = FakePlatform(f"127.{self.network}.3.1:{ENDPOINT_PORT}", clock, listen)
        for number in range(4):
            service = MODEL if number < 2 else TOOLS
            address = f"127.{self.network}.4.{number + 1}:{ENDPOINT_PORT}"
            endpoint = Endpoint(f"i-{number}", service, address, ZONES[number % 3], 8, "ready")
            self.endpoints.append(FakeEndpoint(endpoint, clock, listen))
            self.platform.listed.append(endpoint)
        await asyncio.gather(*servers)
        for name in (*self.control_names, *self.relay_names):
            self.launch(name, bootstrap=True)
        async with asyncio.timeout(START_TIMEOUT_S):
            await self._configure()

    async def _configure(self) -> None:
        body = msgspec.json.encode(default_configuration())
        fields = ((b"lynxscale-base-version", b"0"),)
        while (await self.call(self.control("control-1"), "POST", "/config/replace", body, fields)).status != 200:
            await asyncio.sleep(0.1)
        for name in self.relay_names:
            while (await self.call(self.readiness(name), "GET", "/ready")).status != 200:
                await asyncio.sleep(0.1)

    def launch(self, name: str, bootstrap: bool = False) -> None:
        """Write the settings file of a process and start it."""
        settings = self.folder / f"{name}.toml"
        settings.write_text(self.settings_text(name, bootstrap))
        module = "lynxscale.controlplane" if name.startswith("control") else "lynxscale.dataplane"
        modules = [STEADY_DISK_MODULE, module] if self.steady_disk else [module]
        with (self.folder / f"{name}.log").open("ab") as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", *modules],
                env=os.environ | {"LYNXSCALE_SETTINGS": str(settings)},
                stdout=log,
                stderr=log,
            )
        if self.descriptors is not None:
            limit = (self.descriptors, self.descriptors)
            resource.prlimit(self.processes[name].pid, resource.RLIMIT_NOFILE, limit)

    def settings_text(self, name: str, bootstrap: bool) -> str:
        """The content of the settings file of a process."""
        number = int(name.rpartition("-")[2])
        seeds = [self.control(control_name) for control_name in self.control_names]
        listen = (
            f'control = "{self.control(name)}"'
            if name.startswith("control")
            else f'frontend = "{self.frontend(name)}"\nreadiness = "{self.readiness(name)}"'
        )
        return "\n".join(
            [
                f'node-name = "{name}"',
                f'ip = "{self.host(name)}"',
                f'zone = "{ZONES[number % 3]}"',
                f"internal-ports = [{self.port}, {self.port}]",
                f"seeds = {msgspec.json.encode(seeds).decode()}",
                f"bootstrap = {str(bootstrap).lower()}",
                f'data-dir = "{self.folder / name}"',
                "[fault-tolerance]",
                "machines = 1",
                "[listen]",
                listen,
                *([] if self.memory_mb is None else ["[limits]", f"memory-mb = {self.memory_mb}"]),
                "[cloud]",
                f'address = "127.{self.network}.3.1:{ENDPOINT_PORT}"',
                "",
            ]
        )

    def kill(self, name: str) -> None:
        """Kill a process."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self) -> None:
        """Stop all processes with SIGTERM, and kill those that do not end within ``STOP_TIMEOUT_S``."""
        for process in self.processes.values():
            process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()

    # Calls -------------------------------------------------------------------------------------------

    async def call(self, address: str, method: str, target: str, body: bytes = b"", fields: tuple = ()) -> Response:
        """The response to one request; status 0 if none is received."""
        head = Head(((b"host", b"tier.example"), *fields))
        try:
            return await send_request(address, Request(method, target, head, body))
        except NoResponseError:
            return Response(0)

    async def primary(self) -> str:
        """Wait for a member that leads, and return its name. Raises TimeoutError."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                for name in self.control_names:
                    response = await self.call(self.control(name), "GET", "/status")
                    if response.status == 200 and msgspec.json.decode(response.body)["leads"]:
                        return name
                await asyncio.sleep(0.1)


def free_network(random: Random) -> int:
    """Return the second octet of loopback addresses that no other tier on this machine uses. Raises OSError."""
    networks = list(range(FIRST_NETWORK, LAST_NETWORK + 1))
    random.shuffle(networks)
    for network in networks:
        # The platform listens first when a tier starts, and the control members some time later.
        if is_free(f"127.{network}.3.1", ENDPOINT_PORT) and is_free(f"127.{network}.1.1", FIRST_PORT):
            return network
    raise OSError("no free loopback network")


def is_free(host: str, port: int) -> bool:
    """Whether nothing listens at a loopback address."""
    with socket.socket() as probe:
        try:
            probe.bind((host, port))
        except OSError:
            return False
    return True
