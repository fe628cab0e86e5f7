"""A listener at its limit, one whose accepts fail, and listeners at the end of a process."""

import asyncio
import errno
import gc
import socket
import sys
from contextlib import ExitStack, aclosing

import pytest

from lynxscale.runtime.clock import LoopClock
from lynxscale.runtime.http_server import ServerConnection
from lynxscale.runtime.http_types import Request, Response
from lynxscale.runtime.listener import (
    ACCEPT_RETRY_S,
    ACCEPTS_AT_LIMIT,
    MAX_UNREAD_CHECKS,
    Listener,
    Listeners,
    listening_socket,
)
from lynxscale.runtime.peer_network import PeerNetwork
from lynxscale.runtime.responder import Responder
from lynxscale.runtime.server_limits import ServerLimits

LIMIT = 8
MANY = 400
REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
TIMEOUT_S = 5.0


class Server:
    """A server whose requests for ``/wait`` are answered at its end."""

    def __init__(self, listening=None):
        self.loop = asyncio.get_running_loop()
        self.waiting = []
        limits, clock = ServerLimits(), LoopClock(self.loop)
        self.listener = Listener(
            self.loop,
            listening or listening_socket("127.0.0.1:0"),
            lambda slot: ServerConnection(self.handle, limits, clock, set(), slot),
            LIMIT,
        )

    def handle(self, request: Request, responder: Responder) -> None:
        if request.path == "/wait":
            self.waiting.append(responder)
        else:
            responder.respond(Response(200))

    async def connect(self):
        return await asyncio.open_connection("127.0.0.1", self.listener.port)


async def status(connection, request=REQUEST) -> int:
    """The status of the answer to a request, 0 if the connection ends."""
    reader, writer = connection
    writer.write(request)
    line = await asyncio.wait_for(reader.readline(), TIMEOUT_S)
    return int(line.split()[1]) if line else 0


def test_a_new_client_takes_the_place_of_the_one_that_is_idle_for_longest():
    async def play():
        server = Server()
        connections = [await server.connect() for _ in range(LIMIT)]
        assert [await status(connection) for connection in connections] == [200] * LIMIT
        assert await status(await server.connect()) == 200
        assert await asyncio.wait_for(connections[0][0].read(), TIMEOUT_S) is not None
        assert connections[0][0].at_eof() and not connections[1][0].at_eof()
        server.listener.close()

    asyncio.run(play())


def test_a_client_whose_request_has_arrived_does_not_give_its_place_to_a_new_one():
    async def play():
        server = Server()
        connections = [await server.connect() for _ in range(LIMIT)]
        assert [await status(connection) for connection in connections] == [200] * LIMIT
        connections[0][1].write(REQUEST)  # and the event loop has no time to receive it
        with socket.create_connection(("127.0.0.1", server.listener.port)):
            server.listener._accept_waiting()
            line = await asyncio.wait_for(connections[0][0].readuntil(b"\r\n\r\n"), TIMEOUT_S)
            assert line.endswith(b"\r\n\r\n")
            assert await status(connections[0], b"") == 200
        server.listener.close()

    asyncio.run(play())


class IdleConnection:
    """A connection that is idle and has sent something. Implements AcceptedConnection."""

    looks = 0
    idle_since = 0.0

    @property
    def has_unread(self) -> bool:
        """Part of AcceptedConnection."""
        IdleConnection.looks += 1
        return True


