"""Tests of the limits of concurrent calls: slots and windows."""

from lynxscale.scheduling.actions import Cancel, Fail
from lynxscale.scheduling.events import (
    Result,
)
from tests.scheduling.driver import SAFE, UNSAFE, Driver, member


def send_lost_calls(d: Driver, calls: int, cls: int = SAFE) -> list[int]:
    """Send calls that stay unanswered; after each one, a later call is answered with the typical latency."""
    lost = []
    for _ in range(calls):
        lost.append(d.message(cls))
        d.advance(1)
        d.warm_up(1)
    return lost


def cancelled_ids(d: Driver) -> list[int]:
    return [a.id for _, a in d.log if isinstance(a, Cancel)]


def test_one_destination_stays_under_three_quarters_of_the_slots():
    d = Driver(slots=20)
    d.warm_up(60)
    for _ in range(40):
        d.message(SAFE)
    assert 10 < len(d.attempts_in_flight) < 15


def test_unresponsive_calls_do_not_keep_every_slot():
    members = [member(10 + dest, dest) for dest in range(1, 8)]
    d = Driver(members=members, slots=4)
    stuck = [d.message(UNSAFE, dest) for dest in range(1, 5)]
    d.advance(4000)
    waiting = d.message(UNSAFE, 6)
    cancelled = [a.id for _, a in d.log if isinstance(a, Cancel)]
    assert cancelled == stuck[:3]
    d.finish(stuck[0], Result.CANCELLED)
    assert isinstance(d.final_answers[stuck[0]][0], Fail) and d.is_in_flight(waiting)


def test_lost_calls_that_must_not_be_repeated_give_way_when_no_slot_is_left():
    d = Driver(members=[member(11, 1), member(12, 2)], slots=6)
    d.warm_up(30, dest=2)
    d.warm_up(60)
    lost = send_lost_calls(d, 2, UNSAFE)
    d.advance(2000)
    assert not cancelled_ids(d)
    for dest in (1, 1, 2, 2, 2, 2):
        d.message(SAFE, dest=dest)
    assert sorted(cancelled_ids(d)) == lost
