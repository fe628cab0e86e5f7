"""Limits of the HTTP server on connections that are older than the limits."""

import pytest

from lab.tier.world import World
from lynxscale.runtime.http_server import Responder, ServerConnection, ServerLimits
from lynxscale.runtime.http_types import Request, Response


class RecordingTransport:
    """Records what is written. Implements the part of asyncio.Transport that is used here."""

    def __init__(self) -> None:
        self.written = b""

    def write(self, data: bytes) -> None:
        """Part of asyncio.Transport."""
        self.written += data

    def close(self) -> None:
        """Part of asyncio.Transport."""

    def is_closing(self) -> bool:
        """Part of asyncio.Transport."""
        return False

    def get_extra_info(self, name: str) -> None:
        """Part of asyncio.Transport."""

    def statuses(self) -> list[int]:
        """The statuses of the responses written so far."""
        return [int(part.split()[0]) for part in self.written.split(b"HTTP/1.1")[1:]]


def answer(request: Request, responder: Responder) -> None:
    responder.respond(Response(200))


def send(connection: ServerConnection, header_bytes: int) -> None:
    """Send a request with a long header in two pieces."""
    head = b"GET / HTTP/1.1\r\nhost: a\r\nfiller: " + b"x" * header_bytes
    connection.data_received(head)
    connection.data_received(b"\r\n\r\n")


@pytest.mark.parametrize(("limit_before", "limit_now", "status"), [(2_000, 16_000, 200), (16_000, 2_000, 431)])
def test_a_kept_connection_has_the_header_limit_that_is_in_force(limit_before, limit_now, status):
    """Regression: a connection kept the limit under which it was opened, and answered 431 by it."""
    limits = ServerLimits(header_bytes=limit_before)
    transport = RecordingTransport()
    connection = ServerConnection(answer, limits, World(1).machine("a:1").clock(), set())
    connection.connection_made(transport)
    send(connection, 10)
    limits.header_bytes = limit_now
    send(connection, 8_000)
    assert transport.statuses() == [200, status]


def test_a_request_beyond_limits_that_may_be_outdated_is_answered_503():
    for outdated, status in ((False, 431), (True, 503)):
        limits = ServerLimits(header_bytes=2_000, outdated=lambda outdated=outdated: outdated)
        transport = RecordingTransport()
        connection = ServerConnection(answer, limits, World(1).machine("a:1").clock(), set())
        connection.connection_made(transport)
        send(connection, 8_000)
        assert transport.statuses() == [status]