def test_a_listener_at_its_limit_does_a_bounded_amount_of_work_at_once():
    async def play():
        loop = asyncio.get_running_loop()
        listener = Listener(loop, listening_socket("127.0.0.1:0"), lambda slot: asyncio.Protocol(), MANY)
        listener.connections.update(IdleConnection() for _ in range(MANY))
        listener._open = MANY
        with ExitStack() as stack:
            for _ in range(MANY // 10):
                stack.enter_context(socket.create_connection(("127.0.0.1", listener.port)))
            listener._accept_waiting()
            assert 0 < listener._open - MANY <= ACCEPTS_AT_LIMIT
            assert IdleConnection.looks <= ACCEPTS_AT_LIMIT * MAX_UNREAD_CHECKS
            await listener.aclose()

    asyncio.run(play())


def test_clients_beyond_the_limit_are_told_to_come_back_while_all_others_are_served():
    async def play():
        server = Server()
        served = [await server.connect() for _ in range(LIMIT)]
        for _, writer in served:
            writer.write(REQUEST.replace(b"/ ", b"/wait "))
        while len(server.waiting) < LIMIT:
            await asyncio.sleep(0.01)
        late = await server.connect()
        assert await status(late) == 503
        assert b"retry-after" in (await asyncio.wait_for(late[0].read(), TIMEOUT_S)).lower()
        for responder in server.waiting:
            responder.respond(Response(200))
        for reader, _ in served:
            assert b"200" in await asyncio.wait_for(reader.readline(), TIMEOUT_S)
        assert await status(await server.connect()) == 200
        server.listener.close()

    asyncio.run(play())


def test_idle_clients_that_come_in_hundreds_do_not_keep_a_client_waiting():
    async def play():
        server = Server()
        idle = [await server.connect() for _ in range(50 * LIMIT)]
        assert await status(await server.connect()) == 200
        for _, writer in idle:
            writer.close()
        server.listener.close()

    asyncio.run(play())


class WithoutDescriptors:
    """A listening socket on which accepting fails ``failures`` times, as in a process without descriptors."""

    def __init__(self, failures):
        self._socket = listening_socket("127.0.0.1:0")
        self.failures = failures
        self.accepts = 0

    def accept(self):
        self.accepts += 1
        if self.accepts <= self.failures:
            raise OSError(errno.EMFILE, "Too many open files")
        return self._socket.accept()

    def __getattr__(self, name):
        return getattr(self._socket, name)


@pytest.mark.parametrize("failures", [1, 3])
def test_an_accept_that_fails_is_repeated_after_a_pause_and_logged_once(failures, caplog):
    async def play():
        listening = WithoutDescriptors(failures)
        server = Server(listening)
        before = server.loop.time()
        assert await status(await server.connect()) == 200
        assert server.loop.time() - before >= failures * ACCEPT_RETRY_S * 0.9
        assert listening.accepts <= failures + 3
        server.listener.close()

    asyncio.run(play())
    assert len(caplog.records) == 1


def listening_for_clients(loop):
    """The listeners of a process for one address, and its port."""
    listeners = Listeners(loop)
    limits, clock = ServerLimits(), LoopClock(loop)
    listener = listeners.listen(
        listening_socket("127.0.0.1:0"),
        lambda slot: ServerConnection(lambda request, responder: None, limits, clock, set(), slot),
        LIMIT,
    )
    return listeners, listener.port


def listening_for_peers(loop):
    """A network that peers can connect to, and its port."""
    network = PeerNetwork(loop, "127.0.0.1:0")
    return network, network.listen(listening_socket("127.0.0.1:0"), lambda message: None).port


@pytest.mark.parametrize("listens", [listening_for_clients, listening_for_peers])
def test_connections_that_arrive_while_the_process_ends_leave_no_traceback(listens, caplog, monkeypatch):
    """Regression: "Event loop is closed" as the last lines of a relay that ended while peers connected to it."""
    unraisable = []
    monkeypatch.setattr(sys, "unraisablehook", lambda error: unraisable.append(error.exc_value))
    clients = []

    async def serve():
        loop = asyncio.get_running_loop()
        closable, port = listens(loop)

        def connect_again():
            clients.append(socket.create_connection(("127.0.0.1", port)))
            loop.call_soon(connect_again)

        async with aclosing(closable):
            connect_again()
            await asyncio.sleep(0.02)

    asyncio.run(serve())
    gc.collect()
    for client in clients:
        client.close()
    assert unraisable == []
    assert "Task was destroyed" not in caplog.text


def test_a_listener_that_has_ended_holds_its_port():
    async def play():
        server = Server()
        port = server.listener.port
        await server.listener.aclose()
        with pytest.raises(OSError, match="in use"):
            listening_socket(f"127.0.0.1:{port}")

    asyncio.run(play())
