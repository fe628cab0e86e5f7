"""A server whose endpoint repeats an earlier answer on the same connection, at the point where the next one is due."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any, cast

from lynxscale.coordination.ports import Clock
from lynxscale.runtime.http_server import ConnectionState, ServerConnection
from lynxscale.runtime.responder import Handler
from lynxscale.runtime.server_limits import ServerLimits


class RecordingTransport:
    """A transport that keeps what was written since the last ``take``; everything else is left to ``transport``."""

    def __init__(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self._written = bytearray()

    def write(self, data: bytes) -> None:
        """Part of asyncio.Transport."""
        self._written += data
        self.transport.write(data)

    def take(self) -> bytes:
        """Return the bytes written since the last call."""
        written = bytes(self._written)
        self._written.clear()
        return written

    def __getattr__(self, name: str) -> Any:
        return getattr(self.transport, name)


class LateAnswerConnection(ServerConnection):
    """A connection that sends its previous answer again as the next request arrives, whenever ``repeats()`` is true."""

    def __init__(self, handler: Handler, limits: ServerLimits, clock: Clock, repeats: Callable[[], bool]) -> None:
        super().__init__(handler, limits, clock, set())
        self._repeats = repeats
        self._recorder: RecordingTransport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Part of asyncio.Protocol."""
        self._recorder = RecordingTransport(cast(asyncio.Transport, transport))
        super().connection_made(cast(asyncio.BaseTransport, self._recorder))

    def data_received(self, data: bytes) -> None:
        """Part of asyncio.Protocol."""
        if self.state is ConnectionState.IDLE and self._recorder is not None:
            earlier = self._recorder.take()
            if earlier and self._repeats():
                self._recorder.transport.write(earlier)
        super().data_received(data)
