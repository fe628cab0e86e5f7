"""Choice of an endpoint and the queue for a place, by themselves: each test fails without the mechanism it names."""

from lab.tier.world import World
from lynxscale.dataplane.load_balancer import EndpointDemand, LoadBalancer
from lynxscale.dataplane.slot_queue import SlotQueue
from lynxscale.discovery.endpoint import Endpoint

SLOTS = 16


def balancer(zones: tuple[str, ...], own: str = "north") -> LoadBalancer:
    clock = World(1).machine("a:1").clock()
    one = LoadBalancer(own, clock, lambda address, connection: None)
    one.update_endpoints(
        [Endpoint(f"e{n}", "model", f"10.0.0.{n}:1", zone, SLOTS, "ready") for n, zone in enumerate(zones)]
    )
    for state in one.states.values():
        state.window = SLOTS
    return one


def place(one: LoadBalancer, key: str) -> str:
    state = one.choose("model", EndpointDemand(key, 0, 0), set())
    state.in_flight += 1
    return state.endpoint.id


def test_the_own_zone_takes_no_more_than_its_part():
    """Seen on scale-1: one zone's only endpoint took as much as two of another."""
    one = balancer(("north", "south", "south", "south"))
    chosen = [place(one, f"program{number}") for number in range(16)]
    assert 4 <= chosen.count("e0") <= 5
    assert len(set(chosen)) == 4


def test_the_own_zone_goes_first_while_loads_are_even():
    one = balancer(("south", "north", "south"))
    assert place(one, "program") == "e1"


def test_a_program_stays_where_its_prompt_is_cached_until_that_is_crowded():
    one = balancer(("north", "north", "north"))
    first = place(one, "program")
    one.states[first].in_flight = 6
    assert place(one, "program") == first
    one.states[first].in_flight = SLOTS * 3 // 4
    assert place(one, "program") != first


def test_relays_agree_on_a_programs_endpoint_without_a_message():
    chosen = {place(balancer(("north", "north", "north", "north")), "program") for _ in range(5)}
    assert len(chosen) == 1


def test_what_was_tried_is_tried_again_only_where_nothing_else_is():
    one = balancer(("north", "north"))
    assert one.choose("model", EndpointDemand("", 0, 0), {"e0"}).endpoint.id == "e1"
    assert one.choose("model", EndpointDemand("", 0, 0), {"e0", "e1"}) is not None


def test_the_most_urgent_that_waits_goes_first_and_all_places_are_filled():
    """A completed call frees a place and may widen the window by one: both places are to be used."""
    world = World(2)
    places, order = [0], []
    queue = SlotQueue(world.machine("a:1").clock(), lambda service: places[0] > 0)

    def take(name: str) -> None:
        places[0] -= 1
        order.append(name)

    for name, priority in (("late", 2), ("first", 0), ("second", 0), ("later", 2)):
        queue.enqueue("model", name, priority, lambda name=name: take(name))
    places[0] = 3
    queue.notify("model")
    world.run(world.time + 0.01)
    assert order == ["first", "second", "late"]
    places[0] = 1
    world.run(world.time + 0.1)
    assert order[-1] == "later"
