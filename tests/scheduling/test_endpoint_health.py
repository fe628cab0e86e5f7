"""Tests of outage detection, trial calls and slow start."""

import pytest

from lynxscale.scheduling.actions import Note
from lynxscale.scheduling.events import (
    MembershipKind,
    MembershipUpdate,
    Result,
)
from tests.scheduling.driver import KEYED, SAFE, UNSAFE, Driver, member

OK, FULL, FAILED, ERROR = Result.OK, Result.FULL, Result.CONNECT_FAILED, Result.ERROR


def calls_of_recovering_fleet(senders: int, outage: float, ms: float) -> int:
    """Count the calls of a fleet in the first ``ms`` after an outage, with one or two messages pending at each node."""
    calls = 0
    for seed in range(senders):
        d = Driver([member(11, weight=60.0)], seed, slots=3, senders=senders, weights="rough")
        back, arrive = d.now + outage, d.now + outage * (seed % 20) / 20
        while d.now < back + ms:
            if d.now >= arrive:
                d.message(UNSAFE)
                arrive += outage
            for number, _ in list(d.attempts_in_flight):
                d.finish(number, OK if d.now >= back else FAILED)
            d.advance(50)
        calls += sum(t >= back for t in d.sent_at())
    return calls


def notes(d: Driver) -> list[str]:
    return [a.text for _, a in d.log if isinstance(a, Note)]


def fail_all_attempts(d: Driver, ms: float, cls: int = SAFE) -> None:
    """Let every attempt fail for ``ms``, while four messages a second arrive."""
    end = d.now + ms
    while d.now < end:
        d.message(cls)
        d.advance(250)
        for number, _ in list(d.attempts_in_flight):
            d.finish(number, ERROR)


def outage(d: Driver, result: Result, wait: float = 0.0, ms: float = 10000.0) -> None:
    end = d.now + ms
    while d.now < end:
        d.message(SAFE)
        for key in list(d.attempts_in_flight):
            d.finish(key[0], result, wait=wait)
        d.advance(100)


def send_after_recovery(d: Driver, ms: float) -> list[float]:
    start = d.now
    while d.now < start + ms:
        for _ in range(3):
            d.message(SAFE)
        for key in list(d.attempts_in_flight):
            d.finish(key[0])
        d.advance(100)
    return [t for t in d.sent_at() if t >= start]


@pytest.mark.parametrize(
    "result, wait",
    [
        (Result.CONNECT_FAILED, 0),
        (Result.RESET, 0),
        (Result.ERROR, 0),
        (Result.FULL, 0),
        (Result.FULL, 1500),
    ],
)
def test_returning_destination_is_loaded_by_slow_start(result, wait):
    d = Driver()
    d.warm_up(150)  # 10 calls a second, which the destination can also serve after slow start
    outage(d, result, wait)
    times = send_after_recovery(d, 6000)
    for start in range(0, 3001, 250):
        t0 = times[0] + start
        share = 0.2 + 0.8 * start / 10000 + 0.8 * 3000 / 10000 / 2
        assert sum(t0 <= t < t0 + 3000 for t in times) <= 2.0 * share * 10 * 3 + 2


def test_trials_in_an_outage_are_sparse():
    d = Driver()
    d.warm_up(100)
    begin = len(d.sent())
    outage(d, Result.CONNECT_FAILED)
    assert len(d.sent()) - begin < 15


def test_hung_destination_is_noticed_by_overdue_calls():
    d = Driver()
    d.warm_up(100)
    for _ in range(50):
        d.message(UNSAFE)
        d.advance(100)
    assert len(d.attempts_in_flight) <= 14
    assert any("failing" in a.text for _, a in d.log if isinstance(a, Note))


def test_slow_start_ends():
    d = Driver()
    d.warm_up(100)
    outage(d, Result.CONNECT_FAILED)
    send_after_recovery(d, 14000)
    states = [a.text.rsplit(" ", 1)[1] for _, a in d.log if isinstance(a, Note)]
    assert states.index("failing") < states.index("warming") < len(states) - 1
    assert states[-1] == "ok"


def test_slow_answers_are_not_an_outage():
    d = Driver()
    d.warm_up(40)
    d.advance(10)
    slow = [d.message(UNSAFE) for _ in range(3)]
    d.advance(3000)
    assert any("failing" in a.text for _, a in d.log if isinstance(a, Note))
    for number in slow:
        if d.is_in_flight(number):
            d.finish(number)
    assert [a.text for _, a in d.log if isinstance(a, Note)][-1].endswith("ok")


