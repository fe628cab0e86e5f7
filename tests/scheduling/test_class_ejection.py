"""Tests of the ejection of endpoints that fail messages of one class."""

from lynxscale.scheduling.events import Result
from tests.scheduling.driver import KEYED, SAFE, UNSAFE, Driver, member

ERROR = Result.ERROR


def test_endpoint_that_fails_a_class_is_ejected_for_it():
    d = Driver([member(11), member(12)])
    d.warm_up(30, cls=KEYED)
    received, classes = {SAFE: 0, KEYED: 0}, {}
    for k in range(60):
        classes[d.message([SAFE, KEYED][k % 2])] = [SAFE, KEYED][k % 2]
        while d.attempts_in_flight:
            d.advance(50)
            number, attempt = next((n, a) for (n, _), (a, _) in d.attempts_in_flight.items())
            received[classes[number]] += attempt.endpoint == 11
            bad = attempt.endpoint == 11 and classes[number] == SAFE
            d.finish(number, ERROR if bad else Result.OK)
    assert 1 <= received[SAFE] <= 4 and received[KEYED] >= 10


def test_overdue_call_ejects_for_its_class_too():
    d = Driver([member(11), member(12)])
    d.warm_up(30)
    first = d.message(UNSAFE)
    bad = next(a for a, _ in d.attempts_in_flight.values()).endpoint
    d.advance(1500)
    for _ in range(4):
        number = d.message(UNSAFE)
        assert next(a for (n, _), (a, _) in d.attempts_in_flight.items() if n == number).endpoint != bad
        d.finish(number)
    assert d.is_in_flight(first)


def test_failures_of_many_calls_at_once_eject_for_a_short_time():
    d = Driver([member(11), member(12)], slots=40)
    d.warm_up(60)
    numbers = [d.message(UNSAFE) for _ in range(20)]
    received = {n for (n, _), (a, _) in d.attempts_in_flight.items() if a.endpoint == 11}
    d.advance(1500)
    for number in numbers:
        if d.is_in_flight(number):
            d.finish(number)
    d.advance(2500)
    assert len(received) > 4 and not d.scheduler.ejection.is_ejected(d.scheduler.table.endpoints[11], UNSAFE)


def test_only_endpoint_is_not_ejected():
    d = Driver()
    d.finish(d.message(SAFE), ERROR)
    d.advance(3000)
    assert len(d.sent()) >= 2
