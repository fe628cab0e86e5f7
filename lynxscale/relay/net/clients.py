"""The listener for clients: which connections there are, what is evicted, and where each request goes."""

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
FRESH_MS = 200  # at the stop a connection this young may still bring its request


class Clients(Factory):
    """All client connections, within a budget of descriptors; ``max_bytes``: for incomplete requests together."""

    noisy = False

    def __init__(self, deadlines: Deadlines, relay: Relay, lifecycle: Lifecycle, max_bytes: int) -> None:
        self.deadlines, self.relay = deadlines, relay
        self.lifecycle = lifecycle
        self._connections: SlotTable = SlotTable()
        self._budget = ConnectionBudget(max_bytes)
        self._port: Any = None
        self._full = False  # at the limit with nobody to evict: new ones stay in the listen queue
        self._shared = False  # other processes hold the listening socket, too
        self._stopping = False  # stop to listen, once whoever waits in the listen queue is accepted

    def listen(self, reactor: Any, address: tuple[str, int]) -> None:
        """Accept clients. Raises CannotListenError where the address cannot be bound."""
        self._port = reactor.listenTCP(address[1], self, backlog=LISTEN_BACKLOG, interface=address[0])

    def adopt(self, reactor: Any, handle: int) -> None:
        """Accept clients from a listening socket that others hold, too. It is never shut down, only closed here."""
        self._shared = True
        os.set_blocking(handle, False)  # guards against an accept that blocks, when another process was faster
        self._port = reactor.adoptStreamPort(handle, socket.AF_INET, self)

    def limit(self, max_connections: int, idle_limit: int) -> None:
        """Hold so many connections at most from now on, and so many before long idle ones are evicted."""
        self._budget.max_connections, self._budget.idle_limit = max_connections, idle_limit

    def buildProtocol(self, _address: object) -> ClientConnection:
        """Part of Factory."""
        return ClientConnection(self)

    def open_count(self) -> int:
        """Connections, those with their last response included."""
        return len(self._connections)

    # What connections report ---------------------------------------------------------------------

    def opened(self, connection: ClientConnection) -> None:
        """A client has connected."""
        connection.slot = self._connections.add(connection)
        self._budget.opened(connection.slot, self.deadlines.now())
        self.relay.counters.add("connections", "client_opened")
        self._keep_within_budget()

    def idle(self, connection: ClientConnection) -> None:
        """It has its response, and no further request."""
        self._budget.idle(connection.slot, self.deadlines.now())
        if self._full:
            self._keep_within_budget()

    def busy(self, connection: ClientConnection) -> None:
        """A request has begun, or the connection is closing."""
        self._budget.busy(connection.slot)

    def buffer(self, connection: ClientConnection, size: int) -> None:
        """So many bytes of its requests are incomplete, or wait for their turn.

        Guards against incomplete requests by the thousand, each within its own limit, that fill the memory together.
        """
        self._budget.buffer(connection.slot, size)
        for slot in self._budget.over_buffered():
            if (evicted := self._connections.get(slot)) is not None:
                self._budget.closing(slot)
                evicted.abandon(CloseReason.BUFFER_LIMIT)

    def closed(self, connection: ClientConnection) -> None:
        """It is gone."""
        self._budget.closing(connection.slot)
        self._connections.remove(connection.slot)
        if self._full:
            self._keep_within_budget()
        if self._stopping:
            self.stop_accepting()

    # The budget ----------------------------------------------------------------------------------

    def _keep_within_budget(self) -> None:
        """Guards against the descriptor limit: one that has sent nothing is evicted, else one that is idle.

        With none, new ones wait in the listen queue. Guards as well against clients that send once and stay: usual ones
        may have no more connections left to open than a third of the descriptors, long before the table is full.
        """
        now = self.deadlines.now()
        if len(self._connections) < self._budget.max_connections:
            self._set_accepting(True)
            if len(self._connections) > self._budget.idle_limit:
                self._close(self._budget.long_idle(now), CloseReason.EVICTED, 2)
        elif not self._close(self._budget.eviction_candidates(now), CloseReason.EVICTED, 1):
            self._set_accepting(False)

    def _close(self, slots: Iterable[int], reason: str, limit: int) -> int:
        """Close so many of them at most; how many were closed.

        Guards against a request that crosses the close: what the loop has still to read is answered first.
        """
        closed = 0
        for slot in slots:
            connection = self._connections.get(slot)
            if (
                connection is not None
                and (connection.silent or connection.idle)
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
            connection.respond(200, body=orjson.dumps(self.relay.counters.table()), kind="application/json")
        else:
            connection.reject(405 if path in (READY_PATH, COUNTERS_PATH) else 404, "no such thing here")

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
        """Close the connections of clients that wait for nothing: the load balancer opens no more to this relay."""
        now = self.deadlines.now()
        self._close(self._budget.silent(now, FRESH_MS * 1000), CloseReason.STOPPING, len(self._connections))
        self._close(self._budget.all_idle(), CloseReason.STOPPING, len(self._connections))

    def stop_accepting(self) -> None:
        """Stop to listen; at the limit of connections only once those in the listen queue have been accepted."""
        port = self._port
        if port is None:
            return
        if not self._shared:
            # Guards against connections that the kernel has taken and the loop has not: they would be reset.
            self._stopping = True
            port.numberAccepts = self._budget.max_connections - len(self._connections)
            if port.numberAccepts > 0:
                port.doRead()
            if len(self._connections) >= self._budget.max_connections:
                return  # again as soon as one of them is closed
        self._port = None
        port.stopListening()
