"""How the work of connections is divided among turns of the event loop."""

from lab.tier.world import World
from lynxscale.runtime.http_server import ServerConnection
from lynxscale.runtime.http_types import Request, Response
from lynxscale.runtime.loop_turns import SLICE_UNITS, TURN_UNITS, LoopTurns
from lynxscale.runtime.responder import Responder
from lynxscale.runtime.server_limits import ServerLimits
from tests.runtime.test_http_server import RecordingTransport

GET = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"
CHUNKED = b"POST / HTTP/1.1\r\nhost: a\r\ntransfer-encoding: chunked\r\n\r\n"
CHUNKS = 5000
MOST_TURNS = 100


class Connections:
    """Connections that share the turns of one listener; requests are answered at once. ``answered``: their bodies."""

    def __init__(self) -> None:
        self.world = World(1)
        self.answered: list[bytes] = []
        self._clock = self.world.machine("a:1").clock()
        self._turns = LoopTurns(TURN_UNITS)

    def connect(self) -> tuple[ServerConnection, RecordingTransport]:
        transport = RecordingTransport()
        connection = ServerConnection(self._answer, ServerLimits(), self._clock, set(), turns=self._turns)
        connection.connection_made(transport)
        return connection, transport

    def _answer(self, request: Request, responder: Responder) -> None:
        self.answered.append(request.body)
        responder.respond(Response(200))


def test_requests_sent_ahead_are_answered_one_a_turn():
    connections = Connections()
    connection, transport = connections.connect()
    connection.data_received(GET * 100)
    assert len(connections.answered) == 1
    connections.world.run(1.0)
    assert transport.statuses() == [200] * 100


def test_small_chunks_are_parsed_a_slice_a_turn():
    connections = Connections()
    connection, _ = connections.connect()
    connection.data_received(CHUNKED + b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n")
    assert len(connection._body) <= SLICE_UNITS
    connections.world.run(1.0)
    assert connections.answered == [b"x" * CHUNKS]


def test_a_turn_of_many_connections_is_bounded_and_a_single_request_is_served_before_their_rest():
    connections = Connections()
    crowd = [connections.connect()[0] for _ in range(50)]
    for connection in crowd:
        connection.data_received(CHUNKED + b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n")
    assert sum(len(connection._body) for connection in crowd) <= TURN_UNITS
    ordinary, transport = connections.connect()
    ordinary.data_received(GET)
    connections.world.run(1.0)
    assert transport.statuses() == [200]
    assert connections.answered == [b"", *[b"x" * CHUNKS] * 50]


def test_what_has_used_up_a_slice_gets_a_turn_however_many_others_come():
    world, turns = World(1), LoopTurns(TURN_UNITS)
    clock = world.machine("a:1").clock()
    served, came = [], []

    def come_again() -> None:
        came.append(len(served))
        turns.spend(TURN_UNITS)
        if len(came) < MOST_TURNS:
            turns.wait(clock, come_again, slice_used=False)

    turns.wait(clock, come_again, slice_used=False)
    for number in range(3):
        turns.wait(clock, lambda number=number: served.append(number), slice_used=True)
    world.run(1.0)
    assert served == [0, 1, 2]
    assert came[4] == 3


def test_a_long_body_is_received_however_many_others_come():
    connections = Connections()
    long, _ = connections.connect()
    long.data_received(CHUNKED + b"1\r\nx\r\n" * CHUNKS + b"0\r\n\r\n")
    for _ in range(CHUNKS):
        if b"x" * CHUNKS in connections.answered:
            return
        for _ in range(TURN_UNITS // SLICE_UNITS + 1):
            connections.connect()[0].data_received(CHUNKED + b"1\r\nx\r\n" * SLICE_UNITS)
        connections.world.run(1e-6)
    raise AssertionError("the long body is not received")


def test_a_connection_that_is_closed_while_it_waits_for_its_turn_is_left_alone():
    connections = Connections()
    connection, transport = connections.connect()
    connection.data_received(GET * 3)
    connection.close()
    connections.world.run(1.0)
    assert transport.statuses() == [200]
