"""Tests of the order of destinations, and of calls that carry several messages."""

from lynxscale.scheduling.events import (
    Message,
)
from tests.scheduling.driver import SAFE, UNSAFE, Driver, member


def test_messages_to_one_endpoint_share_a_call():
    d = Driver(per_call=[5])
    numbers = range(1, 8)
    d.run_step(*[Message(n, 1, SAFE, 0, d.now + 8000.0) for n in numbers])
    assert len(d.sent()) == 5 and d.scheduler.limits.used == 1


def test_destination_under_half_its_share_of_slots_goes_before_others_on_time():
    """A fast destination with late messages must not wait for all messages of a busy, slow destination."""
    d = Driver([member(10 + dest, dest=dest) for dest in (1, 2, 3)], slots=8)
    for dest in (1, 2, 3):
        d.warm_up(10, dest=dest)
    busy = [d.message(UNSAFE, dest=1) for _ in range(9)]
    for _ in range(3):
        d.message(UNSAFE, dest=3)
    assert len(d.attempts_in_flight) == 8
    late = d.message(UNSAFE, dest=2, time_left=5000.0)  # past its latency target
    d.finish(busy[0])
    assert d.is_in_flight(late)


def test_destination_beyond_half_its_share_of_slots_waits_for_those_on_time():
    d = Driver([member(10 + dest, dest=dest) for dest in (1, 2, 3)], slots=12)
    for dest in (1, 2, 3):
        d.warm_up(10, dest=dest)
    busy = [d.message(UNSAFE, dest=1) for _ in range(12)]
    for dest in (2, 2, 3, 3):
        d.message(UNSAFE, dest=dest)
    assert len(d.attempts_in_flight) == 12
    late = d.message(UNSAFE, dest=2, time_left=5000.0)  # past its latency target, with two calls in flight
    d.finish(busy[0])
    assert not d.is_in_flight(late) and len(d.attempts_in_flight) == 12
