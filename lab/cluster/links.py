"""Directed links between nodes, each a stand-in for the way from one to another, on UDP and TCP at one port.

What ``a`` sends to ``b`` goes through the link a>b; what comes back on a connection that ``a`` opened goes under the
weather of b>a. A datagram may be lost, late, doubled, out of order or spoilt; a stream may be late, spoilt, slow, stand
still with its connection open, be cut at a byte or be refused.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field

CHUNK = 16 << 10


@dataclass
class Weather:
    """Of one direction. Shares are of datagrams, or of a stream's pieces; a lost piece of a stream comes later instead,
    as its kernel would send it again."""

    cut: bool = False  # nothing passes; streams stand still with their connection open
    loss: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # more than the gap between two datagrams puts them out of order
    doubled: float = 0.0
    spoilt: float = 0.0  # a bit is flipped
    bytes_per_s: float = 0.0  # of a stream; 0: no bound
    cut_at: int | None = None  # a stream ends, by a reset, after so many bytes
    refused: bool = False  # streams are not accepted

    def spoil(self, chance: random.Random, data: bytes) -> bytes:
        if not data or chance.random() >= self.spoilt:
            return data
        at = chance.randrange(len(data))
        return data[:at] + bytes([data[at] ^ 1 << chance.randrange(8)]) + data[at + 1 :]

    def late(self, chance: random.Random) -> float:
        """Seconds on the way."""
        return (self.delay_ms + self.jitter_ms * chance.random()) / 1000


@dataclass
class Passed:
    """What a link has carried, before its weather."""

    datagrams: int = 0
    bytes: int = 0
    streams: int = 0


class Link(asyncio.DatagramProtocol):
    """From ``frm`` to ``to``, whose address is ``where``; ``back`` is the link the other way."""

    def __init__(self, frm: str, to: str, where: tuple[str, int], seed: int) -> None:
        self.frm, self.to, self.where = frm, to, where
        self.weather, self.passed = Weather(), Passed()
        self.back: Link | None = None
        self.port = 0
        self.recorders: list[deque[bytes]] = []  # of those who want to send frames once more
        self._chance = random.Random(f"{seed} {frm} {to}")
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._pipes: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Listen at a port of the system's that is free on UDP and TCP alike."""
        loop = asyncio.get_running_loop()
        while True:
            self._server = await asyncio.start_server(self._stream, "127.0.0.1", 0)
            self.port = self._server.sockets[0].getsockname()[1]
            try:
                self._transport, _ = await loop.create_datagram_endpoint(
                    lambda: self, local_addr=("127.0.0.1", self.port)
                )
                return
            except OSError:
                self._server.close()

    def close(self) -> None:
        if self._server is not None:
            self._server.close()
        if self._transport is not None:
            self._transport.close()
        for pipe in list(self._pipes):
            pipe.cancel()

    # Datagrams -----------------------------------------------------------------------------------

    def datagram_received(self, data: bytes, _addr: tuple) -> None:
        self.passed.datagrams += 1
        self.passed.bytes += len(data)
        for recorder in self.recorders:
            recorder.append(data)
        self.send(data)

    def error_received(self, _exc: Exception) -> None:
        """Nobody listens at the far end: lost."""

    def send(self, data: bytes) -> None:
        """A datagram, by whoever, under this link's weather."""
        weather, chance = self.weather, self._chance
        if weather.cut or chance.random() < weather.loss:
            return
        for _ in range(2 if chance.random() < weather.doubled else 1):
            spoilt, late = weather.spoil(chance, data), weather.late(chance)
            if late:
                asyncio.get_running_loop().call_later(late, self._deliver, spoilt)
            else:
                self._deliver(spoilt)

    def _deliver(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing() and not self.weather.cut:
            self._transport.sendto(data, self.where)

    # Streams -------------------------------------------------------------------------------------

    async def _stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.passed.streams += 1
        task = asyncio.current_task()
        self._pipes.add(task)
        far = None
        try:
            if self.weather.refused:
                writer.transport.abort()
                return
            while self.weather.cut or self.back.weather.cut:
                await asyncio.sleep(0.02)
            far_reader, far = await asyncio.open_connection(*self.where)
            ends = [writer.transport, far.transport]
            await asyncio.gather(self._pipe(reader, far, ends), self.back._pipe(far_reader, writer, ends))
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._pipes.discard(task)
            for one in (writer, far):
                if one is not None:
                    one.transport.abort()

    async def _pipe(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, ends: list) -> None:
        """One direction of a stream, under this link's weather."""
        sent, chance = 0, self._chance
        while data := await reader.read(CHUNK):
            weather = self.weather
            await asyncio.sleep(weather.late(chance) + (0.2 if chance.random() < weather.loss else 0.0))
            while self.weather.cut:
                await asyncio.sleep(0.02)
            data = weather.spoil(chance, data)
            if weather.cut_at is not None and sent + len(data) >= weather.cut_at:
                writer.write(data[: max(0, weather.cut_at - sent)])
                await writer.drain()
                for end in ends:
                    end.abort()
                return
            if weather.bytes_per_s:
                for at in range(0, len(data), 64):
                    writer.write(data[at : at + 64])
                    await asyncio.sleep(min(64, len(data) - at) / weather.bytes_per_s)
            else:
                writer.write(data)
            sent += len(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


@dataclass
class Mesh:
    """All the links between some nodes, by (from, to)."""

    seed: int
    links: dict[tuple[str, str], Link] = field(default_factory=dict)

    async def add(self, frm: str, to: str, where: tuple[str, int]) -> None:
        link = self.links[frm, to] = Link(frm, to, where, self.seed)
        await link.open()
        back = self.links.get((to, frm))
        if back is not None:
            link.back, back.back = back, link

    def weather(self, frm: str, to: str, weather: Weather) -> None:
        self.links[frm, to].weather = weather

    def calm(self) -> None:
        """All links are whole again."""
        for link in self.links.values():
            link.weather = Weather()

    def sent_by(self, name: str) -> Passed:
        """What a node has sent to all others."""
        ours = [link.passed for (frm, _), link in self.links.items() if frm == name]
        return Passed(
            sum(one.datagrams for one in ours), sum(one.bytes for one in ours), sum(one.streams for one in ours)
        )

    def close(self) -> None:
        for link in self.links.values():
            link.close()
