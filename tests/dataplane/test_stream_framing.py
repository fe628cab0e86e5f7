"""How streams are framed for the client, whatever their framing by the endpoint."""

import pytest

from lynxscale.dataplane.turns import COMMIT_TIMEOUT_S
from lynxscale.runtime.http_server import ServerConnection
from tests.runtime.test_http_server import RecordingTransport
from tests.simulated_tier import EVENTS, OUTPUT, executed_request, settled_tier

BEFORE_COMMIT_TIMEOUT_S = 1.0  # all events have arrived, and the commit is still pending


def lose_primaries(tier):
    """Kill all control members, so that nothing can be committed."""
    for host in tier.control_hosts:
        tier.kill_control(host)


def tier_with_lengths(length_error=0):
    """A tier whose endpoints state the length of their streams."""
    tier = settled_tier()
    for endpoint in tier.endpoints.values():
        endpoint.states_length = True
        endpoint.length_error = length_error
    return tier


@pytest.mark.parametrize("states_length", [False, True])
def test_a_turn_is_never_whole_for_its_client_before_it_is_durable(states_length):
    """Regression (review case 4): with the endpoint's Content-Length a turn was whole before its commit began."""
    tier = settled_tier()
    for endpoint in tier.endpoints.values():
        endpoint.states_length = states_length
    options = {"program": "p", "budget": "1000", "lynxscale_token_count": "100,40"}
    response, _ = tier.start_request("/kept/stream", **options)
    tier.world.run(tier.world.time + 0.08)  # it is admitted, and its stream has begun
    lose_primaries(tier)
    tier.world.run(tier.world.time + BEFORE_COMMIT_TIMEOUT_S)
    assert response.body == EVENTS and not response.complete
    tier.world.run(tier.world.time + COMMIT_TIMEOUT_S)
    assert response.ended and not response.complete


def test_a_durable_turn_is_completed_whatever_length_the_endpoint_stated():
    tier = tier_with_lengths()
    assert tier.turn("p", 1000, request_id="t1", body=b"hello ").complete
    assert tier.turn("p", 1000, request_id="t2", body=b"more", previous="t1").complete
    assert executed_request(tier, "t2").body == b"hello " + OUTPUT + b"more"


def test_a_stream_that_is_shorter_than_its_stated_length_is_aborted_and_not_retained():
    tier = tier_with_lengths(length_error=10)
    answer = tier.turn("p", 1000, request_id="t1", body=b"hello ")
    assert answer.body == EVENTS and not answer.complete
    assert tier.turn("p", 1000, previous="t1").status == 404


def test_a_stream_with_a_length_is_continued_by_an_endpoint_with_another_one():
    """The first head's length is not that of the whole: h11 raised, or the client waited for bytes that never came."""
    tier = tier_with_lengths()
    tier.endpoints["i-1"].event_tag = lambda request: b"-longer"
    tier.endpoints["i-0"].aborts_after = 2
    answers = [tier.request("/open/stream", request_id=f"x{number}") for number in range(6)]
    assert all(answer.complete for answer in answers)
    assert all(answer.body.count(b"data: word") == 4 for answer in answers)


def test_a_turn_answered_with_another_success_than_200_is_retained():
    """A client takes every 2xx for an answered turn."""
    tier = settled_tier()
    for endpoint in tier.endpoints.values():
        endpoint.status = 201
    assert tier.turn("p", 1000, request_id="t1", body=b"hello ").status == 201
    assert tier.turn("p", 1000, previous="t1").status == 201


@pytest.mark.parametrize("event_end", [b"\r\n\r\n", b"\r\r", b"\n\r\n"])
def test_events_that_end_with_carriage_returns_are_forwarded_and_retained(event_end):
    """Regression: a stream with CR LF CR LF between its events was never forwarded."""
    tier = settled_tier()
    for endpoint in tier.endpoints.values():
        endpoint.event_end = event_end
    answer = tier.turn("p", 1000, request_id="t1", body=b"hello ")
    assert answer.complete and answer.body.count(event_end) == 4
    assert tier.turn("p", 1000, request_id="t2", body=b"more", previous="t1").complete
    assert executed_request(tier, "t2").body == b"hello " + OUTPUT + b"more"


class OldClient(RecordingTransport):
    """A client of HTTP/1.0 on a connection of its own to a relay."""

    def __init__(self, tier, path):
        super().__init__()
        self.ended = ""
        relay = tier.relays[tier.relay_hosts[0]]
        clock = tier.world.machine(f"{tier.relay_hosts[0]}:7000").clock()
        self.connection = ServerConnection(relay.handle_request, relay.limits, clock, set())
        self.connection.connection_made(self)
        head = b"POST %b HTTP/1.0\r\nhost: tier.example\r\nlynxscale-request-id: a\r\n" % path
        head += b"lynxscale-deadline-ms: 4000\r\nprogram: p\r\nbudget: 1000\r\nlynxscale-token-count: 9,40\r\n"
        self.connection.data_received(head + b"content-length: 2\r\n\r\nhi")

    @property
    def body(self):
        """The bytes of the response's body so far."""
        return self.written.partition(b"\r\n\r\n")[2]

    def close(self):
        """Part of asyncio.Transport."""
        self.ended = self.ended or "closed"

    def abort(self):
        """Part of asyncio.Transport."""
        self.ended = self.ended or "reset"


@pytest.mark.parametrize("trailer", [b"", b": that was all\n\n"])
def test_a_client_without_chunks_gets_the_last_event_of_a_turn_once_it_is_durable(trailer):
    """HTTP/1.0 has no end but that of the connection, so that the last event stands for the end."""
    tier = settled_tier()
    for endpoint in tier.endpoints.values():
        endpoint.trailer = trailer
    client = OldClient(tier, b"/kept/stream")
    tier.world.run(tier.world.time + 1.0)
    assert (client.body, client.ended) == (EVENTS + trailer, "closed")
    client = OldClient(tier, b"/kept/stream")
    tier.world.run(tier.world.time + 0.08)
    lose_primaries(tier)
    tier.world.run(tier.world.time + COMMIT_TIMEOUT_S + 2.0)
    assert client.ended == "reset"
    assert client.body and EVENTS.startswith(client.body) and client.body != EVENTS
