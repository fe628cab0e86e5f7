"""A stand-in for a partner system: endpoints that answer late, reject or fail calls, and a record of all calls.

``lab.rules`` checks runs by this record: each call with its time, and whether it took effect.
"""

from __future__ import annotations

import asyncio
import random
import time
from dataclasses import dataclass, field

OK = b"HTTP/1.1 200 X\r\nSrv-Load: x0=%.3f,x1=500\r\nContent-Length: 0\r\n\r\n"


@dataclass(slots=True)
class Call:
    """A call that was received completely. ``effect``: the partner executed it."""

    at: float  # monotonic seconds, when its first byte arrived
    endpoint: str
    id: str
    key: str
    effect: bool
    status: int


@dataclass
class EndpointBehaviour:
    """How an endpoint behaves. Shares are of its calls."""

    latency_ms: float = 20.0  # median
    failing: float = 0.0  # answered 500 after the effect
    refusing: float = 0.0  # answered 429, without an effect
    wait_s: float = 0.05  # Retry-After of a rejection; 0: no such header
    dropping: float = 0.0  # the connection closes after the effect, without an answer


@dataclass
class Partner:
    """Endpoints by name, on ephemeral ports. ``key_ttl_s``: how long an idempotency key is remembered; a call with a
    known key is answered 200 and has no further effect."""

    seed: int = 1
    key_ttl_s: float = 7.5
    behaviour: EndpointBehaviour = field(default_factory=EndpointBehaviour)
    behaviours: dict[str, EndpointBehaviour] = field(default_factory=dict)  # by endpoint, where it differs
    calls: list[Call] = field(default_factory=list)
    addresses: dict[str, tuple[str, int]] = field(default_factory=dict)
    _servers: dict[str, asyncio.Server] = field(default_factory=dict)
    _keys: dict[str, float] = field(default_factory=dict)
    _writers: dict[str, set] = field(default_factory=dict)

    async def open(self, name: str) -> tuple[str, int]:
        """Start to listen as this endpoint; returns its address."""
        rng = random.Random(f"{self.seed} {name}")

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            writers = self._writers.setdefault(name, set())
            writers.add(writer)
            try:
                await self._serve(name, rng, reader, writer)
            except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass  # cancelled at the end of the loop: nobody awaits it, and its traceback would look like a failure
            finally:
                writers.discard(writer)
                writer.close()

        server = self._servers[name] = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addresses[name] = server.sockets[0].getsockname()[:2]
        return self.addresses[name]

    def connections(self, name: str) -> int:
        """The number of open connections of an endpoint."""
        return len(self._writers.get(name, ()))

    def close(self, name: str) -> None:
        """Stop to listen as an endpoint, and close its connections."""
        self._servers.pop(name).close()
        for writer in list(self._writers.get(name, ())):
            writer.close()

    def close_all(self) -> None:
        for name in list(self._servers):
            self.close(name)

    async def _serve(
        self, name: str, rng: random.Random, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
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
                writer.write(OK % rng.random())
                continue
            behaviour, draw = self.behaviours.get(name, self.behaviour), rng.random()
            call = Call(at, name, headers.get("req-id", ""), headers.get("idempotency-key", ""), False, 200)
            self.calls.append(call)
            if draw < behaviour.refusing:
                call.status = 429
                retry_after = f"Retry-After: {behaviour.wait_s:.3f}\r\n" if behaviour.wait_s else ""
                writer.write(f"HTTP/1.1 429 X\r\n{retry_after}Content-Length: 0\r\n\r\n".encode())
                continue
            call.effect = not self._known(call)
            await asyncio.sleep(behaviour.latency_ms / 1000 * rng.lognormvariate(0, 0.4))
            draw -= behaviour.refusing
            if draw < behaviour.failing:
                call.status = 500
                writer.write(b"HTTP/1.1 500 X\r\nContent-Length: 0\r\n\r\n")
            elif draw < behaviour.failing + behaviour.dropping:
                call.status = 0
                return
            else:
                writer.write(OK % rng.random())

    def _known(self, call: Call) -> bool:
        if not call.key:
            return False
        known = call.at - self._keys.get(call.key, -1e9) <= self.key_ttl_s
        if not known:
            self._keys[call.key] = call.at
        return known
