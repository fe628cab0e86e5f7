"""Tests of the backoff after a rejection because of load."""

from lynxscale.scheduling.actions import Note
from lynxscale.scheduling.events import (
    Result,
)
from tests.scheduling.driver import KEYED, SAFE, UNSAFE, Driver, member

FULL = Result.FULL
REPORTS = dict(senders=40, slots=6, report_left=0, report_limit=1, weights="nominal")


def test_retry_after_blocks_the_complete_destination():
    d = Driver(members=[member(11), member(12)])
    d.warm_up(20)
    first = d.message(SAFE)
    d.finish(first, Result.FULL, wait=900)
    before = len(d.sent())
    for cls in (SAFE, UNSAFE, KEYED):
        d.message(cls)
    d.advance(899)
    assert len(d.sent()) == before
    d.advance(1000)  # the backoff spreads the nodes, which all know the same end
    assert len(d.sent()) > before


def test_retry_after_blocks_one_route_only_where_routes_are_apart():
    d = Driver(members=[member(11), member(12)], routes_apart=[True])
    first = d.message(SAFE)
    blocked = d.sent()[0].endpoint
    d.finish(first, Result.FULL, wait=900)
    d.advance(800)
    later = [a.endpoint for a in d.sent()[1:]]
    assert later and blocked not in later


def test_busy_node_backs_off_for_less_than_one_that_sends_rarely():
    backoffs = {}
    for calls in (2, 200):
        d = Driver(seed=3)
        d.warm_up(calls)
        d.scheduler.backoff.base_ms = 5000.0  # as after rejections by other destinations
        number = d.message(SAFE, time_left=60000.0)
        d.finish(number, Result.FULL, wait=100)
        start, count = d.now, len(d.sent())
        while len(d.sent()) == count and d.now < start + 20000:
            d.advance(10)
        backoffs[calls] = d.now - start
    assert backoffs[200] < 400 < 1000 < backoffs[2]


def test_backoff_grows_with_rejections_in_a_row():
    d = Driver(seed=5)
    d.scheduler.backoff.base_ms = 200.0
    number, gaps = d.message(UNSAFE), []
    for _ in range(5):
        d.finish(number, Result.FULL, wait=100)
        start = d.now
        while not d.is_in_flight(number) and d.now < start + 20000:
            d.advance(10)
        gaps.append(d.now - start)
    assert gaps[-1] > 3 * gaps[0]


def test_calls_after_the_announced_end_of_an_outage_are_spread_over_the_fleet():
    """All nodes know when the Retry-After of a destination ends; they must not all call at that moment."""
    times = []
    for seed in range(60):
        d = Driver([member(11, weight=12.0)], seed, slots=3, senders=60, weights="rough")
        d.finish(d.message(UNSAFE), FULL, wait=12000.0)
        opens = d.now + 12000.0
        d.advance(11000.0)
        d.message(UNSAFE)
        d.advance(20000.0)
        times += [t - opens for t in d.sent_at()[1:2]]
    assert len(times) > 30 and min(times) >= 0
    assert max(sum(a <= t < a + 1500 for t in times) for a in range(0, 12000, 250)) < 20


def test_endless_rejections_make_calls_ever_sparser():
    """A node with many earlier successes must not continue to call at the rate of these successes."""
    d = Driver([member(11, weight=240.0)], slots=3, senders=270, weights="rough")
    d.warm_up(8, latency=1500.0)
    begin, end = len(d.sent()), d.now + 17000
    while d.now < end:
        d.message(SAFE)
        d.advance(50)
        for number, _ in list(d.attempts_in_flight):
            d.finish(number, FULL)
    assert 2 <= len(d.sent()) - begin <= 12


def test_backoff_after_a_rejection_depends_on_the_reported_allowance():
    """Rejected calls may count against the limit: with 5 calls a second for 100 nodes, each may call once in 20 s."""
    backoffs = []
    for seed in range(20):
        d = Driver(seed=seed, senders=100, report_left=0, report_limit=1, slots=3)
        d.finish(d.message(UNSAFE, time_left=60000.0), FULL, report=(0.0, 5.0))
        start = d.now
        while len(d.sent()) < 2 and d.now < start + 50000:
            d.advance(50)
        backoffs.append(d.now - start)
    assert min(backoffs) > 4000 and sum(backoffs) / len(backoffs) > 10000


def test_rejections_above_a_limit_are_no_outage():
    """Where calls are rare, seconds without a success are normal and must not cause trials or a slow start."""
    d = Driver([member(11, weight=40.0)], **REPORTS)
    d.warm_up(10, latency=1500.0)
    for _ in range(6):
        d.message(SAFE)
        while not d.attempts_in_flight:
            d.advance(50)
        for number, _ in list(d.attempts_in_flight):
            d.finish(number, Result.FULL, report=(0.0, 40.0))
        d.advance(1000)
    assert not any("failing" in a.text for _, a in d.log if isinstance(a, Note))


def test_rejections_with_allowance_left_are_an_outage():
    d = Driver([member(11, weight=40.0)], **REPORTS)
    d.warm_up(10, latency=1500.0)
    for _ in range(8):
        d.message(SAFE)
        d.advance(700)
        for number, _ in list(d.attempts_in_flight):
            d.finish(number, Result.FULL, report=(1.0, 40.0))
    assert any("failing" in a.text for _, a in d.log if isinstance(a, Note))
