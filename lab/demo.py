"""The demo: one relay from the deployed configuration, a partner that has a bad quarter of an hour in ten seconds."""

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

from lab.clients import Desk
from lab.partner import Mood, Partner
from lab.rules import Judged, judge
from lab.standins import hold_port, port_of
from lynxscale.relay.upstream import files
from lynxscale.relay.upstream.model import Endpoint
from lynxscale.scheduling.events import Lifecycle

ROOT = Path(__file__).parent.parent
CONF = ROOT / "deploy" / "lynxscale.conf"
ENDPOINTS, DESTINATIONS = 6, 3
START_WITHIN, END_WITHIN = 20.0, 35.0
GOOD = Mood(latency_ms=20)
# Seconds into the run, what is told, and the partner's mood from then on.
SCENES = (
    (1.5, "the partner slows down tenfold", Mood(latency_ms=200)),
    (3.5, "it recovers, and refuses a third of the calls", Mood(latency_ms=20, refusing=0.33, wait_s=0.1)),
    (5.0, "it recovers, and fails or drops one call in ten", Mood(latency_ms=20, failing=0.05, dropping=0.05)),
    (6.5, "it recovers", GOOD),
)


class Own:
    """A relay without the platform, in a folder, from a configuration file whose address alone is another one.

    ``program``: what Python runs.
    """

    program: tuple[str, ...] = ("-m", "lynxscale")

    def __init__(self, folder: Path, conf: str) -> None:
        self.folder, self.lists, self.log = folder, folder / "lists", folder / "log"
        self.lists.mkdir(exist_ok=True)
        # Its own until ``close``, also while it does not run: another process there would pass for it.
        self._held = [hold_port()]
        self.port = port_of(self._held[0])
        self.conf = folder / "lynxscale.conf"
        self.conf.write_text(re.sub(r"(?m)^(\s*listen) .*$", rf"\1 127.0.0.1:{self.port}", conf))
        self.process: asyncio.subprocess.Process | None = None

    def close(self) -> None:
        """Let go of what it has held since it was made."""
        for held in self._held:
            held.close()

    async def spawn(self) -> None:
        """Begin a process, ready or not."""
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
        """Ready to serve when this returns."""
        await self.spawn()
        end = time.monotonic() + START_WITHIN
        while not await self._ready():
            if self.process.returncode is not None or time.monotonic() > end:
                raise RuntimeError(f"the relay did not start: {self.log.read_text()[-2000:]}")
            await asyncio.sleep(0.02)

    async def _ready(self) -> bool:
        try:
            return b" 200 " in (await self.get("/_health"))[0]
        except (OSError, asyncio.IncompleteReadError):
            # A relay that was not scheduled for two seconds closes connections that brought no request meanwhile.
            return False

    async def get(self, path: str) -> tuple[bytes, bytes]:
        """Head and body of an answer."""
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

    async def stop(self, how: int = signal.SIGTERM) -> int:
        """Its exit code."""
        assert self.process is not None
        if self.process.returncode is None:
            self.process.send_signal(how)
        return await self.process.wait()

    def put(self, entries: list[Endpoint], generation: int, name: str = "partner.list") -> float:
        """Write a list as an operator would; the moment at which it was there."""
        new = self.folder / f"{name}.new"
        new.write_bytes(files.write(entries, generation))
        os.replace(new, self.lists / name)
        return time.monotonic()

    def finals(self) -> dict[str, list[str]]:
        """What was told in the end, by message."""
        found: dict[str, list[str]] = {}
        for path in sorted((self.folder / "state").glob("finals.jsonl*")):
            for line in path.read_bytes().splitlines():
                row = orjson.loads(line)
                found.setdefault(row["id"], []).append(row["status"])
        return found

    async def settled(self, taken: int, within: float = END_WITHIN) -> None:
        """Wait until as many messages have ended, or that time is over."""
        end = time.monotonic() + within
        while time.monotonic() < end:
            if sum((await self.counters()).get("ends", {}).values()) >= taken:
                return
            await asyncio.sleep(0.05)


def entries_of(partner: Partner, draining: str | None = None) -> list[Endpoint]:
    """The partner's endpoints as a list has them."""
    return [
        Endpoint(
            name,
            at,
            place % DESTINATIONS,
            "a",
            "club-reservas",
            Lifecycle.DRAINING if name == draining else Lifecycle.READY,
            60.0,
        )
        for place, (name, at) in enumerate(partner.addresses.items())
    ]


async def play(folder: Path, messages: int, seed: int, say: Callable[[str], None]) -> Judged:
    """Play it; what became of each class."""
    partner, relay = Partner(seed, mood=GOOD), Own(folder, CONF.read_text())
    for place in range(ENDPOINTS):
        await partner.open(f"s-{place:02}")
    relay.put(entries_of(partner), 1)
    await relay.start()
    desk = Desk(relay.port, seed, DESTINATIONS, left=12.0)
    drained: dict[str, float] = {}
    begun = time.monotonic()

    async def scenes() -> None:
        for at, what, mood in SCENES:
            await asyncio.sleep(max(0.0, begun + at - time.monotonic()))
            say(f"{at:4.1f} s  {what}")
            partner.mood = mood
            if mood is SCENES[1][2]:
                drained["s-00"] = relay.put(entries_of(partner, "s-00"), 2)
                say(f"{at:4.1f} s  s-00 is drained by a new list")
        (relay.lists / "partner.list").write_text("list 1 generation 3\nendpoint s-00 nowhere\nend 1\n")
        say(f"{SCENES[-1][0]:4.1f} s  a list with a mistake is written; it is rejected whole")

    try:
        say(f" 0.0 s  {messages} messages to {DESTINATIONS} destinations with {ENDPOINTS} endpoints, seed {seed}")
        await asyncio.gather(scenes(), desk.run(range(messages), messages / 8))
        await relay.settled(sum(one.status == 202 for one in desk.sent.values()))
        rejected = (await relay.counters()).get("lists", {}).get("rejected", 0)
    finally:
        await relay.stop()
        relay.close()
        partner.close_all()
    judged = judge(desk.sent, partner.calls, relay.finals(), drained=drained)
    if not rejected:
        judged.breaches.append("the list with a mistake was not rejected")
    return judged
