"""The listener for clients: tracks and evicts connections, and routes requests."""

from __future__ import annotations

import os
import socket
from collections.abc import Iterable
from typing import Any

import orjson
from twisted.internet.protocol import Factory

from lynxscale.relay.connection_budget import ConnectionBudget
from lynxscale.relay.core import Relay
from lynxscale.relay.deadlines import Deadlines
from lynxscale.relay.exceptions import InvalidMessageError
from lynxscale.relay.http_parser import Request
from lynxscale.relay.lifecycle import Lifecycle
from lynxscale.relay.net.client_connection import ClientConnection
from lynxscale.relay.net.client_requests import envelope_from
from lynxscale.relay.net.close_reason import CloseReason
from lynxscale.relay.net.connection import unread_byte
from lynxscale.relay.slot_table import SlotTable

MESSAGE_PATH, READY_PATH, COUNTERS_PATH = "/api", "/_health", "/_counters"
LISTEN_BACKLOG = 511
NEW_CONNECTION_GRACE_MS = 200  # when the relay stops, a connection younger than this may still send its first request


class Clients(Factory):
    """All client connections, within limits of descriptors and memory.

    ``max_bytes``: the limit on the bytes of all incomplete requests together.
    """

    noisy = False

    def __init__(self, deadlines: Deadlines, relay: Relay, lifecycle: Lifecycle, max_bytes: int) -> None:
        self.deadlines, self.relay = deadlines, relay
        self.lifecycle = lifecycle
        self._connections: SlotTable = SlotTable()
        self._budget = ConnectionBudget(max_bytes)
        self._port: Any = None
        self._full = False  # at the limit with no connection to evict: new ones stay in the listen queue
        self._shared = False  # other processes have the listening socket open, too
        self._stopping = False  # close the listener once the connections in the listen queue are accepted

    def listen(self, reactor: Any, address: tuple[str, int]) -> None:
        """Accept clients on ``address``. Raises CannotListenError if it cannot be bound."""
        self._port = reactor.listenTCP(address[1], self, backlog=LISTEN_BACKLOG, interface=address[0])

    def adopt(self, reactor: Any, descriptor: int) -> None:
        """Accept clients on a listening socket that other processes share. It is closed here, but never shut down."""
        self._shared = True
        # If another process accepts a connection first, accept() must not block.
        os.set_blocking(descriptor, False)
        self._port = reactor.adoptStreamPort(descriptor, socket.AF_INET, self)

    def limit(self, max_connections: int, idle_limit: int) -> None:
        """Set the maximum number of connections, and the number above which long idle ones are evicted."""
        self._budget.max_connections, self._budget.idle_limit = max_connections, idle_limit

    def buildProtocol(self, _address: object) -> ClientConnection:
        """Part of Factory."""
        return ClientConnection(self)

    def open_count(self) -> int:
        """The number of connections, including those that are closing after their last response."""
        return len(self._connections)

    # Events of connections -----------------------------------------------------------------------

    def opened(self, connection: ClientConnection) -> None:
        """Register a new connection."""
        connection.slot = self._connections.add(connection)
        self._budget.opened(connection.slot, self.deadlines.now())
        self.relay.counters.add("connections", "client_opened")
        self._keep_within_budget()

    def idle(self, connection: ClientConnection) -> None:
        """The connection has received its response and sent no further request."""
        self._budget.idle(connection.slot, self.deadlines.now())
        if self._full:
            self._keep_within_budget()

    def busy(self, connection: ClientConnection) -> None:
        """A request has begun, or the connection is closing."""
        self._budget.busy(connection.slot)

    def buffer(self, connection: ClientConnection, size: int) -> None:
        """Set the number of bytes that the connection's incomplete and queued requests take.

        Evicts connections while the total exceeds its limit: thousands of incomplete requests, each within the limit
        of a request, could exhaust the memory.
        """
        self._budget.buffer(connection.slot, size)
        for slot in self._budget.over_buffered():
            if (evicted := self._connections.get(slot)) is not None:
                self._budget.closing(slot)
                evicted.abandon(CloseReason.BUFFER_LIMIT)

    def closed(self, connection: ClientConnection) -> None:
        """Unregister a closed connection."""
        self._budget.closing(connection.slot)
        self._connections.remove(connection.slot)
        if self._full:
            self._keep_within_budget()
        if self._stopping:
            self.stop_accepting()

    # Connection limits ---------------------------------------------------------------------------

    def _keep_within_budget(self) -> None:
        """Keep the number of connections within its limits.

        At the maximum a connection is evicted, or, if there is none to evict, new ones wait in the listen queue. Long
        idle connections are evicted earlier, above the idle limit: otherwise clients that send once and stay connected
        could leave only a third of the descriptors to others, long before the maximum is reached.
        """
        now = self.deadlines.now()
        if len(self._connections) < self._budget.max_connections:
            self._set_accepting(True)
            if len(self._connections) > self._budget.idle_limit:
                self._close(self._budget.long_idle(now), CloseReason.EVICTED, 2)
        elif not self._close(self._budget.eviction_candidates(now), CloseReason.EVICTED, 1):
            self._set_accepting(False)

    def _close(self, slots: Iterable[int], reason: str, limit: int) -> int:
        """Close up to ``limit`` of the connections without a request; returns the number of closed connections.

        A connection with unread bytes is skipped, as these may be a request.
        """
        closed = 0
        for slot in slots:
            connection = self._connections.get(slot)
            if (
                connection is not None
                and (connection.without_request or connection.idle)
                and not unread_byte(connection.transport)
            ):
                self._budget.closing(slot)
                connection.abandon(reason)
                closed += 1
                if closed == limit:
                    break
        return closed

    def _set_accepting(self, accepting: bool) -> None:
        if self._port is None or self._full != accepting:
            return
        self._full = not accepting
        if accepting:
            self._port.startReading()
        else:
            self._port.stopReading()

    # Requests ------------------------------------------------------------------------------------

    def serve(self, connection: ClientConnection, request: Request) -> None:
        """Route one request by its path."""
        path = request.target.partition("?")[0]
        if path == MESSAGE_PATH:
            self._submit(connection, request)
        elif path == READY_PATH and request.method == "GET":
            connection.respond(200 if self.lifecycle.ready else 503)
        elif path == COUNTERS_PATH and request.method == "GET":
            connection.respond(200, body=orjson.dumps(self.relay.counters.table()), content_type="application/json")
        else:
            connection.reject(
                405 if path in (READY_PATH, COUNTERS_PATH) else 404,
                "no such thing here",
            )

    def _submit(self, connection: ClientConnection, request: Request) -> None:
        try:
            if request.method != "POST":
                raise InvalidMessageError("want POST", 405)
            if request.too_large:
                raise InvalidMessageError("the body is too long", 413)
            envelope = envelope_from(request, self.relay)
        except InvalidMessageError as error:
            connection.reject(error.status, str(error))
            return
        self.relay.submit(envelope, connection.respond_verdict)

    # Shutdown ------------------------------------------------------------------------------------

    def close_idle(self) -> None:
        """Close the connections without a request in progress, as the load balancer opens no new ones."""
        now = self.deadlines.now()
        self._close(
            self._budget.without_request(now, NEW_CONNECTION_GRACE_MS * 1000),
            CloseReason.STOPPING,
            len(self._connections),
        )
        self._close(self._budget.all_idle(), CloseReason.STOPPING, len(self._connections))

    def stop_accepting(self) -> None:
        """Close the listener once the connections in the listen queue are accepted, which may wait for free slots."""
        port = self._port
        if port is None:
            return
        if not self._shared:
            # Connections that the kernel has accepted and the loop has not would be reset: accept them first.
            self._stopping = True
            port.numberAccepts = self._budget.max_connections - len(self._connections)
            if port.numberAccepts > 0:
                port.doRead()
            if len(self._connections) >= self._budget.max_connections:
                return  # called again when a connection is closed
        self._port = None
        port.stopListening()
