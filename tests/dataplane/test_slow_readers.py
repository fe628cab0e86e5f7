"""Responses that nobody reads, and responses that are too large for the memory of a relay."""

import pytest

from lab.tier.simulated_tcp import SimulatedTransport
from lynxscale.runtime.http_server import ServerConnection
from tests.dataplane.test_stream_framing import RecordingTransport
from tests.simulated_tier import settled_tier

HEAD = (
    b"POST %b HTTP/1.1\r\nhost: tier.example\r\nlynxscale-request-id: a\r\nlynxscale-deadline-ms: 4000\r\n"
    b"program: p\r\nbudget: 1000\r\nlynxscale-token-count: 9,40\r\ncontent-length: 2\r\n\r\nhi"
)


class SlowClient(RecordingTransport):
    """A client on a connection of its own to a relay, which reads nothing of the body of a response."""

    def __init__(self, tier, path):
        super().__init__()
        self.closed = False
        relay = tier.relays[tier.relay_hosts[0]]
        clock = tier.world.machine(f"{tier.relay_hosts[0]}:7000").clock()
        self.connection = ServerConnection(relay.handle_request, relay.limits, clock, set())
        self.connection.connection_made(self)
        self.connection.data_received(HEAD % path)

    def write(self, data):
        """Part of asyncio.Transport."""
        super().write(data)
        self.unread += len(data)
        if not self.connection.write_paused:
            self.connection.pause_writing()

    def close(self):
        """Part of asyncio.Transport."""
        self.closed = True

    def read_all(self):
        """Read what was sent."""
        self.unread = 0
        self.connection.resume_writing()


def test_an_endpoint_waits_for_a_client_that_does_not_read_its_stream(monkeypatch):
    calls = []
    monkeypatch.setattr(SimulatedTransport, "pause_reading", lambda transport: calls.append("pause"))
    monkeypatch.setattr(SimulatedTransport, "resume_reading", lambda transport: calls.append("resume"))
    tier = settled_tier()
    client = SlowClient(tier, b"/open/stream")
    tier.world.run_until(lambda: calls, 2.0)
    assert calls == ["pause"]
    client.read_all()
    assert calls == ["pause", "resume"]
    tier.world.run(tier.world.time + 1.0)
    client.read_all()
    assert client.written.endswith(b"0\r\n\r\n")


def test_bytes_that_a_client_does_not_read_count_as_waiting():
    tier = settled_tier()
    budget = tier.relays[tier.relay_hosts[0]].limits.waiting_responses
    client = SlowClient(tier, b"/look/1")
    tier.world.run(tier.world.time + 1.0)
    assert budget.used_bytes == client.unread > 0
    client.read_all()
    assert budget.used_bytes == 0


@pytest.mark.parametrize(("path", "status"), [("/look/1", 502), ("/book/1", 502), ("/kept/stream", 502)])
def test_a_response_without_memory_is_given_up_and_gives_its_memory_back(path, status):
    tier = settled_tier()
    budget = tier.relays[tier.relay_hosts[0]].limits.waiting_responses
    budget.limit_bytes = 3
    response = tier.turn("p", 1000, request_id="t", path=path) if "stream" in path else tier.request(path)
    assert response.status == status and not response.body
    assert budget.used_bytes == 0 and budget.refusals
    budget.limit_bytes = float("inf")
    assert tier.request("/look/1", request_id="later").status == 200


def test_a_history_without_memory_is_refused_and_its_reservation_released():
    tier = settled_tier()
    assert tier.turn("p", 1000, request_id="t1", body=b"hello ").complete
    for relay in tier.relays.values():
        relay.limits.waiting_responses.limit_bytes = 3
    assert tier.turn("p", 1000, max_tokens=900, request_id="t2", body=b"more", previous="t1").status == 503
    for relay in tier.relays.values():
        relay.limits.waiting_responses.limit_bytes = float("inf")
    tier.world.run(tier.world.time + 1.0)
    assert tier.turn("p", 1000, max_tokens=900, request_id="t3", body=b"more", previous="t1").status == 200
