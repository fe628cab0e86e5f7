"""One relay as a child process between stand-ins of all that it talks to: clients, endpoints, discovery.

Load is open-loop: messages come at a rate, whatever becomes of them. Everything is seeded; the relay's CPU and memory
are the kernel's figures.
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

from lab.clients import CLASSES, TENANTS, Desk, request_of
from lab.partner import Mood, Partner

ROOT = Path(__file__).parent.parent
START_WITHIN = 20.0


def settings(slots: int = 64, most_held: int = 400) -> dict:
    """The settings of one relay of this deployment, as the platform tells them."""
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
                "goal_time_ms": aim,
                "deadline_ms": deadline,
                "value": worth,
                "late_worth": late,
                "memory_span_ms": 7500.0,
                "group": "all",
            }
            for name, effect, aim, deadline, worth, late, _share in CLASSES
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
    """What is asked of the relay."""

    messages: int = 2000
    rate: float = 200.0  # a second
    seed: int = 1
    destinations: int = 16
    latency_ms: float = 20.0  # median of an endpoint's answer
    failing: float = 0.02  # share of calls that answer 500, and as many 429 with a wait
    connections: int = 24


@dataclass
class Outcome:
    taken: int = 0
    rejected: int = 0
    cpu: float = 0.0  # seconds of the relay, in user and system
    peak_kb: int = 0
    ends: dict = field(default_factory=dict)


def usage(pid: int, memory: str) -> tuple[float, int]:
    """CPU seconds of a process so far, and its memory (kB) by that row of its status."""
    spent = int(Path(f"/proc/{pid}/schedstat").read_text().split()[0])
    status = Path(f"/proc/{pid}/status").read_text()
    return spent / 1e9, next(int(line.split()[1]) for line in status.splitlines() if line.startswith(memory))


class Stage:
    """The stand-ins, and the relay between them. Used by ``async with``."""

    def __init__(self, folder: Path, load: Load, conf: str | None = None) -> None:
        self.folder, self.load, self.conf = folder, load, conf
        self.servers: list[asyncio.Server] = []
        self.process: asyncio.subprocess.Process | None = None
        self.port = 0
        self.version = 1
        self.rows: list[dict] = []
        self.ending = asyncio.Event()

    async def __aenter__(self) -> Stage:
        load = self.load
        self.partner = Partner(load.seed, mood=Mood(load.latency_ms, load.failing, load.failing))
        at = "{}:{}".format(*await self.partner.open("all"))
        self.discovery = await self._serve(self._directory)
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
        """Start the relay, or start it again after ``kill``; ready when this returns."""
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
        end = asyncio.get_running_loop().time() + START_WITHIN
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
        self.ending.set()
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

    async def _directory(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while request := await request_of(reader):
                if request.startswith(b"POST"):
                    writer.write(b"HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n")
                    continue
                whole = b"after=" not in request
                if b"wait_ms=10000" in request:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.ending.wait(), 2)
                rows = self.rows if whole else []
                body = orjson.dumps({"generation": self.version, "reset": whole, "instances": rows})
                writer.write(b"HTTP/1.1 200 X\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    # Load ----------------------------------------------------------------------------------------

    async def run(self, outcome: Outcome, first: int = 0) -> None:
        """Hand in the load's messages, numbered from ``first``."""
        load = self.load
        desk = Desk(self.port, load.seed, load.destinations, load.connections)
        await desk.run(range(first, first + load.messages), load.rate)
        taken = sum(one.status == 202 for one in desk.sent.values())
        outcome.taken += taken
        outcome.rejected += len(desk.sent) - taken

    async def counters(self) -> dict:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        writer.write(b"GET /_counters HTTP/1.1\r\n\r\n")
        head = (await reader.readuntil(b"\r\n\r\n")).lower()
        size = int(head.partition(b"content-length:")[2].split()[0])
        table = orjson.loads(await reader.readexactly(size))
        writer.close()
        return table

    async def settled(self, taken: int) -> dict:
        """The counters, once as many messages have ended."""
        while True:
            table = await self.counters()
            if sum(table.get("ends", {}).values()) >= taken:
                return table
            await asyncio.sleep(0.05)


def one_run(load: Load, conf: str | None, folder: Path) -> Outcome:
    """One relay, one load, from a cold start to its last end."""

    async def run() -> Outcome:
        outcome = Outcome()
        async with Stage(folder, load, conf) as stage:
            before, _peak = stage.usage()
            await stage.run(outcome)
            outcome.ends = (await asyncio.wait_for(stage.settled(outcome.taken), 60)).get("ends", {})
            outcome.cpu, outcome.peak_kb = stage.usage()
            outcome.cpu -= before
            await stage.stop()
        return outcome

    return asyncio.run(run())


def with_trace(folder: Path, level: str | None, **more: str) -> str | None:
    """A configuration file that records at that level; None for none."""
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
