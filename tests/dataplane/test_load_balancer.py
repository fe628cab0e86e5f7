"""The choice of an endpoint. Each test fails without the mechanism that it names."""

import pytest

from lab.tier.simulated_tier import SimulatedTier, default_configuration
from lab.tier.world import World
from lynxscale.dataplane import load_balancer as load_balancer_module
from lynxscale.dataplane.load_balancer import EJECTION_FAILURE_RATE, EndpointDemand, LoadBalancer
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.runtime.http_client import ClientState
from tests.simulated_tier import endpoints_that_ran, settled_tier

SLOTS = 16


def load_balancer(zones: tuple[str, ...], local_zone: str = "north") -> LoadBalancer:
    """A load balancer for one service, with one endpoint in each of the zones."""
    clock = World(1).machine("a:1").clock()
    balancer = LoadBalancer(local_zone, clock, lambda address, connection: None)
    balancer.update_endpoints(
        [Endpoint(f"e{n}", "model", f"10.0.0.{n}:1", zone, SLOTS, "ready") for n, zone in enumerate(zones)]
    )
    for state in balancer.states.values():
        state.window = SLOTS
    return balancer


def send_to_chosen(balancer: LoadBalancer, key: str) -> str:
    """Choose an endpoint for a request with the key, count the request there, and return the endpoint's id."""
    state = balancer.choose("model", EndpointDemand(key, 0, 0), set())
    state.in_flight += 1
    return state.endpoint.id


def test_the_own_zone_is_loaded_no_more_than_the_bound():
    """Guards against overload of a small zone: its only endpoint got as much load as two of another zone."""
    balancer = load_balancer(("north", "south", "south", "south"))
    chosen = [send_to_chosen(balancer, f"program{number}") for number in range(16)]
    assert 4 <= chosen.count("e0") <= 5
    assert len(set(chosen)) == 4


def test_the_own_zone_is_preferred_while_loads_are_even():
    balancer = load_balancer(("south", "north", "south"))
    assert send_to_chosen(balancer, "program") == "e1"


def test_a_program_keeps_its_endpoint_until_that_is_overloaded():
    balancer = load_balancer(("north", "north", "north"))
    first = send_to_chosen(balancer, "program")
    balancer.states[first].in_flight = 6
    assert send_to_chosen(balancer, "program") == first
    balancer.states[first].in_flight = SLOTS * 3 // 4
    assert send_to_chosen(balancer, "program") != first


def test_relays_agree_on_a_programs_endpoint_without_a_message():
    chosen = {send_to_chosen(load_balancer(("north", "north", "north", "north")), "program") for _ in range(5)}
    assert len(chosen) == 1


def test_an_attempted_endpoint_is_chosen_again_only_where_there_is_no_other():
    balancer = load_balancer(("north", "north"))
    assert balancer.choose("model", EndpointDemand("", 0, 0), {"e0"}).endpoint.id == "e1"
    assert balancer.choose("model", EndpointDemand("", 0, 0), {"e0", "e1"}) is not None


def test_requests_wait_while_an_endpoints_kv_cache_would_not_hold_them():
    """Guards against overcommitting the KV cache: with an endpoint down, hundreds of requests were preempted."""
    tier = SimulatedTier(World(4))
    table = default_configuration()
    table["services"][0]["engine"]["kv-capacity-tokens"] = 1000
    assert tier.push(table, 0).status == 200
    assert tier.world.run_until(lambda: all(relay.ready for relay in tier.relays.values()), 5.0)
    for _ in range(20):
        tier.request("/open/stream", lynxscale_token_count="100,40")
    for endpoint in tier.endpoints.values():
        endpoint.max_running = 0
    answers = [tier.start_request("/open/stream", lynxscale_token_count="400,100")[0] for _ in range(6)]
    tier.world.run(tier.world.time + 2.0)
    assert all(answer.status == 200 for answer in answers)
    assert max(endpoint.max_running for endpoint in tier.endpoints.values()) == 1


