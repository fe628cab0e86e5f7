"""The demo: one relay with the deployed configuration, and a partner that slows down, rejects and fails calls."""

from __future__ import annotations

import asyncio
import os
import re
import signal
import sys
import time
from collections.abc import Callable
from pathlib import Path

import orjson

from lab.clients import LoadGenerator
from lab.partner import EndpointBehaviour, Partner
from lab.rules import RuleReport, check_rules
from lab.standins import hold_port, port_of
from lynxscale.relay.upstream import files
from lynxscale.relay.upstream.model import Endpoint
from lynxscale.scheduling.events import Lifecycle

ROOT = Path(__file__).parent.parent
CONF = ROOT / "deploy" / "lynxscale.conf"
ENDPOINTS, DESTINATIONS = 6, 3
START_TIMEOUT_S, END_TIMEOUT_S = 20.0, 35.0
NORMAL = EndpointBehaviour(latency_ms=20)
# Seconds into the run, the line that is printed, and the partner's behaviour from then on.
PHASES = (
    (1.5, "the partner slows down tenfold", EndpointBehaviour(latency_ms=200)),
    (3.5, "it recovers, and refuses a third of the calls", EndpointBehaviour(latency_ms=20, refusing=0.33, wait_s=0.1)),
    (
        5.0,
        "it recovers, and fails or drops one call in ten",
        EndpointBehaviour(latency_ms=20, failing=0.05, dropping=0.05),
    ),
    (6.5, "it recovers", NORMAL),
)


class StandaloneRelay:
    """A relay process with a folder of its own and a given configuration; only the listen address is replaced.

    ``program``: the arguments of Python that run it.
    """

    program: tuple[str, ...] = ("-m", "lynxscale")

    def __init__(self, folder: Path, conf: str) -> None:
        self.folder, self.lists, self.log = folder, folder / "lists", folder / "log"
        self.lists.mkdir(exist_ok=True)
        # Reserved until ``close``, also while the relay doesn't run: tests would take another process there for it.
        self._reserved_sockets = [hold_port()]
        self.port = port_of(self._reserved_sockets[0])
        self.conf = folder / "lynxscale.conf"
        self.conf.write_text(re.sub(r"(?m)^(\s*listen) .*$", rf"\1 127.0.0.1:{self.port}", conf))
        self.process: asyncio.subprocess.Process | None = None

    def close(self) -> None:
        """Release the reserved ports."""
        for reserved_socket in self._reserved_sockets:
            reserved_socket.close()

    async def spawn(self) -> None:
        """Start the process without waiting until it is ready."""
        with open(self.log, "ab") as log:
            env = {key: value for key, value in os.environ.items() if not key.startswith(("NODE_", "LYNXSCALE_"))}
            env["PYTHONPATH"] = str(ROOT)
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                *self.program,
                "run",
                "--conf",
                str(self.conf),
                cwd=self.folder,
                env=env,
                stdout=log,
                stderr=log,
            )

    async def start(self) -> None:
        """Start the process and wait until it is ready to serve."""
        await self.spawn()
        end = time.monotonic() + START_TIMEOUT_S
        while not await self._ready():
            if self.process.returncode is not None or time.monotonic() > end:
                raise RuntimeError(f"the relay did not start: {self.log.read_text()[-2000:]}")
            await asyncio.sleep(0.02)

    async def _ready(self) -> bool:
        try:
            return b" 200 " in (await self.get("/_health"))[0]
        except (OSError, asyncio.IncompleteReadError):
            # A relay that wasn't scheduled for two seconds closes connections on which no request had arrived.
            return False

    async def get(self, path: str) -> tuple[bytes, bytes]:
        """Head and body of a response."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        try:
            writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            head = await reader.readuntil(b"\r\n\r\n")
            size = head.lower().partition(b"content-length:")[2].split()
            return head, await reader.readexactly(int(size[0])) if size else b""
        finally:
            writer.close()

    async def counters(self) -> dict:
        return orjson.loads((await self.get("/_counters"))[1])

    async def stop(self, signal_number: int = signal.SIGTERM) -> int:
        """Send the signal and wait; returns the exit code."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(signal_number)
        return await self.process.wait()

    def put(self, entries: list[Endpoint], generation: int, name: str = "partner.list") -> float:
        """Replace a list as an operator would; returns the time at which it was in place."""
        new = self.folder / f"{name}.new"
        new.write_bytes(files.write(entries, generation))
        os.replace(new, self.lists / name)
        return time.monotonic()

    def finals(self) -> dict[str, list[str]]:
        """The final statuses that were written, by message id."""
        found: dict[str, list[str]] = {}
        for path in sorted((self.folder / "state").glob("finals.jsonl*")):
            for line in path.read_bytes().splitlines():
                row = orjson.loads(line)
                found.setdefault(row["id"], []).append(row["status"])
        return found

    async def settled(self, taken: int, timeout_s: float = END_TIMEOUT_S) -> None:
        """Wait until that many messages have ended, or for the timeout."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            if sum((await self.counters()).get("ends", {}).values()) >= taken:
                return
            await asyncio.sleep(0.05)


def entries_of(partner: Partner, draining: str | None = None) -> list[Endpoint]:
    """List entries for the partner's endpoints."""
    return [
        Endpoint(
            name,
            at,
            index % DESTINATIONS,
            "a",
            "club-reservas",
            Lifecycle.DRAINING if name == draining else Lifecycle.READY,
            60.0,
        )
        for index, (name, at) in enumerate(partner.addresses.items())
    ]


async def play(folder: Path, messages: int, seed: int, say: Callable[[str], None]) -> RuleReport:
    """Run the demo; the outcomes by class, and all violations of rules."""
    partner, relay = Partner(seed, behaviour=NORMAL), StandaloneRelay(folder, CONF.read_text())
    for index in range(ENDPOINTS):
        await partner.open(f"s-{index:02}")
    relay.put(entries_of(partner), 1)
    await relay.start()
    generator = LoadGenerator(relay.port, seed, DESTINATIONS, left=12.0)
    drained: dict[str, float] = {}
    started_at = time.monotonic()

    async def phases() -> None:
        for at, what, behaviour in PHASES:
            await asyncio.sleep(max(0.0, started_at + at - time.monotonic()))
            say(f"{at:4.1f} s  {what}")
            partner.behaviour = behaviour
            if behaviour is PHASES[1][2]:
                drained["s-00"] = relay.put(entries_of(partner, "s-00"), 2)
                say(f"{at:4.1f} s  s-00 is drained by a new list")
        (relay.lists / "partner.list").write_text("list 1 generation 3\nendpoint s-00 nowhere\nend 1\n")
        say(f"{PHASES[-1][0]:4.1f} s  a list with a mistake is written; it is rejected whole")

    try:
        say(f" 0.0 s  {messages} messages to {DESTINATIONS} destinations with {ENDPOINTS} endpoints, seed {seed}")
        await asyncio.gather(phases(), generator.run(range(messages), messages / 8))
        await relay.settled(sum(one.status == 202 for one in generator.sent.values()))
        rejected = (await relay.counters()).get("lists", {}).get("rejected", 0)
    finally:
        await relay.stop()
        relay.close()
        partner.close_all()
    report = check_rules(generator.sent, partner.calls, relay.finals(), drained=drained)
    if not rejected:
        report.breaches.append("the list with a mistake was not rejected")
    return report
