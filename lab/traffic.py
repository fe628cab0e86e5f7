"""Runs one relay as a child process between stand-ins for clients, endpoints and discovery, and measures it.

Load is open-loop: messages are sent at a fixed rate, whatever the responses. Everything is seeded; CPU time and memory
of the relay are the kernel's figures.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import orjson

from lab.clients import CLASSES, TENANTS, LoadGenerator, read_head
from lab.partner import EndpointBehaviour, Partner

ROOT = Path(__file__).parent.parent
START_TIMEOUT_S = 20.0


def settings(slots: int = 64, most_held: int = 400) -> dict:
    """Settings of one relay, in the form in which the platform provides them."""
    return {
        "allowed": {
            "attempts_cap": 12,
            "cancel": True,
            "idle_close_ms": 15000.0,
            "dial_timeout_ms": 1500.0,
            "max_retry_after_ms": 3000.0,
            "retry_after": True,
            "most_held": most_held,
        },
        "balancers": 2,
        "me": 0,
        "kinds": ["club-reservas", "pasarela-pago"],
        "zones": ["a"],
        "membership_mode": "ask",
        "family_info": {"max_calls": slots, "per_call": [1, 1], "routes_apart": [False, False]},
        "grades": [
            {
                "name": name,
                "effect": effect,
                "goal_time_ms": goal,
                "deadline_ms": deadline,
                "value": value,
                "late_worth": late,
                "memory_span_ms": 7500.0,
                "group": "all",
            }
            for name, effect, goal, deadline, value, late, _share in CLASSES
        ],
        "load_info": {"columns": ["x0", "x1"], "source": "inline"},
        "weight_source": "nominal",
        "obligations": {
            "cold_share": 0.21,
            "ramp_time_ms": 9200.0,
            "tip_multiple": 2.0,
            "tip_after_ms": 3000.0,
            "ask_within_ms": 10000.0,
        },
        "orgs": [{"name": name} for name in TENANTS],
    }


@dataclass
class Load:
    """The load on the relay and the behaviour of its endpoints."""

    messages: int = 2000
    rate: float = 200.0  # messages per second
    seed: int = 1
    destinations: int = 16
    latency_ms: float = 20.0  # median latency of an endpoint
    failing: float = 0.02  # share of calls answered 500, and likewise 429 with Retry-After
    connections: int = 24


@dataclass
class Outcome:
    taken: int = 0
    rejected: int = 0
    cpu: float = 0.0  # CPU seconds of the relay, user and system
    peak_kb: int = 0
    ends: dict = field(default_factory=dict)


def usage(pid: int, memory: str) -> tuple[float, int]:
    """CPU seconds of a process so far, and its memory (kB) from the row ``memory`` of /proc/PID/status."""
    spent = int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])
    status = Path(f"/proc/{pid}/status").read_text()
    return spent / 1e9, next(int(line.split()[1]) for line in status.splitlines() if line.startswith(memory))


class RelayUnderLoad:
    """A relay process and the stand-ins around it. Used by ``async with``."""

    def __init__(self, folder: Path, load: Load, conf: str | None = None) -> None:
        self.folder, self.load, self.conf = folder, load, conf
        self.servers: list[asyncio.Server] = []
        self.process: asyncio.subprocess.Process | None = None
        self.port = 0
        self.version = 1
        self.rows: list[dict] = []
        self.closing = asyncio.Event()

    async def __aenter__(self) -> RelayUnderLoad:
        load = self.load
        self.partner = Partner(load.seed, behaviour=EndpointBehaviour(load.latency_ms, load.failing, load.failing))
        at = "{}:{}".format(*await self.partner.open("all"))
        self.discovery = await self._serve(self._serve_discovery)
        self.rows = [
            {
                "instanceId": f"s-{k:04x}",
                "hostPort": at,
                "zone": "a",
                "machineType": ("club-reservas", "pasarela-pago")[k % 2],
                "cell": k % self.load.destinations,
                "lifecycle": "ready",
                "weight": 500.0,
                "startedAtMs": 0,
            }
            for k in range(self.load.destinations * 2)
        ]
        (self.folder / "state").mkdir(exist_ok=True)
        with socket.socket() as held:
            held.bind(("127.0.0.1", 0))
            self.port = held.getsockname()[1]
        (self.folder / "node.json").write_bytes(
            orjson.dumps(
                {
                    "name": "lab",
                    "seed": f"{self.load.seed:x}",
                    "limits": {"sockets": 512, "disk_mb": 64},
                    "settings": settings(),
                    "known": {"generation": 1, "reset": True, "instances": self.rows},
                }
            )
        )
        await self.start()
        return self

    async def start(self) -> None:
        """Start the relay, also after ``kill``, and wait until it is ready."""
        env = os.environ | {
            "NODE_CONFIG": str(self.folder / "node.json"),
            "NODE_STATE": str(self.folder / "state"),
            "NODE_LISTEN": f"127.0.0.1:{self.port}",
            "NODE_DISCOVERY": self.discovery,
        }
        if self.conf:
            env["LYNXSCALE_CONF"] = self.conf
        with open(self.folder / "log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "lynxscale", cwd=ROOT, env=env, stdout=log, stderr=log
            )
        end = asyncio.get_running_loop().time() + START_TIMEOUT_S
        while not await self._ready():
            if self.process.returncode is not None or asyncio.get_running_loop().time() > end:
                raise RuntimeError(f"the relay did not start: {(self.folder / 'log').read_text()[-2000:]}")
            await asyncio.sleep(0.01)

    async def _ready(self) -> bool:
        try:
            reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        except OSError:
            return False
        writer.write(b"GET /_health HTTP/1.1\r\n\r\n")
        line = await reader.readline()
        writer.close()
        return line.split()[1:2] == [b"200"]

    async def __aexit__(self, *_: object) -> None:
        self.closing.set()
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.partner.close_all()
        for server in self.servers:
            server.close()

    async def stop(self) -> None:
        assert self.process is not None
        self.process.send_signal(signal.SIGTERM)
        await self.process.wait()

    async def kill(self) -> None:
        assert self.process is not None
        self.process.kill()
        await self.process.wait()

    def usage(self) -> tuple[float, int]:
        """CPU seconds and peak memory (kB) of the relay so far."""
        assert self.process is not None
        return usage(self.process.pid, "VmHWM")

    # Stand-ins -----------------------------------------------------------------------------------

    async def _serve(self, act) -> str:
        server = await asyncio.start_server(act, "127.0.0.1", 0)
        self.servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve_discovery(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while request := await read_head(reader):
                if request.startswith(b"POST"):
                    writer.write(b"HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n")
                    continue
                whole = b"after=" not in request
                if b"wait_ms=10000" in request:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.closing.wait(), 2)
                rows = self.rows if whole else []
                body = orjson.dumps({"generation": self.version, "reset": whole, "instances": rows})
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    # Load ----------------------------------------------------------------------------------------

    async def run(self, outcome: Outcome, first: int = 0) -> None:
        """Send the messages of the load, numbered from ``first``."""
        load = self.load
        generator = LoadGenerator(self.port, load.seed, load.destinations, load.connections)
        await generator.run(range(first, first + load.messages), load.rate)
        taken = sum(one.status == 202 for one in generator.sent.values())
        outcome.taken += taken
        outcome.rejected += len(generator.sent) - taken

    async def counters(self) -> dict:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"GET /_counters HTTP/1.1\r\n\r\n")
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        size = int(head.partition(b"content-length:")[2].split()[0])
        table = orjson.loads(await reader.readexactly(size))
        writer.close()
        return table

    async def settled(self, taken: int) -> dict:
        """Wait until that many messages have ended; returns the counters."""
        while True:
            table = await self.counters()
            if sum(table.get("ends", {}).values()) >= taken:
                return table
            await asyncio.sleep(0.05)


def one_run(load: Load, conf: str | None, folder: Path) -> Outcome:
    """Start a relay, run one load until its last message has ended, and stop the relay."""

    async def run() -> Outcome:
        outcome = Outcome()
        async with RelayUnderLoad(folder, load, conf) as relay:
            before, _peak = relay.usage()
            await relay.run(outcome)
            outcome.ends = (await asyncio.wait_for(relay.settled(outcome.taken), 60)).get("ends", {})
            outcome.cpu, outcome.peak_kb = relay.usage()
            outcome.cpu -= before
            await relay.stop()
        return outcome

    return asyncio.run(run())


def with_trace(folder: Path, level: str | None, **more: str) -> str | None:
    """Write a configuration file with a trace of that level; None without a level."""
    if level is None:
        return None
    lines = [f"    {name.replace('_', '-')} {value}" for name, value in more.items()]
    path = folder / "lynxscale.conf"
    path.write_text(
        "\n".join(["begin trace", f"    folder '{folder / 'trace'}'", f"    level {level}", *lines, "end trace", ""])
    )
    return str(path)


def fresh_folder() -> tempfile.TemporaryDirectory:
    return tempfile.TemporaryDirectory(prefix="lynxscale-lab-")
