"""Tests of which idle connections are reused, and when they are closed."""

from lynxscale.scheduling.actions import CloseIdle
from lynxscale.scheduling.events import (
    Result,
)
from tests.scheduling.driver import SAFE, UNSAFE, Driver, member

RESET = Result.RESET


def close_times(d: Driver) -> list[float]:
    return [t for t, a in d.log if isinstance(a, CloseIdle)]


def send_after_idle(d: Driver, idle: float) -> int:
    d.advance(idle)
    number = d.message(SAFE)
    d.advance(50)
    return number


def test_idle_connections_are_closed_where_tables_run_full():
    d = Driver(members=[member(11, 1), member(12, 2, kind=1)], per_call=[1, 1])
    d.warm_up(6)
    for number in [d.message(SAFE), d.message(SAFE)]:
        d.finish(number)
    for _ in range(3):
        for number in [d.message(SAFE), d.message(SAFE)]:
            d.finish(number)
        first = d.message(SAFE)
        d.finish(first, Result.CONNECT_FAILED)
        assert not [a for _, a in d.log if isinstance(a, CloseIdle)]
        d.advance(900)
        d.finish(first)  # succeeds on a connection older than the failure
    d.warm_up(3)
    d.warm_up(3, dest=2)
    assert {a.endpoint for _, a in d.log if isinstance(a, CloseIdle)} == {11}


def test_failed_connects_to_a_crashed_endpoint_close_no_connections():
    d = Driver(members=[member(11, 1), member(12, 2)])
    d.warm_up(3, dest=2)
    for _ in range(3):
        number = d.message(SAFE)
        d.finish(number, Result.CONNECT_FAILED)
        d.advance(2500)
        d.finish(number)  # the endpoint has restarted
    d.warm_up(3)
    d.warm_up(3, dest=2)
    assert not [a for _, a in d.log if isinstance(a, CloseIdle)]


def test_connections_idle_for_longer_than_failed_are_not_reused():
    d = Driver(idle_close_ms=60000.0)
    d.warm_up(20)
    d.finish(send_after_idle(d, 2000.0), RESET)
    d.advance(700)
    for number, _ in list(d.attempts_in_flight):
        d.finish(number)
    assert not close_times(d)
    d.finish(send_after_idle(d, 500.0))  # young enough
    assert not close_times(d)
    d.finish(send_after_idle(d, 2500.0))
    assert len(close_times(d)) == 1


def test_reset_of_a_busy_connection_closes_no_idle_ones():
    d = Driver(idle_close_ms=60000.0)
    d.warm_up(20)
    d.finish(send_after_idle(d, 40.0), RESET)
    d.advance(700)
    for number, _ in list(d.attempts_in_flight):
        d.finish(number)
    for _ in range(3):
        d.finish(send_after_idle(d, 400.0))
    assert not close_times(d)


def test_young_connections_that_are_often_reset_are_not_reused():
    """Messages that must not be executed twice avoid them at a lower reset rate, as a lost one can't be retried."""
    d = Driver(idle_close_ms=60000.0)
    d.warm_up(20)
    for turn in range(48):
        number = send_after_idle(d, 300.0)
        if turn % 16 == 15:
            d.finish(number, RESET)
        d.finish(number)
    d.advance(300)
    d.message(SAFE)
    assert not d.sent()[-1].fresh
    d.warm_up(1)
    d.advance(300)
    d.message(UNSAFE)
    assert d.sent()[-1].fresh and not close_times(d)


def test_reuse_is_tried_again_once_resets_are_old():
    d = Driver(idle_close_ms=60000.0)
    d.warm_up(20)
    d.finish(send_after_idle(d, 2000.0), RESET)
    d.advance(700)
    for number, _ in list(d.attempts_in_flight):
        d.finish(number)
    d.finish(send_after_idle(d, 31000.0))
    assert not close_times(d)


def test_timeouts_close_no_idle_connections():
    """A stall or a slow call also ends in a timeout; closing connections then would cost a handshake for every call."""
    d = Driver(idle_close_ms=60000.0)
    d.warm_up(20)
    slow = send_after_idle(d, 2000.0)
    d.advance(1500)
    d.finish(slow)
    d.finish(send_after_idle(d, 3000.0))
    assert not close_times(d)


def test_reset_of_a_new_connection_says_nothing_of_idle_ones():
    d = Driver(idle_close_ms=60000.0)
    d.finish(d.message(SAFE), RESET)
    d.advance(700)
    for number, _ in list(d.attempts_in_flight):
        d.finish(number)
    d.finish(send_after_idle(d, 3000.0))
    assert not close_times(d)
