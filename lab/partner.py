"""A partner system as a stand-in: endpoints that answer late, refuse, fail or ask for rest, and what they received.

Its record is what the rules are judged by: every call with its time, whole or not, and whether it took effect.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

OK = b"HTTP/1.1 200 X\r\nSrv-Load: x0=%.3f,x1=500\r\nContent-Length: 0\r\n\r\n"


@dataclass(slots=True)
class Call:
    """One call that came in whole. ``effect``: the partner did what it asks for."""

    at: float  # monotonic seconds, of its first byte
    endpoint: str
    id: str
    key: str
    effect: bool
    status: int


@dataclass
class Mood:
    """How an endpoint behaves; all shares are of its calls."""

    latency_ms: float = 20.0  # median
    failing: float = 0.0  # answered 500 after the effect
    refusing: float = 0.0  # answered 429, without an effect
    wait_s: float = 0.05  # told with a refusal; 0: nothing is told
    dropping: float = 0.0  # the connection closes after the effect, without an answer


@dataclass
class Partner:
    """Endpoints on ports of the system, by name. ``span``: seconds for which a key is remembered; a call under a known
    key is answered 200 without another effect."""

    seed: int = 1
    span: float = 7.5
    mood: Mood = field(default_factory=Mood)
    moods: dict[str, Mood] = field(default_factory=dict)  # of endpoints that differ
    calls: list[Call] = field(default_factory=list)
    addresses: dict[str, tuple[str, int]] = field(default_factory=dict)
    _servers: dict[str, asyncio.Server] = field(default_factory=dict)
    _keys: dict[str, float] = field(default_factory=dict)
    _writers: dict[str, set] = field(default_factory=dict)

    async def open(self, name: str) -> tuple[str, int]:
        """Begin to listen as this endpoint; its address."""
        chance = random.Random(f"{self.seed} {name}")

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers = self._writers.setdefault(name, set())
            writers.add(writer)
            try:
                await self._serve(name, chance, reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass  # cancelled as the loop ends: nobody waits for it, and its trace would pass for a fault
            finally:
                writers.discard(writer)
                writer.close()

        server = self._servers[name] = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addresses[name] = server.sockets[0].getsockname()[:2]
        return self.addresses[name]

    def connections(self, name: str) -> int:
        """How many are open there."""
        return len(self._writers.get(name, ()))

    def close(self, name: str) -> None:
        """Listen no more, and end the connections."""
        self._servers.pop(name).close()
        for writer in list(self._writers.get(name, ())):
            writer.close()

    def close_all(self) -> None:
        for name in list(self._servers):
            self.close(name)

    async def _serve(
        self, name: str, chance: random.Random, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            first = await reader.read(1)
            if not first:
                return
            at = time.monotonic()
            head = (first + await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
            lines = head.split("\r\n")
            headers = {key.lower(): value.strip() for key, _, value in (line.partition(":") for line in lines[1:])}
            await reader.readexactly(int(headers.get("content-length", 0)))
            if not lines[0].startswith("POST"):
                writer.write(OK % chance.random())
                continue
            mood, draw = self.moods.get(name, self.mood), chance.random()
            call = Call(at, name, headers.get("req-id", ""), headers.get("idempotency-key", ""), False, 200)
            self.calls.append(call)
            if draw < mood.refusing:
                call.status = 429
                rest = f"Retry-After: {mood.wait_s:.3f}\r\n" if mood.wait_s else ""
                writer.write(f"HTTP/1.1 429 X\r\n{rest}Content-Length: 0\r\n\r\n".encode())
                continue
            call.effect = not self._known(call)
            await asyncio.sleep(mood.latency_ms / 1000 * chance.lognormvariate(0, 0.4))
            draw -= mood.refusing
            if draw < mood.failing:
                call.status = 500
                writer.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
            elif draw < mood.failing + mood.dropping:
                call.status = 0
                return
            else:
                writer.write(OK % chance.random())

    def _known(self, call: Call) -> bool:
        if not call.key:
            return False
        known = call.at - self._keys.get(call.key, -1e9) <= self.span
        if not known:
            self._keys[call.key] = call.at
        return known