def test_trials_grow_sparser_with_the_age_of_an_outage():
    """Hundreds of nodes may each have one pending message, and the destination gets the trial calls of all nodes."""
    d = Driver(slots=3, senders=240, weights="rough", members=[member(11, weight=30.0)])
    d.message(SAFE, time_left=60000.0)
    end = d.now + 40000
    while d.now < end:
        d.advance(50)
        for number, _ in list(d.attempts_in_flight):
            d.finish(number, Result.CONNECT_FAILED)
    times = d.sent_at()
    gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
    assert len(times) <= 8 and gaps[-1] > 5000 > 1500 > gaps[0]


def test_slow_start_counts_from_between_the_last_failure_and_the_first_success():
    d = Driver([member(11, weight=40.0)], slots=6, senders=40, weights="nominal")
    d.warm_up(10, latency=1500.0)
    end = d.now + 8000
    while d.now < end:
        d.message(SAFE)
        d.advance(100)
        for number, _ in list(d.attempts_in_flight):
            d.finish(number, Result.CONNECT_FAILED)
    failed = d.now
    d.message(SAFE)
    while not d.attempts_in_flight:
        d.advance(20)
    d.finish(next(iter(d.attempts_in_flight))[0])
    health = d.scheduler.table.destinations[1].routes[0].health
    assert health.state == "warming" and failed - 2000 < health.slow_start_from < d.now - 50


def test_destination_that_hung_has_a_slow_start():
    """Timeouts and cancelled calls don't count as failures; the fast response after them ends the hang."""
    d = Driver()
    d.warm_up(60)
    for _ in range(9):
        d.message(UNSAFE)
        d.advance(1000)
    for number, _ in list(d.attempts_in_flight):
        d.finish(number, Result.CANCELLED)
    d.message(UNSAFE)
    while not d.attempts_in_flight:
        d.advance(50)
    d.finish(min(d.attempts_in_flight)[0])
    assert any(text.endswith("warming") for text in notes(d))


def test_trials_in_an_outage_are_a_second_apart_and_spare_unsafe_messages():
    d = Driver([member(11, weight=20.0)], weights="nominal", attempts_cap=50)
    d.warm_up(40)
    fail_all_attempts(d, 6000.0)
    once, begin = d.message(UNSAFE), len(d.sent())
    fail_all_attempts(d, 6000.0)
    assert 4 <= len(d.sent()) - begin <= 8
    assert once in d.scheduler.admission.pending and d.count.get(once, 0) == 0


def test_slow_start_paces_the_destination_and_not_each_endpoint_besides():
    """When one of two endpoints drains, the other gets the destination's whole slow start rate, not half of it."""
    d = Driver([member(11, weight=40.0), member(12, weight=40.0)], weights="nominal", attempts_cap=50)
    d.warm_up(40)
    fail_all_attempts(d, 8000.0)
    d.run_step(MembershipUpdate(MembershipKind.DELTA, 2, [member(12, lifecycle=2, weight=40.0)]))
    begin, end = len(d.sent()), d.now + 6000.0
    while d.now < end:
        d.message(SAFE)
        d.advance(20)
        for number, _ in list(d.attempts_in_flight):
            d.finish(number)
    assert 36 <= len(d.sent()) - begin <= 72


@pytest.mark.parametrize("figure", [None, 0.0])
@pytest.mark.parametrize("result", [FULL, Result.CONNECT_FAILED, ERROR])
def test_slow_start_settings_absent_or_zero(figure, result):
    d = Driver(cold_share=figure, ramp_time_ms=figure, tip_multiple=figure, tip_after_ms=figure, slots=3)
    numbers = []
    for _ in range(60):
        numbers.append(d.message(KEYED))
        d.advance(100)
        for number, _ in list(d.attempts_in_flight):
            d.finish(number, result)
    d.advance(25000)
    assert sorted(d.final_answers) == numbers and all(len(f) == 1 for f in d.final_answers.values())


def test_timeouts_of_calls_with_little_time_left_say_nothing_of_health():
    """Messages sent shortly before their deadline time out; that must not make a healthy destination failing."""
    d = Driver()
    d.warm_up(40)
    for _ in range(4):
        d.message(SAFE, time_left=300.0)
        d.advance(301.0)
    assert len(d.sent()) == 44 and not d.attempts_in_flight
    assert not any(text.endswith("failing") for text in notes(d))


def test_returning_destination_with_hundreds_of_small_nodes():
    # 200 nodes with a message every 10 s send 20 a second, a third of the advertised rate. All have seen the outage.
    budget = 2.0 * (0.2 + 0.8 * 1500 / 10000) * 60 * 3
    assert 10 < calls_of_recovering_fleet(200, 10000.0, 3000.0) < budget
