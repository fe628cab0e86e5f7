"""The queue of requests that wait for a slot."""

from lab.tier.world import World
from lynxscale.dataplane.slot_queue import SlotQueue


def test_the_queue_is_served_by_priority_until_all_slots_are_taken():
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
