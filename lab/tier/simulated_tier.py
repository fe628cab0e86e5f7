"""A simulated tier in one process: control members, relays, fake endpoints and platform, an operator and clients."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from random import Random

import msgspec

from lab.tier.fakes import PLATFORM, ClientResponse, FakeEndpoint, FakePlatform, send_request
from lab.tier.simulated_tcp import SimulatedTcp
from lab.tier.world import World
from lynxscale.controlplane.service import ControlService
from lynxscale.dataplane.service import RelayService
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.runtime.http_client import ClientConnection
from lynxscale.runtime.http_server import ServerConnection
from lynxscale.runtime.http_types import Head, Request
from lynxscale.runtime.server_limits import ServerLimits
from lynxscale.runtime.settings import Cloud, FaultTolerance, Limits, Listen, Settings

INTERNAL_PORT, CONTROL_PORT, FRONTEND_PORT, READINESS_PORT = 7000, 8000, 8080, 8081
MODEL, TOOLS = "model", "tools"
HOST = "tier.example"
FIRST_PUSH_TIMEOUT_S, PUSH_RETRY_INTERVAL_S = 10.0, 0.1
"""How long the first configuration is sent again while it is rejected, and the interval between the requests."""
ZONES = ("north", "south", "west")


def default_configuration(generation: int = 1) -> dict:
    """A configuration with routes of every kind: retained turns, resumable streams, safe and unsafe calls."""
    common = {"host": HOST, "timeout-ms": 4000, "target-latency-ms": 200, "max-attempts": 2}
    streaming = common | {"route-type": "streaming", "backend": MODEL, "retention-s": 60.0}
    return {
        "generation": generation,
        "routes": [
            streaming | {"name": "kept", "path-prefix": "/kept/", "retained": True, "resumable": False},
            streaming | {"name": "open", "path-prefix": "/open/", "retained": False, "resumable": True},
            common | {"name": "look", "path-prefix": "/look/", "route-type": "safe", "backend": TOOLS},
            common
            | {"name": "book", "path-prefix": "/book/", "route-type": "unsafe", "backend": TOOLS, "max-attempts": 1},
        ],
        "services": [
            {"name": MODEL, "engine": {"slots": 8, "stream-stride": 10}, "max-connections": 100},
            {"name": TOOLS, "max-connections": 100},
        ],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 100_000, "idle-timeout-ms": 15000},
    }


class SimulatedTier:
    """A tier whose processes all run; ``start_serving`` configures it and waits until its relays are ready."""

    def __init__(self, world: World, relays: int = 3, controls: int = 3, tolerated: int = 1) -> None:
        self.world = world
        self.tcp = SimulatedTcp(world)
        self.platform = FakePlatform(PLATFORM, world.machine(PLATFORM).clock(), self.listener(PLATFORM))
        self.endpoints: dict[str, FakeEndpoint] = {}
        self.controls: dict[str, ControlService] = {}
        self.relays: dict[str, RelayService] = {}
        self.tolerated = tolerated
        self.control_hosts = [f"10.0.0.{number}" for number in range(1, controls + 1)]
        self.relay_hosts = [f"10.1.0.{number}" for number in range(1, relays + 1)]
        self._request_number = count(1).__next__
        for number in range(4):
            self.add_endpoint(MODEL if number < 2 else TOOLS, f"10.2.0.{number + 1}:90", f"i-{number}", slots=8)
        for host in self.control_hosts:
            self.start_control(host, bootstrap=True)
        for host in self.relay_hosts:
            self.start_relay(host)

    # Machines ----------------------------------------------------------------------------------------

    def add_endpoint(self, service: str, address: str, name: str, slots: int) -> FakeEndpoint:
        """Start an endpoint and add it to the platform's list."""
        zone = ZONES[len(self.endpoints) % len(ZONES)]
        endpoint = Endpoint(name, service, address, zone, slots, "ready")
        clock = self.world.machine(address).clock()
        self.endpoints[name] = FakeEndpoint(endpoint, clock, self.listener(address))
        self.platform.listed.append(endpoint)
        return self.endpoints[name]

    def listener(self, machine: str) -> Callable[[str, Callable[[], ServerConnection]], None]:
        """A function that starts a listener at an address of a machine."""
        return lambda address, factory: self.tcp.listen(machine, address, factory)

    def settings(self, host: str, bootstrap: bool, listen: Listen, number: int) -> Settings:
        """The settings of the process on a host."""
        seeds = tuple(f"{control_host}:{CONTROL_PORT}" for control_host in self.control_hosts[:3])
        return Settings(
            node_name=f"node-{host}",
            ip=host,
            zone=ZONES[number % len(ZONES)],
            internal_ports=(INTERNAL_PORT, INTERNAL_PORT + 9),
            seeds=seeds,
            bootstrap=bootstrap,
            data_dir="simulated",
            listen=listen,
            limits=Limits(),
            fault_tolerance=FaultTolerance(machines=self.tolerated),
            cloud=Cloud(address=PLATFORM),
        )

    def start_control(self, host: str, bootstrap: bool = False) -> ControlService:
        """Start a control member's process on a host."""
        address = f"{host}:{INTERNAL_PORT}"
        machine = self.world.machine(address)
        settings = self.settings(host, bootstrap, Listen(control=f"{host}:{CONTROL_PORT}"), int(host[-1]))
        service = ControlService(
            settings,
            machine.clock(),
            machine.network(),
            machine.files,
            self.tcp.dialer(address),
            Random(self.world.random.random()),
            machine.worker(),
        )
        machine.receive = service.receive
        clock = machine.clock()
        self.tcp.listen(
            address,
            f"{host}:{CONTROL_PORT}",
            lambda: ServerConnection(service.handle_request, ServerLimits(), clock, set()),
        )
        self.controls[host] = service
        return service

    def start_relay(self, host: str) -> RelayService:
        """Start a relay's process on a host."""
        address = f"{host}:{INTERNAL_PORT}"
        machine = self.world.machine(address)
        listen = Listen(frontend=f"{host}:{FRONTEND_PORT}", readiness=f"{host}:{READINESS_PORT}")
        service = RelayService(
            self.settings(host, False, listen, int(host[-1])),
            machine.clock(),
            machine.network(),
            self.tcp.dialer(address),
            Random(self.world.random.random()),
        )
        machine.receive = service.receive
        clock = machine.clock()
        self.tcp.listen(
            address,
            listen.frontend,
            lambda: ServerConnection(service.handle_request, service.limits, clock, set()),
        )
        self.relays[host] = service
        return service

    def kill_control(self, host: str, power: bool = False, wipe: bool = False) -> None:
        """Kill a control process; ``power``: its machine loses power too, ``wipe``: the machine loses its disk."""
        self.controls.pop(host, None)
        self.world.machine(f"{host}:{INTERNAL_PORT}").kill(power, wipe)

    def kill_relay(self, host: str) -> None:
        """Kill a relay's process."""
        self.relays.pop(host, None)
        self.world.machine(f"{host}:{INTERNAL_PORT}").kill()

    # The operator ------------------------------------------------------------------------------------

    def primary(self) -> ControlService | None:
        """The control process that acts as primary, if there is one."""
        return next((service for service in self.controls.values() if service.member.leads()), None)

    def operator_call(self, method: str, target: str, body: bytes = b"", base: str | None = None) -> ClientResponse:
        """Send one request to the primary and wait for its end."""
        assert self.world.run_until(lambda: self.primary() is not None, 5.0), "no primary in time"
        host = self.primary().publisher.address.partition(":")[0]
        fields = ((b"host", b"control"),) + (((b"lynxscale-base-version", base.encode()),) if base else ())
        request = Request(method, target, Head(fields), body)
        response, _ = send_request(self.world, self.tcp, f"{host}:{CONTROL_PORT}", request)
        self.world.run_until(lambda: response.ended, 4.0)
        return response

    def push(self, configuration: dict, base: int) -> ClientResponse:
        """Replace the configuration of version ``base``."""
        return self.operator_call("POST", "/config/replace", msgspec.json.encode(configuration), str(base))

    def update(self, update: dict, base: int) -> ClientResponse:
        """Update the configuration of version ``base``."""
        return self.operator_call("POST", "/config/update", msgspec.json.encode(update), str(base))

    def start_serving(self) -> SimulatedTier:
        """Push the first configuration and wait until all relays are ready. Raises AssertionError.

        A response 503 is not definite, as the primary may be lost at any time: the same request is sent again.
        """
        end = self.world.time + FIRST_PUSH_TIMEOUT_S
        while (status := self.push(default_configuration(), 0).status) in (0, 503) and self.world.time < end:
            self.world.run(self.world.time + PUSH_RETRY_INTERVAL_S)
        assert status == 200, f"the first configuration gets {status}"
        assert self.world.run_until(lambda: all(relay.ready for relay in self.relays.values()), 5.0), (
            "not ready in time"
        )
        return self

    # Clients -----------------------------------------------------------------------------------------

    def start_request(
        self, path: str, relay: str = "", body: bytes = b"", method: str = "POST", request_id: str = "", **fields: str
    ) -> tuple[ClientResponse, ClientConnection]:
        """Send a client's request. Header fields are given by name, with underscores for hyphens."""
        request_id = request_id or f"r{self._request_number()}"
        head = [(b"host", HOST.encode()), (b"lynxscale-request-id", request_id.encode())]
        head += [(name.replace("_", "-").encode(), value.encode()) for name, value in fields.items()]
        if "lynxscale_deadline_ms" not in fields:
            head.append((b"lynxscale-deadline-ms", b"4000"))
        request = Request(method, path, Head(tuple(head)), body)
        host = relay or self.relay_hosts[0]
        return send_request(self.world, self.tcp, f"{host}:{FRONTEND_PORT}", request)

    def request(self, path: str, within: float = 6.0, **options: str) -> ClientResponse:
        """Send a client's request and wait for the end of its response."""
        response, _ = self.start_request(path, **options)
        assert self.world.run_until(lambda: response.ended, within), "the response did not end in time"
        return response

    def turn(
        self, program: str, budget: int, max_tokens: int = 40, path: str = "/kept/stream", **options: str
    ) -> ClientResponse:
        """Run one turn of a program that generates at most ``max_tokens``."""
        tokens = f"100,{max_tokens}"
        return self.request(path, program=program, budget=str(budget), lynxscale_token_count=tokens, **options)
