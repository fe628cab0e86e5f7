"""The state of an endpoint, as attempts change it."""

from math import inf

import pytest

from lab.tier.world import World
from lynxscale.dataplane.endpoint_state import (
    FAILURE_COOLDOWN_S,
    INITIAL_RESTART_TOKENS,
    MAX_FAILURE_COOLDOWN_S,
    MAX_RESTART_TOKENS,
    REJECTION_COOLDOWN_S,
    REPORTED_LOAD_LIFETIME_S,
    RESTART_TOKENS_PER_SUCCESS,
    EndpointState,
)
from lynxscale.discovery.endpoint import Endpoint
from tests.simulated_tier import settled_tier

SLOTS = 8


def endpoint_state(world: World) -> EndpointState:
    """A ready endpoint with ``SLOTS`` slots and no attempts yet."""
    endpoint = Endpoint("e", "model", "10.0.0.1:1", "north", SLOTS, "ready")
    return EndpointState(endpoint, world.machine("a:1").clock(), lambda address, connection: None)


def cooldown_s(world: World, state: EndpointState) -> float:
    """Seconds until a request may be sent again."""
    return max(0.0, state.cooldown_until - world.time)


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


def test_a_rejection_halves_the_window_and_begins_a_cooldown():
    world = World(1)
    state = endpoint_state(world)
    state.window = 6
    state.on_rejected()
    assert state.window == 3
    assert not state.may_send(world.time)
    assert cooldown_s(world, state) == pytest.approx(REJECTION_COOLDOWN_S)
    assert state.may_send(world.time + REJECTION_COOLDOWN_S)
    assert state.sample.attempts[-1][1] == inf
    state.on_rejected()
    state.on_rejected()
    assert state.window == 1


def test_failures_in_a_row_double_the_cooldown_up_to_its_bound():
    world = World(1)
    state = endpoint_state(world)
    cooldowns = []
    for _ in range(7):
        state.on_failure()
        cooldowns.append(cooldown_s(world, state))
    assert cooldowns[0] == 0.0  # a single failure may be random
    doubled = [FAILURE_COOLDOWN_S * 2**number for number in range(1, 4)]
    assert cooldowns[1:] == pytest.approx([*doubled, *[MAX_FAILURE_COOLDOWN_S] * 3])


def test_a_success_ends_a_row_of_failures():
    world = World(1)
    state = endpoint_state(world)
    state.on_failure()
    state.on_success(50.0)
    state.on_failure()
    assert not state.failing and state.may_send(world.time)
    state.on_failure()
    assert state.failing and not state.may_send(world.time)


def test_failures_raise_the_failure_rate_and_successes_lower_it():
    state = endpoint_state(World(1))
    state.on_failure()
    after_failure = state.failure_rate.current
    assert after_failure > 0
    assert state.sample.attempts[-1][1] == inf
    state.on_success(50.0)
    assert state.failure_rate.current < after_failure
    before = state.failure_rate.current
    state.on_error_response()
    assert state.failure_rate.current > before


def test_an_expired_deadline_is_a_failure_that_halves_the_window():
    state = endpoint_state(World(1))
    state.window = 5
    state.on_deadline_expired()
    state.on_deadline_expired()
    assert state.window == 1
    assert state.failing and state.failure_rate.current > 0


def test_a_restart_takes_a_token_that_successes_give_back():
    state = endpoint_state(World(1))
    state.on_restart()
    assert state.restart_tokens == INITIAL_RESTART_TOKENS - 1
    assert 0 < state.failure_rate.current < 0.2  # weaker evidence than a failure
    assert state.sample.attempts[-1][1] == inf
    state.on_success(50.0)
    assert state.restart_tokens == pytest.approx(RESTART_TOKENS_PER_SUCCESS)
    for _ in range(100):
        state.on_success(50.0)
    assert state.restart_tokens == MAX_RESTART_TOKENS


def test_half_of_the_slots_are_used_while_an_endpoint_fails_or_is_slow():
    world = World(1)
    failing, slow, healthy = (endpoint_state(world) for _ in range(3))
    for state in (failing, slow, healthy):
        for _ in range(20):
            state.on_success(50.0)
    assert healthy.concurrency_limit == 6
    failing.on_failure()
    assert failing.concurrency_limit == 6
    failing.on_failure()
    assert failing.concurrency_limit == 4
    for _ in range(8):
        slow.on_success(400.0)
    assert slow.slow and not slow.failing
    assert slow.concurrency_limit == 4
    assert not endpoint_state(world).slow


def test_the_recent_latency_follows_the_newest_attempts():
    state = endpoint_state(World(1))
    state.on_success(100.0)
    assert state.recent_latency_ms == 100.0
    state.on_success(200.0)
    assert state.recent_latency_ms == pytest.approx(120.0)
    state.on_success(20.0)
    assert state.recent_latency_ms == pytest.approx(100.0)


def test_the_load_of_others_is_what_was_reported_beyond_the_own_and_fades():
    world = World(1)
    state = endpoint_state(world)
    state.in_flight = 2
    state.on_load_report(6)
    assert state.load == 6
    world.run(world.time + REPORTED_LOAD_LIFETIME_S / 2)
    assert state.load == pytest.approx(4)
    world.run(world.time + REPORTED_LOAD_LIFETIME_S)
    assert state.load == 2
    state.on_load_report(1)
    assert state.load == 2  # never less than the requests known to be in flight


def test_the_kv_cache_counts_own_tokens_exactly_and_those_of_others_as_typical():
    world = World(1)
    state = endpoint_state(world)
    state.in_flight, state.tokens_in_flight = 2, 700
    state.on_load_report(5)
    assert state.kv_cache_load(typical_tokens=100.0) == 700 + 3 * 100
    world.run(world.time + 2 * REPORTED_LOAD_LIFETIME_S)
    assert state.kv_cache_load(typical_tokens=100.0) == 700


def test_an_unavailable_endpoint_gets_nothing_and_keeps_no_connection():
    world = World(1)
    state = endpoint_state(world)
    idle = state.connections.acquire()
    idle.idle_until = world.time + 5.0
    state.connections._idle.append(idle)
    state.mark_unavailable()
    assert not state.may_send(world.time)
    assert not state.connections._idle
