"""Load generation: messages drawn from a seed, sent over several connections at a given rate."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from lab.rules import SentMessage

CLASSES = (
    ("aviso-ronda", "idempotent", 3000.0, 16000.0, 1.0, 0.4, 0.55),
    ("inscripcion", "deduplicated", 3000.0, 28000.0, 1.0, 0.5, 0.26),
    ("pago-premio", "at_most_once", 2000.0, 28000.0, 3.0, 0.3, 0.19),
)
TENANTS = ("club-donostia", "club-oviedo", "club-santander")


async def read_head(reader: asyncio.StreamReader) -> bytes:
    """Read a request or response and return its head; empty at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return b""
    size = head.lower().partition(b"content-length:")[2].split()
    if size:
        await reader.readexactly(int(size[0]))
    return head


@dataclass
class LoadGenerator:
    """A client that sends messages. ``sent`` has each message with the status of its response."""

    port: int
    seed: int = 1
    destinations: int = 16
    connections: int = 24
    left: float | None = None  # seconds until a message's deadline; None: its class's deadline less 0.1 s
    sent: dict[str, SentMessage] = field(default_factory=dict)

    def message(self, number: int) -> tuple[str, str, bytes]:
        """The id, class and request of a message; they depend only on the seed and the number."""
        rng = random.Random(f"{self.seed} {number}")
        message_class = rng.choices(CLASSES, [row[-1] for row in CLASSES])[0]
        body = bytes(rng.randrange(100, 300))
        tenant = rng.choices(TENANTS, (40, 36, 24))[0]
        id_ = f"{rng.getrandbits(64):016x}"
        left = message_class[3] / 1000 - 0.1 if self.left is None else self.left
        return (
            id_,
            message_class[0],
            (
                f"POST /api HTTP/1.1\r\nHost: x\r\nReq-Id: {id_}\r\nReq-Kind: {message_class[0]}\r\n"
                f"Req-Owner: {tenant}\r\nReq-Deadline: {left:.3f}\r\n"
                f"Idempotency-Key: {rng.getrandbits(128):032x}\r\n"
                f"X-Envelope: dest={rng.randrange(self.destinations)}\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body,
        )

    async def run(self, numbers: Iterable[int], rate: float) -> None:
        """Send these messages at ``rate`` per second; returns when each was answered or lost its connection."""
        loop, queue = asyncio.get_running_loop(), asyncio.Queue()
        clients = [asyncio.create_task(self._client(queue)) for _ in range(self.connections)]
        started_at = loop.time()
        for index, number in enumerate(numbers):
            await asyncio.sleep(max(0.0, started_at + index / rate - loop.time()))
            queue.put_nowait(self.message(number))
        for _ in clients:
            queue.put_nowait(None)
        await asyncio.gather(*clients)

    async def _client(self, queue: asyncio.Queue) -> None:
        reader = writer = None
        while (request := await queue.get()) is not None:
            id_, cls, data = request
            sent = self.sent[id_] = SentMessage(cls)
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(data)
                status_line = (await read_head(reader)).split()
                sent.status = int(status_line[1]) if len(status_line) > 1 else 0
            except (OSError, asyncio.IncompleteReadError):
                pass
            if not sent.status:
                writer = None
        if writer is not None:
            writer.close()
