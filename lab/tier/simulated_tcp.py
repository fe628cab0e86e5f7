"""Simulated TCP connections between asyncio protocols, over the links of a simulated world."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lab.tier.world import World

RESET_DELAY_S = 1.5
"""A connection is reset this long after bytes could not reach the other end."""
PARTITIONED_CONNECT_TIMEOUT_S = 1.0
"""An attempt to connect across a partition fails after this time."""


class SimulatedTransport:
    """One end of a connection, used like an asyncio.Transport.

    Bytes arrive in order after the delay of the world's links; if they cannot arrive, the connection is reset.
    ``local`` and ``remote`` are the internal addresses of the machines at its ends.
    """

    def __init__(self, world: World, local: str, remote: str, protocol: Any) -> None:
        self.world = world
        self.local = local
        self.remote = remote
        self.protocol = protocol
        self.peer: SimulatedTransport | None = None
        self.incarnation = world.machine(local).incarnation
        self._closing = False
        self._arrival = 0.0

    def write(self, data: bytes) -> None:
        """Part of asyncio.Transport."""
        if not self._closing:
            self._deliver(lambda peer: peer.protocol.data_received(data))

    def close(self) -> None:
        """Part of asyncio.Transport: closes the connection behind all written bytes."""
        if not self._closing:
            self._closing = True
            self._deliver(lambda peer: peer.disconnect(None))
            self.world.call_at(self.world.time, lambda: self._connection_lost(None))

    def abort(self) -> None:
        """Part of asyncio.Transport; the same as ``close``."""
        self.close()

    def is_closing(self) -> bool:
        """Part of asyncio.Transport."""
        return self._closing

    def get_extra_info(self, name: str) -> None:
        """Part of asyncio.Transport: None, as there is no socket."""

    def get_write_buffer_size(self) -> int:
        """Part of asyncio.Transport: nothing is buffered."""
        return 0

    def pause_reading(self) -> None:
        """Part of asyncio.Transport: no effect, as nothing is buffered."""

    def resume_reading(self) -> None:
        """Part of asyncio.Transport: no effect, as nothing is buffered."""

    def disconnect(self, error: Exception | None) -> None:
        """The other end has closed the connection, or it is reset (``error``)."""
        if not self._closing:
            self._closing = True
            self.protocol.eof_received()
            self._connection_lost(error)

    def _connection_lost(self, error: Exception | None) -> None:
        if self.world.machine(self.local).incarnation == self.incarnation:
            self.protocol.connection_lost(error)

    def _deliver(self, handle: Callable[[SimulatedTransport], None]) -> None:
        peer = self.peer
        assert peer is not None
        self._arrival = max(self._arrival, self.world.time + self.world.delay_s)

        def arrive() -> None:
            alive = self.world.machine(peer.local).incarnation == peer.incarnation
            if (self.local, self.remote) in self.world.partitions or not alive:
                self.world.call_at(self.world.time + RESET_DELAY_S, lambda: self.disconnect(ConnectionResetError()))
            elif not peer._closing:
                handle(peer)

        self.world.call_at(self._arrival, arrive, self.world.machine(peer.local), id(peer))


class SimulatedTcp:
    """The listeners of all machines, by the address they listen on. A machine is named by its internal address."""

    def __init__(self, world: World) -> None:
        self.world = world
        self._listeners: dict[str, tuple[str, int, Callable[[], Any]]] = {}

    def listen(self, machine: str, address: str, factory: Callable[[], Any]) -> None:
        """Accept connections until the machine's current process ends."""
        self._listeners[address] = (machine, self.world.machine(machine).incarnation, factory)

    def close(self, address: str) -> None:
        """Stop accepting connections at an address."""
        self._listeners.pop(address, None)

    def dialer(self, machine: str) -> Callable[[str, Any], None]:
        """A function that connects from a machine to an address."""
        return lambda address, connection: self._dial(machine, address, connection)

    def _dial(self, source: str, address: str, connection: Any) -> None:
        def connect() -> None:
            listener = self._listeners.get(address)
            if listener is None or self.world.machine(listener[0]).incarnation != listener[1]:
                connection.on_connect_failed()
                return
            target, _, factory = listener
            if (source, target) in self.world.partitions or (target, source) in self.world.partitions:
                self.world.call_at(self.world.time + PARTITIONED_CONNECT_TIMEOUT_S, connection.on_connect_failed)
                return
            server = factory()
            client_end = SimulatedTransport(self.world, source, target, connection)
            server_end = SimulatedTransport(self.world, target, source, server)
            client_end.peer, server_end.peer = server_end, client_end
            server.connection_made(server_end)
            connection.connection_made(client_end)

        self.world.call_at(self.world.time + 2 * self.world.delay_s, connect, self.world.machine(source))
