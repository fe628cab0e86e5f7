"""Simulated TCP: connections between protocols of asyncio's kind, over the world's links."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lab.tier.world import World

RESET_AFTER_S = 1.5
"""After which a connection is reset whose bytes cannot reach the other end."""
PARTITIONED_CONNECT_TIMEOUT_S = 1.0
"""After which an attempt to connect across a partition fails."""


class SimulatedTransport:
    """One end of a connection, as an asyncio.Transport. Bytes arrive in order after the link's delay, or it is reset.

    ``own`` and ``other`` are the internal addresses of the machines at its ends.
    """

    def __init__(self, world: World, own: str, other: str, protocol: Any) -> None:
        self.world = world
        self.own = own
        self.other = other
        self.protocol = protocol
        self.peer: SimulatedTransport | None = None
        self.incarnation = world.machine(own).incarnation
        self._closing = False
        self._arrival = 0.0

    def write(self, data: bytes) -> None:
        """Part of asyncio.Transport."""
        if not self._closing:
            self._carry(lambda peer: peer.protocol.data_received(data))

    def close(self) -> None:
        """Part of asyncio.Transport: ends the connection after all bytes written."""
        if not self._closing:
            self._closing = True
            self._carry(lambda peer: peer.lose(None))
            self.world.call_at(self.world.time, lambda: self._lost(None))

    def abort(self) -> None:
        """Part of asyncio.Transport."""
        self.close()

    def is_closing(self) -> bool:
        """Part of asyncio.Transport."""
        return self._closing

    def get_extra_info(self, name: str) -> None:
        """There is no socket."""

    def get_write_buffer_size(self) -> int:
        """Part of asyncio.Transport: nothing is buffered."""
        return 0

    def lose(self, error: Exception | None) -> None:
        """The other end has closed, or the connection is reset."""
        if not self._closing:
            self._closing = True
            self.protocol.eof_received()
            self._lost(error)

    def _lost(self, error: Exception | None) -> None:
        if self.world.machine(self.own).incarnation == self.incarnation:
            self.protocol.connection_lost(error)

    def _carry(self, act: Callable[[SimulatedTransport], None]) -> None:
        peer = self.peer
        assert peer is not None
        self._arrival = max(self._arrival, self.world.time + self.world.delay_s)

        def arrive() -> None:
            alive = self.world.machine(peer.own).incarnation == peer.incarnation
            if (self.own, self.other) in self.world.partitions or not alive:
                self.world.call_at(self.world.time + RESET_AFTER_S, lambda: self.lose(ConnectionResetError()))
            elif not peer._closing:
                act(peer)

        self.world.call_at(self._arrival, arrive, self.world.machine(peer.own))


class SimulatedTcp:
    """Listeners of all machines. A machine is named by its internal address, a listener by its own."""

    def __init__(self, world: World) -> None:
        self.world = world
        self._listeners: dict[str, tuple[str, int, Callable[[], Any]]] = {}

    def listen(self, machine: str, address: str, factory: Callable[[], Any]) -> None:
        """Accept connections for as long as the machine's present process lives."""
        self._listeners[address] = (machine, self.world.machine(machine).incarnation, factory)

    def close(self, address: str) -> None:
        """Accept no more."""
        self._listeners.pop(address, None)

    def dialer(self, machine: str) -> Callable[[str, Any], None]:
        """Connects from a machine."""
        return lambda address, connection: self._dial(machine, address, connection)

    def _dial(self, source: str, address: str, connection: Any) -> None:
        def connect() -> None:
            entry = self._listeners.get(address)
            if entry is None or self.world.machine(entry[0]).incarnation != entry[1]:
                connection.on_connect_failed()
                return
            target, _, factory = entry
            if (source, target) in self.world.partitions or (target, source) in self.world.partitions:
                self.world.call_at(self.world.time + PARTITIONED_CONNECT_TIMEOUT_S, connection.on_connect_failed)
                return
            server = factory()
            near = SimulatedTransport(self.world, source, target, connection)
            far = SimulatedTransport(self.world, target, source, server)
            near.peer, far.peer = far, near
            server.connection_made(far)
            connection.connection_made(near)

        self.world.call_at(self.world.time + 2 * self.world.delay_s, connect, self.world.machine(source))
