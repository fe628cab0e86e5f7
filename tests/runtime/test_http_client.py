"""How the HTTP client parses responses that come in many pieces."""

import pytest

from lab.tier.world import World
from lynxscale.runtime.http_client import MAX_EVENTS_PER_TURN, ClientConnection, ResponseFailure
from lynxscale.runtime.http_types import Head, Request
from tests.runtime.test_http_server import RecordingTransport

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNKS = 1000
RESPONSE = HEAD + b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n"


class Receiver:
    """Records a response. Implements ResponseReceiver."""

    def __init__(self) -> None:
        self.body = b""
        self.ended = False
        self.failure: ResponseFailure | None = None

    def on_head(self, status: int, head: Head) -> None:
        """Part of ResponseReceiver."""

    def on_data(self, data: bytes) -> None:
        """Part of ResponseReceiver."""
        self.body += data

    def on_end(self) -> None:
        """Part of ResponseReceiver."""
        self.ended = True

    def on_failure(self, failure: ResponseFailure) -> None:
        """Part of ResponseReceiver."""
        self.failure = failure


@pytest.fixture
def sent():
    """A connection that has sent a request, with its world, transport and receiver."""
    world = World(1)
    connection = ClientConnection("b:1", world.machine("a:1").clock(), lambda idle: None)
    transport, receiver = RecordingTransport(), Receiver()
    connection.connection_made(transport)
    connection.send(Request("GET", "/", Head(((b"host", b"b"),))), receiver)
    return world, connection, transport, receiver


def test_a_response_in_small_chunks_is_parsed_some_a_turn_and_not_received_faster(sent):
    world, connection, transport, receiver = sent
    connection.data_received(RESPONSE)
    assert len(receiver.body) < MAX_EVENTS_PER_TURN and transport.reading_paused
    world.run(1.0)
    assert receiver.body == b"x" * CHUNKS and receiver.ended and not transport.reading_paused


def test_a_pause_of_the_receiver_outlasts_the_parsing(sent):
    world, connection, transport, receiver = sent
    connection.data_received(RESPONSE[:-5])
    connection.pause_reading()
    world.run(1.0)
    assert len(receiver.body) == CHUNKS and transport.reading_paused
    connection.resume_reading()
    assert not transport.reading_paused


def test_a_connection_that_ends_while_its_response_is_parsed_delivers_all_of_it(sent):
    world, connection, _, receiver = sent
    connection.data_received(RESPONSE)
    connection.connection_lost(None)
    world.run(1.0)
    assert receiver.body == b"x" * CHUNKS and receiver.ended and receiver.failure is None


def test_a_response_that_is_cut_off_while_it_is_parsed_fails(sent):
    world, connection, _, receiver = sent
    connection.data_received(RESPONSE[:-5])
    connection.connection_lost(None)
    world.run(1.0)
    assert not receiver.ended and receiver.failure is not None
