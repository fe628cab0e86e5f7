"""Tournament desks as stand-ins: messages drawn from a seed, handed in over some connections at a rate."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Iterable
from dataclasses import dataclass, field

from lab.rules import Sent

CLASSES = (
    ("aviso-ronda", "idempotent", 3000.0, 16000.0, 1.0, 0.4, 0.55),
    ("inscripcion", "deduplicated", 3000.0, 28000.0, 1.0, 0.5, 0.26),
    ("pago-premio", "at_most_once", 2000.0, 28000.0, 3.0, 0.3, 0.19),
)
TENANTS = ("club-donostia", "club-oviedo", "club-santander")


async def request_of(reader: asyncio.StreamReader) -> bytes:
    """The head of a request or answer whose body has been read past; empty at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError:
        return b""
    size = head.lower().partition(b"content-length:")[2].split()
    if size:
        await reader.readexactly(int(size[0]))
    return head


@dataclass
class Desk:
    """Who hands in. ``sent`` has every message with what was heard at once."""

    port: int
    seed: int = 1
    destinations: int = 16
    connections: int = 24
    left: float | None = None  # seconds that each message has; None: nearly its class's
    sent: dict[str, Sent] = field(default_factory=dict)

    def message(self, number: int) -> tuple[str, str, bytes]:
        """The id, class and request of a message by its number; always the same ones."""
        chance = random.Random(f"{self.seed} {number}")
        grade = chance.choices(CLASSES, [row[-1] for row in CLASSES])[0]
        body = bytes(chance.randrange(100, 300))
        tenant = chance.choices(TENANTS, (40, 36, 24))[0]
        id_ = f"{chance.getrandbits(64):016x}"
        left = grade[3] / 1000 - 0.1 if self.left is None else self.left
        return (
            id_,
            grade[0],
            (
                f"POST /api HTTP/1.1\r\nHost: x\r\nReq-Id: {id_}\r\nReq-Kind: {grade[0]}\r\n"
                f"Req-Owner: {tenant}\r\nReq-Deadline: {left:.3f}\r\n"
                f"Idempotency-Key: {chance.getrandbits(128):032x}\r\n"
                f"X-Envelope: dest={chance.randrange(self.destinations)}\r\nContent-Length: {len(body)}\r\n\r\n"
            ).encode()
            + body,
        )

    async def run(self, numbers: Iterable[int], rate: float) -> None:
        """Hand in these messages, so many a second; ends when each was answered or its connection has ended."""
        loop, queue = asyncio.get_running_loop(), asyncio.Queue()
        clients = [asyncio.create_task(self._client(queue)) for _ in range(self.connections)]
        begun = loop.time()
        for place, number in enumerate(numbers):
            await asyncio.sleep(max(0.0, begun + place / rate - loop.time()))
            queue.put_nowait(self.message(number))
        for _ in clients:
            queue.put_nowait(None)
        await asyncio.gather(*clients)

    async def _client(self, queue: asyncio.Queue) -> None:
        reader = writer = None
        while (given := await queue.get()) is not None:
            id_, cls, data = given
            sent = self.sent[id_] = Sent(cls)
            try:
                if writer is None:
                    reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(data)
                words = (await request_of(reader)).split()
                sent.status = int(words[1]) if len(words) > 1 else 0
            except (OSError, asyncio.IncompleteReadError):
                pass
            if not sent.status:
                writer = None
        if writer is not None:
            writer.close()
