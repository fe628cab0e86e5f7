"""Limits of the HTTP server on connections that are older than the limits."""

import pytest

from lab.tier.world import World
from lynxscale.runtime.http_server import ServerConnection
from lynxscale.runtime.http_types import Request, Response
from lynxscale.runtime.memory_budget import MemoryBudget
from lynxscale.runtime.responder import Responder
from lynxscale.runtime.server_limits import ServerLimits


class RecordingTransport:
    """Records what is written. Implements the part of asyncio.Transport that is used here."""

    def __init__(self) -> None:
        self.written = b""
        self.unread = 0
        self.reading_paused = False
        self.aborted = False

    def abort(self) -> None:
        """Part of asyncio.Transport."""
        self.aborted = True

    def pause_reading(self) -> None:
        """Part of asyncio.Transport."""
        self.reading_paused = True

    def resume_reading(self) -> None:
        """Part of asyncio.Transport."""
        self.reading_paused = False

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

    def get_write_buffer_size(self) -> int:
        """Part of asyncio.Transport."""
        return self.unread

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


BODY_BYTES = 1000


def post(size: int, sent: int) -> bytes:
    """A request of which ``sent`` bytes of the body are sent."""
    return b"POST / HTTP/1.1\r\nhost: a\r\ncontent-length: %d\r\n\r\n" % size + b"x" * sent


def connect(limits: ServerLimits, handler=answer) -> tuple[ServerConnection, RecordingTransport]:
    transport = RecordingTransport()
    connection = ServerConnection(handler, limits, World(1).machine("a:1").clock(), set())
    connection.connection_made(transport)
    return connection, transport


def test_unfinished_bodies_together_take_no_more_than_their_memory_and_the_next_is_told_to_come_back():
    limits = ServerLimits(waiting_requests=MemoryBudget(2 * BODY_BYTES))
    connections = [connect(limits) for _ in range(3)]
    for connection, _ in connections:
        connection.data_received(post(BODY_BYTES, BODY_BYTES - 1))
    assert [transport.statuses() for _, transport in connections] == [[], [], [503]]
    assert b"retry-after" in connections[2][1].written
    assert limits.waiting_requests.used_bytes <= 2 * BODY_BYTES
    connections[0][0].data_received(b"x")
    connections[1][0].connection_lost(None)
    assert connections[0][1].statuses() == [200]
    assert limits.waiting_requests.used_bytes == 0


def test_the_memory_of_a_request_is_taken_until_its_response():
    responders = []
    limits = ServerLimits(waiting_requests=MemoryBudget(BODY_BYTES))
    connection, _ = connect(limits, lambda request, responder: responders.append(responder))
    connection.data_received(post(BODY_BYTES, BODY_BYTES))
    assert limits.waiting_requests.used_bytes == BODY_BYTES
    responders[0].respond(Response(200))
    assert limits.waiting_requests.used_bytes == 0


def test_a_client_that_sends_requests_without_reading_answers_is_not_read_from():
    connection, transport = connect(ServerLimits())
    connection.data_received(post(1, 1))
    connection.pause_writing()
    transport.unread = 5
    for _ in range(3):
        connection.data_received(post(BODY_BYTES, BODY_BYTES) * 40)
    assert transport.statuses() == [200] and transport.reading_paused
    transport.unread = 0
    connection.resume_writing()
    connection._clock._machine.world.run(1.0)
    assert transport.statuses() == [200] * 121 and not transport.reading_paused


def test_further_requests_count_and_are_received_no_more_than_a_little():
    limits = ServerLimits(waiting_requests=MemoryBudget(1_000_000))
    connection, transport = connect(limits, lambda request, responder: None)
    connection.data_received(post(1, 1) * 100)
    sent = 99 * len(post(1, 1))
    assert transport.reading_paused and limits.waiting_requests.used_bytes >= sent
    connection.connection_lost(None)
    assert limits.waiting_requests.used_bytes == 0


def test_a_head_that_does_not_end_counts():
    limits = ServerLimits(waiting_requests=MemoryBudget(10_000))
    connection, transport = connect(limits)
    connection.data_received(b"GET / HTTP/1.1\r\nfiller: " + b"x" * 8_000)
    assert limits.waiting_requests.used_bytes > 8_000
    connection.data_received(b"x" * 8_000)
    assert transport.statuses() == [503] and limits.waiting_requests.used_bytes == 0


def test_an_ordinary_request_is_served_and_the_largest_unfinished_one_is_refused():
    limits = ServerLimits(waiting_requests=MemoryBudget(3 * BODY_BYTES))
    unfinished = [connect(limits) for _ in range(2)]
    for (connection, _), size in zip(unfinished, (BODY_BYTES, 2 * BODY_BYTES - 500), strict=True):
        connection.data_received(post(2 * BODY_BYTES, size))
    ordinary, transport = connect(limits)
    ordinary.data_received(post(BODY_BYTES, BODY_BYTES))
    assert transport.statuses() == [200]
    assert [one.statuses() for _, one in unfinished] == [[], [503]]
    assert limits.waiting_requests.refusals == 1


def test_a_larger_request_is_served_before_smaller_ones_that_stand_still():
    limits = ServerLimits(waiting_requests=MemoryBudget(3 * BODY_BYTES))
    clock = World(1).machine("a:1").clock()
    still, still_transport = connect(limits)
    still.data_received(post(BODY_BYTES, BODY_BYTES - 1))
    still._progress_at = clock.now() - 2.0
    ordinary, transport = connect(limits)
    ordinary.data_received(post(int(2.5 * BODY_BYTES), int(2.5 * BODY_BYTES)))
    assert transport.statuses() == [200] and still_transport.statuses() == [503]


def test_a_request_that_is_answered_does_not_give_way():
    limits = ServerLimits(waiting_requests=MemoryBudget(3 * BODY_BYTES))
    answered, _ = connect(limits, lambda request, responder: None)
    answered.data_received(post(2 * BODY_BYTES, 2 * BODY_BYTES))
    answered._progress_at -= 2.0
    later, transport = connect(limits)
    later.data_received(post(2 * BODY_BYTES, 2 * BODY_BYTES))
    assert transport.statuses() == [503] and answered.busy


def connect_reader(limits: ServerLimits, unread: int) -> RecordingTransport:
    """A client that has read nothing for two seconds, of which so many bytes wait."""
    connection, transport = connect(limits)
    connection.pause_writing()
    transport.unread = unread
    connection._count_unread()
    connection._unread_at -= 2.0
    return transport


def test_a_client_that_does_not_read_gives_way_to_responses_of_others():
    limits = ServerLimits(waiting_responses=MemoryBudget(1_000))
    silent_transport = connect_reader(limits, unread=900)
    ordinary, transport = connect(limits)
    transport.unread = 500
    ordinary.data_received(post(1, 1))
    assert silent_transport.aborted and not transport.aborted
    assert limits.waiting_responses.used_bytes == 500


def test_a_slow_reader_that_reads_does_not_give_way_to_a_larger_response():
    limits = ServerLimits(waiting_responses=MemoryBudget(1_000))
    slow_transport = connect_reader(limits, unread=900)
    slow_transport.unread = 600
    larger, transport = connect(limits)
    transport.unread = 700
    larger.data_received(post(1, 1))
    assert not slow_transport.aborted and transport.aborted