def test_an_endpoint_with_a_high_failure_rate_is_ejected_and_attempted_again_later():
    tier = settled_tier()
    tier.endpoints["i-2"].fails = True
    for number in range(40):
        tier.request("/look/1", method="GET", request_id=f"g{number}")
    late = [number for number in range(20, 40) if "i-2" in endpoints_that_ran(tier, f"g{number}")]
    assert len(late) <= 4
    tier.endpoints["i-2"].fails = False
    tier.world.run(tier.world.time + 10)
    for number in range(40):
        assert tier.request("/look/1", method="GET", request_id=f"h{number}").status == 200
    assert any("i-2" in endpoints_that_ran(tier, f"h{number}") for number in range(40))


def set_listed_state(balancer: LoadBalancer, state: str) -> None:
    """Replace the endpoint list by one with a single endpoint, ``e0``, in the given state."""
    balancer.update_endpoints([Endpoint("e0", "model", "10.0.0.0:1", "north", SLOTS, state)])


def test_an_endpoint_that_turns_ready_gets_requests_and_starts_with_a_window_of_one():
    """Guards against ignoring the change: an endpoint that was first listed as not ready got no requests at all."""
    balancer = load_balancer(())
    set_listed_state(balancer, "starting")
    assert balancer.choose("model", EndpointDemand("", 0, 0), set()) is None
    set_listed_state(balancer, "ready")
    assert send_to_chosen(balancer, "") == "e0"
    assert balancer.choose("model", EndpointDemand("", 0, 0), set()) is None


def test_an_endpoint_that_drained_and_turns_ready_again_starts_afresh():
    balancer = load_balancer(("north",))
    before = balancer.states["e0"]
    set_listed_state(balancer, "draining")
    assert balancer.choose("model", EndpointDemand("", 0, 0), set()) is None
    set_listed_state(balancer, "ready")
    assert send_to_chosen(balancer, "") == "e0"
    assert balancer.states["e0"] is not before and balancer.states["e0"].window == 1
    set_listed_state(balancer, "draining")
    assert not balancer.states["e0"].ready


def test_an_endpoint_that_lost_its_address_stays_unavailable_while_it_is_listed_as_ready():
    """The platform's list lags, so an unchanged list must not make the endpoint available again."""
    balancer = load_balancer(("north",))
    balancer.states["e0"].mark_unavailable()
    set_listed_state(balancer, "ready")
    assert balancer.choose("model", EndpointDemand("", 0, 0), set()) is None


@pytest.mark.parametrize(("failing", "avoided"), [(1, True), (2, True), (3, False)])
def test_ejection_leaves_at_least_half_of_a_services_endpoints(failing, avoided):
    """If more than half fail, the cause is probably elsewhere, and the remaining endpoints would be overloaded."""
    balancer = load_balancer(("north",) * 4)
    states = [balancer.states[f"e{number}"] for number in range(4)]
    for state in states[:failing]:
        for _ in range(4):
            state.on_error_response()
        state.recent_latency_ms = 1.0
    for state in states[failing:]:
        state.in_flight = 5  # chosen only if the others are ejected, as their load is higher
        state.recent_latency_ms = 1.0
    chosen = {balancer.choose("model", EndpointDemand("", 0, 0), set()).endpoint.id for _ in range(8)}
    assert chosen.isdisjoint({f"e{number}" for number in range(failing)}) == avoided


def test_ejected_endpoints_count_against_all_ready_ones_not_only_those_with_room():
    balancer = load_balancer(("north",) * 4)
    for number in (0, 1):
        balancer.states[f"e{number}"].in_flight = SLOTS  # full
    for _ in range(4):
        balancer.states["e2"].on_error_response()
    balancer.states["e3"].in_flight = 5
    # Only e2 and e3 have free slots; ejecting e2 would leave one of four ready endpoints, less than half.
    assert balancer.choose("model", EndpointDemand("", 0, 0), set()).endpoint.id == "e2"


