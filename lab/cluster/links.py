"""Proxies for UDP and TCP that degrade the network between two nodes, one link for each direction.

What ``a`` sends to ``b`` goes through the link a>b; what comes back on a connection that ``a`` opened is subject to the
conditions of b>a. Datagrams may be lost, delayed, duplicated, reordered or corrupted; streams may be delayed,
corrupted, throttled, stalled with the connection open, reset after a number of bytes, or refused.
"""

from __future__ import annotations

import asyncio
import random
from collections import deque
from dataclasses import dataclass, field

CHUNK_BYTES = 16 << 10


@dataclass
class LinkConditions:
    """Network conditions of one direction. Shares are of datagrams, or of the chunks of a stream; a lost chunk of a
    stream is delayed instead, as TCP would retransmit it."""

    cut: bool = False  # nothing passes; streams stall with their connection open
    loss: float = 0.0
    delay_ms: float = 0.0
    jitter_ms: float = 0.0  # if longer than the gap between two datagrams, they are reordered
    duplicated: float = 0.0
    corrupted: float = 0.0  # one bit is flipped
    bytes_per_s: float = 0.0  # of a stream; 0: unlimited
    reset_after_bytes: int | None = None  # a stream is reset after that many bytes
    refused: bool = False  # new streams are reset at once

    def corrupt(self, rng: random.Random, data: bytes) -> bytes:
        if not data or rng.random() >= self.corrupted:
            return data
        at = rng.randrange(len(data))
        return data[:at] + bytes([data[at] ^ 1 << rng.randrange(8)]) + data[at + 1 :]

    def delay_s(self, rng: random.Random) -> float:
        """A random delay in seconds."""
        return (self.delay_ms + self.jitter_ms * rng.random()) / 1000


@dataclass
class LinkTraffic:
    """What was sent into a link, including what it then lost."""

    datagrams: int = 0
    bytes: int = 0
    streams: int = 0


class Link(asyncio.DatagramProtocol):
    """A proxy from node ``source`` to node ``to`` at ``address``; ``reverse`` is the link of the other direction."""

    def __init__(self, source: str, to: str, address: tuple[str, int], seed: int) -> None:
        self.source, self.to, self.address = source, to, address
        self.conditions, self.traffic = LinkConditions(), LinkTraffic()
        self.reverse: Link | None = None
        self.port = 0
        self.recorders: list[deque[bytes]] = []  # receive each datagram, for replay
        self._rng = random.Random(f"{seed} {source} {to}")
        self._transport: asyncio.DatagramTransport | None = None
        self._server: asyncio.Server | None = None
        self._stream_tasks: set[asyncio.Task] = set()

    async def open(self) -> None:
        """Listen on an ephemeral port that is free on both UDP and TCP."""
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
        for task in list(self._stream_tasks):
            task.cancel()

    # Datagrams -----------------------------------------------------------------------------------

    def datagram_received(self, data: bytes, _addr: tuple) -> None:
        self.traffic.datagrams += 1
        self.traffic.bytes += len(data)
        for recorder in self.recorders:
            recorder.append(data)
        self.send(data)

    def error_received(self, _exc: Exception) -> None:
        """Nobody listens at the receiver's port: the datagram is lost."""

    def send(self, data: bytes) -> None:
        """Send a datagram to the receiver, subject to this link's conditions."""
        conditions, rng = self.conditions, self._rng
        if conditions.cut or rng.random() < conditions.loss:
            return
        for _ in range(2 if rng.random() < conditions.duplicated else 1):
            corrupted, delay = conditions.corrupt(rng, data), conditions.delay_s(rng)
            if delay:
                asyncio.get_running_loop().call_later(delay, self._deliver, corrupted)
            else:
                self._deliver(corrupted)

    def _deliver(self, data: bytes) -> None:
        if self._transport is not None and not self._transport.is_closing() and not self.conditions.cut:
            self._transport.sendto(data, self.address)

    # Streams -------------------------------------------------------------------------------------

    async def _stream(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.traffic.streams += 1
        task = asyncio.current_task()
        self._stream_tasks.add(task)
        remote = None
        try:
            if self.conditions.refused:
                writer.transport.abort()
                return
            while self.conditions.cut or self.reverse.conditions.cut:
                await asyncio.sleep(0.02)
            remote_reader, remote = await asyncio.open_connection(*self.address)
            transports = [writer.transport, remote.transport]
            await asyncio.gather(
                self._forward(reader, remote, transports), self.reverse._forward(remote_reader, writer, transports)
            )
        except (OSError, asyncio.CancelledError):
            pass
        finally:
            self._stream_tasks.discard(task)
            for one in (writer, remote):
                if one is not None:
                    one.transport.abort()

    async def _forward(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, transports: list) -> None:
        """Forward one direction of a stream, subject to this link's conditions."""
        sent, rng = 0, self._rng
        while data := await reader.read(CHUNK_BYTES):
            conditions = self.conditions
            await asyncio.sleep(conditions.delay_s(rng) + (0.2 if rng.random() < conditions.loss else 0.0))
            while self.conditions.cut:
                await asyncio.sleep(0.02)
            data = conditions.corrupt(rng, data)
            if conditions.reset_after_bytes is not None and sent + len(data) >= conditions.reset_after_bytes:
                writer.write(data[: max(0, conditions.reset_after_bytes - sent)])
                await writer.drain()
                for transport in transports:
                    transport.abort()
                return
            if conditions.bytes_per_s:
                for at in range(0, len(data), 64):
                    writer.write(data[at : at + 64])
                    await asyncio.sleep(min(64, len(data) - at) / conditions.bytes_per_s)
            else:
                writer.write(data)
            sent += len(data)
            await writer.drain()
        if writer.can_write_eof():
            writer.write_eof()


@dataclass
class Mesh:
    """All links between the nodes of a cluster, by (source, to)."""

    seed: int
    links: dict[tuple[str, str], Link] = field(default_factory=dict)

    async def add(self, source: str, to: str, address: tuple[str, int]) -> None:
        link = self.links[source, to] = Link(source, to, address, self.seed)
        await link.open()
        reverse = self.links.get((to, source))
        if reverse is not None:
            link.reverse, reverse.reverse = reverse, link

    def set_conditions(self, source: str, to: str, conditions: LinkConditions) -> None:
        self.links[source, to].conditions = conditions

    def restore_all(self) -> None:
        """End the conditions of all links."""
        for link in self.links.values():
            link.conditions = LinkConditions()

    def sent_by(self, name: str) -> LinkTraffic:
        """The traffic that a node has sent to all others."""
        ours = [link.traffic for (source, _), link in self.links.items() if source == name]
        return LinkTraffic(
            sum(one.datagrams for one in ours), sum(one.bytes for one in ours), sum(one.streams for one in ours)
        )

    def close(self) -> None:
        for link in self.links.values():
            link.close()
