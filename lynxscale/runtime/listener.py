"""A listening TCP socket that accepts no more connections than its quota.

At its limit it closes the connection that has been idle for longest, as nginx does with ``worker_connections``. If none
is idle, a few more are accepted to be refused by their protocol, and beyond these the others wait in the queue of the
system. asyncio's own server has no limit, and repeats an accept that fails for the want of a descriptor without pause.
"""

from __future__ import annotations

import asyncio
import heapq
import logging
import socket
from collections.abc import Callable
from typing import Protocol

from lynxscale.runtime.sockets import split_address

log = logging.getLogger(__name__)

DEFAULT_BACKLOG = 512
ACCEPTS_PER_EVENT = 100
ACCEPTS_AT_LIMIT = 8  # each of these looks at all connections
MAX_UNREAD_CHECKS = 16  # idle connections that are asked for one that may be closed
ACCEPT_RETRY_S = 0.1
"""How long nothing is accepted after a failure, and the least time between two looks at a queue that has to wait."""
LOG_INTERVAL_S = 10.0
REFUSED_FRACTION = 1 / 8  # connections beyond the limit that are accepted to be refused, by the limit
MIN_REFUSED = 4


class AcceptedConnection(Protocol):
    """What a listener needs to know of a connection that it has accepted; implemented by the protocols."""

    @property
    def idle_since(self) -> float | None:
        """The time (as by ``Clock.now``) since which it is idle, None while it may not be closed."""

    @property
    def has_unread(self) -> bool:
        """Whether bytes have arrived that were not received yet; they may be a request."""

    def close(self) -> None:
        """Close the connection."""


ProtocolFactory = Callable[["ConnectionSlot"], asyncio.BaseProtocol]
"""Creates the protocol of a connection, which tells the slot when it begins and when it has ended."""


class ConnectionSlot:
    """The place of one connection at its listener. ``refused``: it was accepted beyond the limit, to be refused."""

    def __init__(self, listener: Listener, refused: bool) -> None:
        self.refused = refused
        self._listener = listener
        self._connection: AcceptedConnection | None = None

    def opened(self, connection: AcceptedConnection) -> None:
        """The connection begins."""
        self._connection = connection
        self._listener.connections.add(connection)

    def lost(self) -> None:
        """The connection has ended, and its descriptor is free. To be called once."""
        if self._connection is not None:
            self._listener.connections.discard(self._connection)
        self._listener.on_lost()


class Listener:
    """Accepts connections at one address until it is closed. ``limit``: how many may be open.

    It has to be closed by ``aclose`` before its event loop, which would leave the connections that are being set up.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listening: socket.socket,
        factory: ProtocolFactory,
        limit: int,
    ) -> None:
        self.connections: set[AcceptedConnection] = set()
        self._loop = loop
        self._socket = listening
        self._factory = factory
        self._limit = limit
        self._max_open = limit + max(MIN_REFUSED, int(limit * REFUSED_FRACTION))
        self._open = 0  # accepted, and not known to have ended
        self._tasks: set[asyncio.Task[object]] = set()
        self._accepting = False
        self._retry: asyncio.TimerHandle | None = None
        self._closed = False
        self._logged_at = float("-inf")
        self._failures = 0  # since the last line in the log
        self._resume()

    @property
    def port(self) -> int:
        """The port that it listens on."""
        return self._socket.getsockname()[1]

    def close(self) -> None:
        """Stop listening; open connections stay open."""
        self._end_accepting()
        self._socket.close()

    async def aclose(self) -> None:
        """Accept no more connections, and drop those that are being set up; the port is held until the process ends."""
        self._end_accepting()
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def on_lost(self) -> None:
        """Handle the end of a connection."""
        self._open -= 1
        self._resume()

    def _resume(self, at_limit: bool = False) -> None:
        """Accept from now on; ``at_limit``: even if a connection has to be closed first."""
        if not self._closed and not self._accepting and (at_limit or self._open < self._max_open):
            self._accepting = True
            self._loop.add_reader(self._socket.fileno(), self._accept_waiting)

    def _end_accepting(self) -> None:
        self._closed = True
        self._pause()
        if self._retry is not None:
            self._retry.cancel()

    def _pause(self) -> None:
        if self._accepting:
            self._accepting = False
            self._loop.remove_reader(self._socket.fileno())

    def _pause_for_a_while(self) -> None:
        """Accept nothing until a connection has ended, or a short time has passed."""
        self._pause()
        if self._retry is None:
            self._retry = self._loop.call_later(ACCEPT_RETRY_S, self._retry_accept)

    def _retry_accept(self) -> None:
        self._retry = None
        self._resume(at_limit=True)

    def _accept_waiting(self) -> None:
        if self._open >= self._max_open:  # a connection waits, as this is called
            self._close_longest_idle()
            self._pause_for_a_while()
            return
        at_limit = 0
        for _ in range(min(ACCEPTS_PER_EVENT, self._max_open - self._open)):
            at_limit += self._open >= self._limit
            if at_limit > ACCEPTS_AT_LIMIT:
                return  # the others are accepted in the next turn
            try:
                accepted, _ = self._socket.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return
            except OSError as error:
                self._on_failure(error)
                return
            accepted.setblocking(False)
            self._begin(accepted)

    def _begin(self, accepted: socket.socket) -> None:
        self._open += 1
        if self._open > self._limit:
            self._close_longest_idle()
        slot = ConnectionSlot(self, refused=self._open > self._limit and self._busy_connections() >= self._limit)
        task = self._loop.create_task(self._loop.connect_accepted_socket(lambda: self._factory(slot), accepted))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _busy_connections(self) -> int:
        return sum(connection.idle_since is None for connection in self.connections)

    def _close_longest_idle(self) -> None:
        """Close the connection that has been idle for longest and has sent nothing meanwhile, if there is one.

        Only the first few are asked.
        """
        idle = [(since, connection) for connection in self.connections if (since := connection.idle_since) is not None]
        for _, connection in heapq.nsmallest(MAX_UNREAD_CHECKS, idle, key=lambda entry: entry[0]):
            if not connection.has_unread:
                self.connections.discard(connection)
                connection.close()
                return

    def _on_failure(self, error: OSError) -> None:
        """Handle a failed accept: the process or the system has no descriptor or no memory left."""
        self._pause_for_a_while()
        self._failures += 1
        now = self._loop.time()
        if now - self._logged_at >= LOG_INTERVAL_S:
            log.error("event=accept_failed error=%s failures=%d", error.strerror, self._failures)
            self._logged_at, self._failures = now, 0


class Listeners:
    """The listeners of a process, which end together."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._listeners: list[Listener] = []

    def listen(self, listening: socket.socket, factory: ProtocolFactory, limit: int) -> Listener:
        """Accept connections at a listening socket from now on; ``limit``: how many may be open."""
        listener = Listener(self._loop, listening, factory, limit)
        self._listeners.append(listener)
        return listener

    async def aclose(self) -> None:
        """Accept no more connections at any of them."""
        for listener in self._listeners:
            await listener.aclose()


def listening_socket(address: str, backlog: int = DEFAULT_BACKLOG) -> socket.socket:
    """Return a socket that listens on ``host:port``. Raises OSError if the address is in use or not there."""
    listening = socket.create_server(split_address(address), backlog=backlog)
    listening.setblocking(False)
    return listening
