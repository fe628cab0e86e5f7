"""Tests of attempts that are cancelled and sent again."""

from lynxscale.scheduling.actions import Cancel
from lynxscale.scheduling.restart_budget import RESTARTS_MAX
from tests.scheduling.driver import SAFE, UNSAFE, Driver, member

REPORTS = dict(senders=40, slots=6, report_left=0, report_limit=1, weights="nominal")


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


def test_idempotent_attempt_is_restarted_at_the_restart_timeout():
    d = Driver()
    d.warm_up(60)
    number = d.message(SAFE)
    d.advance(150)
    cancelled = [a for _, a in d.log if isinstance(a, Cancel)]
    assert [c.id for c in cancelled] == [number]
    d.finish(number, 7)
    assert d.is_in_flight(number) and d.count[number] == 2


def test_unsafe_attempt_runs_to_its_deadline():
    d = Driver()
    d.warm_up(60)
    number = d.message(UNSAFE)
    assert d.sent()[-1].timeout == 20000.0
    d.advance(3000)
    assert not any(isinstance(a, Cancel) for _, a in d.log) and d.is_in_flight(number)


def test_restarts_are_rationed():
    d = Driver()
    d.warm_up(60)
    numbers = [d.message(SAFE) for _ in range(12)]
    d.advance(150)
    cancelled = [a for _, a in d.log if isinstance(a, Cancel)]
    assert 1 <= len(cancelled) <= RESTARTS_MAX < len(numbers)


def test_lost_calls_are_restarted_beyond_the_budget():
    d = Driver()
    d.warm_up(60)
    lost = send_lost_calls(d, 5)
    d.advance(500)
    assert cancelled_ids(d) == lost and len(lost) > RESTARTS_MAX


def test_slow_calls_are_not_taken_for_lost():
    """All calls are equally slow, and no later call is answered before them."""
    d = Driver()
    d.warm_up(60)
    for _ in range(12):
        d.message(SAFE)
    d.advance(900)
    assert len(cancelled_ids(d)) <= RESTARTS_MAX


def test_no_call_is_restarted_while_a_rate_limit_is_felt():
    """A restart would use up another node's part of the limit, as the cancelled call has used this node's part."""
    cancelled = []
    for left in (0.9, 0.1):
        d = Driver([member(11, weight=400.0)], **REPORTS)
        for _ in range(40):
            number = d.message(SAFE)
            d.advance(100)
            d.finish(number, report=(left, 400.0))
            d.advance(200)
        share = d.scheduler.table.destinations[1].routes[0].rate_share
        assert share.is_limiting == (left < 0.5)
        d.message(SAFE)
        d.advance(1500)
        cancelled.append(any(isinstance(a, Cancel) for _, a in d.log))
    assert cancelled == [True, False]
