"""Attempts at endpoints, on a simulated tier."""

from unittest.mock import patch

import pytest

from lab.tier.simulated_tier import INTERNAL_PORT, MODEL
from lynxscale.runtime.http_client import ClientConnection
from tests.simulated_tier import endpoints_that_ran, settled_tier


def test_an_address_that_another_endpoint_has_now_executes_nothing():
    tier = settled_tier()
    for name in ("i-2", "i-3"):
        address = tier.endpoints[name].endpoint.address
        tier.platform.rejects = True
        tier.add_endpoint(MODEL, address, f"new-{name}", slots=8)
    answer = tier.request("/book/1", request_id="m")
    assert answer.status == 503
    assert endpoints_that_ran(tier, "m") == []


def test_an_attempt_gives_its_slot_and_its_tokens_back():
    tier = settled_tier()
    relay = tier.relays[tier.relay_hosts[0]]
    answer, connection = tier.start_request("/open/stream", lynxscale_token_count="100,40")
    tier.world.run(tier.world.time + 0.05)
    assert sum(state.tokens_in_flight for state in relay.balancer.states.values()) == 140
    assert tier.world.run_until(lambda: answer.ended, 2.0)
    assert sum(state.tokens_in_flight for state in relay.balancer.states.values()) == 0
    _, connection = tier.start_request("/open/stream", lynxscale_token_count="100,40")
    tier.world.run(tier.world.time + 0.05)
    connection.close()
    tier.world.run(tier.world.time + 0.05)
    assert all(state.tokens_in_flight == state.in_flight == 0 for state in relay.balancer.states.values())


def test_a_response_that_is_rejected_ends_its_connection():
    tier = settled_tier()
    relay = tier.relays[tier.relay_hosts[0]]
    closed: list[str] = []
    close = ClientConnection.close

    def watch(connection: ClientConnection) -> None:
        closed.append(connection.address)
        close(connection)

    for name in ("i-2", "i-3"):
        tier.endpoints[name].signed = False
    with patch.object(ClientConnection, "close", watch):
        assert tier.request("/book/1").status == 502
    assert len(closed) == 1
    assert not any(state.connections.has_idle for state in relay.balancer.states.values())


def test_the_latency_of_an_attempt_is_that_of_its_first_byte():
    tier = settled_tier()
    for name in ("i-0", "i-1"):
        tier.endpoints[name].events = 50  # takes more than a second; the first event arrives after about 50 ms
    assert tier.request("/open/stream").complete
    relay = tier.relays[tier.relay_hosts[0]]
    latencies = [state.recent_latency_ms for state in relay.balancer.states.values() if state.recent_latency_ms]
    assert len(latencies) == 1 and 40 < latencies[0] < 200


def test_a_response_that_began_is_not_restarted():
    tier = settled_tier()
    relay = tier.relays[tier.relay_hosts[0]]
    for name in ("i-0", "i-1"):
        for _ in range(20):
            relay.balancer.states[name].on_success(60.0)
        tier.endpoints[name].events = 50
    assert tier.request("/open/stream", request_id="s").complete
    assert len(endpoints_that_ran(tier, "s")) == 1
    assert all(state.failure_rate.current == 0 for state in relay.balancer.states.values())


@pytest.mark.parametrize("frozen_s", [2.0, 8.0])
def test_a_relay_that_was_frozen_amid_its_first_attempts_serves_again(frozen_s):
    """Regression: it took the freeze for an endpoint's latency, and refused the requests with less time than that."""
    tier = settled_tier()
    host = tier.relay_hosts[0]
    answers = [tier.start_request("/open/stream", lynxscale_token_count="10,40")[0] for _ in range(2)]
    assert tier.world.run_until(lambda: sum(len(endpoint.executed) for endpoint in tier.endpoints.values()) == 2, 2.0)
    tier.world.machine(f"{host}:{INTERNAL_PORT}").freeze(frozen_s)
    assert tier.world.run_until(lambda: all(answer.ended for answer in answers), 12.0)
    tier.world.run(tier.world.time + 1.0)
    assert [tier.request("/open/stream", lynxscale_token_count="10,40").status for _ in range(6)] == [200] * 6
