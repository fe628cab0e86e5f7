"""What a relay learns of an endpoint from its attempts."""

from tests.simulated_tier import settled_tier


def test_the_window_starts_at_one_and_grows_with_successes():
    tier = settled_tier()
    relay = tier.relays[tier.relay_hosts[0]]
    for endpoint in tier.endpoints.values():
        endpoint.service_time_s = 0.2
    for _ in range(4):
        tier.start_request("/look/1", method="GET")
    tier.world.run(tier.world.time + 0.1)
    assert all(state.in_flight <= 1 for state in relay.balancer.states.values())
    tier.world.run(tier.world.time + 2)
    for _ in range(30):
        tier.request("/look/1", method="GET")
    assert max(state.window for state in relay.balancer.states.values()) > 3
    assert all(state.window <= 6 for state in relay.balancer.states.values())
