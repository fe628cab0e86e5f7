"""The queue of requests that wait for a slot."""

from lab.tier.world import World
from lynxscale.dataplane.slot_queue import POLL_INTERVAL_S, SlotQueue


def test_the_queue_is_served_by_priority_until_all_slots_are_taken():
    """A completed call releases a slot and may increase the window by one; both slots have to be used."""
    world = World(2)
    free_slots, order = [0], []
    queue = SlotQueue(world.machine("a:1").clock(), lambda service: free_slots[0] > 0)

    def take(name: str) -> None:
        free_slots[0] -= 1
        order.append(name)

    for name, priority in (("late", 2), ("first", 0), ("second", 0), ("later", 2)):
        queue.enqueue("model", name, priority, lambda name=name: take(name))
    free_slots[0] = 3
    queue.notify("model")
    world.run(world.time + 0.01)
    assert order == ["first", "second", "late"]
    free_slots[0] = 1
    world.run(world.time + 0.1)
    assert order[-1] == "later"


def test_a_waiter_that_was_removed_is_not_called():
    world = World(2)
    called: list[str] = []
    queue = SlotQueue(world.machine("a:1").clock(), lambda service: True)
    queue.enqueue("model", "gone", 0, lambda: called.append("gone"))
    queue.enqueue("model", "there", 0, lambda: called.append("there"))
    queue.remove("model", "gone")
    queue.remove("model", "never queued")
    queue.remove("other", "gone")
    world.run(world.time + 1)
    assert called == ["there"]


def test_a_notification_serves_at_once_and_a_change_of_endpoints_notifies_all_services():
    world = World(2)
    called: list[str] = []
    queue = SlotQueue(world.machine("a:1").clock(), lambda service: True)
    queue.enqueue("model", "a", 0, lambda: called.append("model"))
    queue.enqueue("tools", "b", 0, lambda: called.append("tools"))
    queue.notify("model")
    world.run(world.time + POLL_INTERVAL_S / 10)
    assert called == ["model"]
    queue.notify_all()
    world.run(world.time + POLL_INTERVAL_S / 10)
    assert called == ["model", "tools"]


def test_without_a_notification_the_queue_looks_again_and_again():
    world = World(2)
    free_at = 0.4
    called: list[float] = []
    queue = SlotQueue(world.machine("a:1").clock(), lambda service: world.time >= free_at)
    queue.enqueue("model", "a", 0, lambda: called.append(world.time))
    world.run(world.time + 1)
    assert len(called) == 1 and free_at <= called[0] <= free_at + 2 * POLL_INTERVAL_S
