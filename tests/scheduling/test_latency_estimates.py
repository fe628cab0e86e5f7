"""Tests of the latency estimates of message classes."""

from lynxscale.scheduling.actions import Cancel
from tests.scheduling.driver import SAFE, UNSAFE, Driver


def test_fast_class_does_not_set_the_restart_timeout_of_a_slow_one():
    d = Driver()
    for _ in range(40):
        for cls, latency in ((SAFE, 300.0), (UNSAFE, 50.0)):
            number = d.message(cls)
            d.advance(latency)
            d.finish(number)
    number = d.message(SAFE)
    d.advance(290)
    assert not any(isinstance(a, Cancel) and a.id == number for _, a in d.log)


def test_a_restart_waits_longer_where_wasted_calls_cost():
    """Both runs have the same latencies, one in five of them eight times as long as the others."""
    taus = []
    for price in (0.0, 0.06):
        d = Driver(waste_price=price)
        for call in range(80):
            number = d.message()
            d.advance(800.0 if call % 5 == 4 else 100.0 + call % 7)
            if d.is_in_flight(number):
                d.finish(number)
        taus.append(d.scheduler.table.endpoints[11].route.restart_timeout_ms)
    assert taus[0] < 200.0 < taus[1]
