"""Retention of records: which keys expire, and in which order."""

from lab.tier.world import World
from lynxscale.controlplane.retention import RetentionTracker


def test_children_expire_before_the_parents_they_retain():
    machine = World(1).machine("a:1")
    tracker = RetentionTracker(machine.clock())
    tracker.retain("first", 1.0)
    tracker.retain("second", 5.0, parent="first")
    tracker.retain("third", 9.0, parent="second")
    machine.world.time += 6.0
    assert tracker.pop_expired() == []
    machine.world.time += 4.0
    assert tracker.pop_expired() == ["third", "second", "first"]
    assert tracker.pop_expired() == []


def test_a_cleared_tracker_restarts_all_durations():
    machine = World(1).machine("a:1")
    tracker = RetentionTracker(machine.clock())
    tracker.retain("key", 5.0)
    machine.world.time += 4.0
    tracker.clear()
    tracker.retain("key", 5.0)
    machine.world.time += 4.0
    assert tracker.pop_expired() == []
    machine.world.time += 2.0
    assert tracker.pop_expired() == ["key"]