def test_a_failure_rate_at_the_limit_ejects():
    balancer = load_balancer(("north", "north"))
    balancer.states["e0"].failure_rate._rate = EJECTION_FAILURE_RATE
    balancer.states["e1"].in_flight = 5
    assert balancer.choose("model", EndpointDemand("", 0, 0), set()).endpoint.id == "e1"


def test_an_endpoint_that_leaves_the_list_gets_nothing_and_its_connections_are_closed():
    balancer = load_balancer(("north", "north"))
    gone = balancer.states["e1"]
    connection = gone.connections.acquire()
    gone.connections._idle.append(connection)
    set_listed_state(balancer, "ready")
    assert not gone.ready and not gone.connections._idle
    assert {balancer.choose("model", EndpointDemand("", 0, 0), set()).endpoint.id for _ in range(4)} == {"e0"}


def test_a_new_list_serves_the_queue_at_once():
    world = World(1)
    balancer = LoadBalancer("north", world.machine("a:1").clock(), lambda address, connection: None)
    served: list[float] = []
    balancer.queue.enqueue("model", "waiter", 0, lambda: served.append(world.time))
    set_listed_state(balancer, "ready")
    world.run(world.time + 0.01)
    assert served == [0.0]


def test_calls_without_affinity_prefer_own_zone_idle_connections_low_load_and_fast_endpoints():
    def chosen(balancer: LoadBalancer) -> str:
        return balancer.choose("model", EndpointDemand("", 0, 0), set()).endpoint.id

    assert chosen(load_balancer(("south", "north"))) == "e1"
    connected = load_balancer(("north", "north"))
    idle = connected.states["e1"].connections.acquire()
    idle.state, idle.idle_until = ClientState.IDLE, 5.0
    connected.states["e1"].connections._idle.append(idle)
    assert chosen(connected) == "e1"
    loaded = load_balancer(("north", "north"))
    loaded.states["e0"].in_flight = 1
    assert chosen(loaded) == "e1"
    slow = load_balancer(("north", "north"))
    slow.states["e0"].recent_latency_ms, slow.states["e1"].recent_latency_ms = 400.0, 100.0
    assert chosen(slow) == "e1"


def test_the_load_bound_has_slack_so_that_few_requests_do_not_scatter():
    balancer = load_balancer(("south",) * 4)
    first = send_to_chosen(balancer, "program")
    balancer._last_endpoint.clear()
    assert send_to_chosen(balancer, "program") == first  # its load of 1 is within 1.25 x mean + 1


def test_requests_of_other_relays_count_as_typical_ones_in_the_kv_cache():
    balancer = load_balancer(("north", "north"))
    for _ in range(200):
        balancer.choose("model", EndpointDemand("p", 100, 10_000), set())
    full = balancer.states["e0"]
    full.in_flight, full.tokens_in_flight = 1, 100
    full.on_load_report(9)  # eight requests of other relays, about 100 tokens each
    assert balancer.choose("model", EndpointDemand("q", 100, 1_000), set()).endpoint.id == "e1"
    balancer.states["e1"].mark_unavailable()
    assert balancer.choose("model", EndpointDemand("q", 100, 1_000), set()) is None
    assert balancer.choose("model", EndpointDemand("q", 100, 2_000), set()) is full


def test_the_keys_remembered_are_bounded_and_the_least_recently_used_goes_first(monkeypatch):
    monkeypatch.setattr(load_balancer_module, "MAX_AFFINITY_KEYS", 3)
    balancer = load_balancer(("north",) * 2)
    for key in ("a", "b", "c", "a", "d"):
        balancer.choose("model", EndpointDemand(key, 0, 0), set())
    assert list(balancer._last_endpoint) == ["c", "a", "d"]
