"""Defences against failures found on simulated days: returns, dropped connections, one class."""

import pytest

from lynxscale.scheduling.actions import CloseIdle, Note, Refuse
from lynxscale.scheduling.events import HealthChecked, MembershipKind, MembershipUpdate, Message, Outcome, Result
from tests.driver import KEYED, ORDERED, SAFE, UNSAFE, Driver, member

FULL, RESET, ERROR = Result.FULL, Result.RESET, Result.ERROR


def notes(d: Driver) -> list[str]:
    return [a.text for _, a in d.log if isinstance(a, Note)]


# Returns


def test_calls_after_the_told_end_of_an_outage_are_spread_over_the_fleet():
    """All are told the same opening of a shut destination: they must not all call as it opens."""
    times = []
    for seed in range(60):
        d = Driver([member(11, weight=12.0)], seed, slots=3, senders=60, weights="rough")
        d.finish(d.message(UNSAFE), FULL, wait=12000.0)
        opens = d.now + 12000.0
        d.pass_time(11000.0)
        d.message(UNSAFE)
        d.pass_time(20000.0)
        times += [t - opens for t in d.sent_at()[1:2]]
    assert len(times) > 30 and min(times) >= 0
    assert max(sum(a <= t < a + 1500 for t in times) for a in range(0, 12000, 250)) < 20


def test_refusals_without_end_are_met_by_ever_sparser_calls():
    """A node with many successes before must not take its own pace for leave to call on."""
    d = Driver([member(11, weight=240.0)], slots=3, senders=270, weights="rough")
    d.warm_up(8, latency=1500.0)
    begin, end = len(d.sent()), d.now + 17000
    while d.now < end:
        d.message(SAFE)
        d.pass_time(50)
        for number, _ in list(d.out):
            d.finish(number, FULL)
    assert 2 <= len(d.sent()) - begin <= 12


def test_destination_that_hung_is_cold_when_it_answers_again():
    """Nothing but silence and cut calls, which leave no failure to go by, then a quick answer."""
    d = Driver()
    d.warm_up(60)
    for _ in range(9):
        d.message(UNSAFE)
        d.pass_time(1000)
    for number, _ in list(d.out):
        d.finish(number, Result.CANCELLED)
    d.message(UNSAFE)
    while not d.out:
        d.pass_time(50)
    d.finish(min(d.out)[0])
    assert any(text.endswith("warming") for text in notes(d))


def outage(d: Driver, ms: float, cls: int = SAFE) -> None:
    """Every try fails for so long, while messages come four times a second."""
    end = d.now + ms
    while d.now < end:
        d.message(cls)
        d.pass_time(250)
        for number, _ in list(d.out):
            d.finish(number, ERROR)


def test_tries_in_an_outage_are_a_second_apart_and_spare_what_may_not_be_repeated():
    d = Driver([member(11, weight=20.0)], weights="nominal", attempts_cap=50)
    d.warm_up(40)
    outage(d, 6000.0)
    once, begin = d.message(UNSAFE), len(d.sent())
    outage(d, 6000.0)
    assert 4 <= len(d.sent()) - begin <= 8
    assert once in d.scheduler.admission.pending and d.count.get(once, 0) == 0


def test_a_return_is_paced_for_the_destination_not_for_each_endpoint_besides():
    """One of two endpoints drains: the other may take what the destination bears, not half of it."""
    d = Driver([member(11, weight=40.0), member(12, weight=40.0)], weights="nominal", attempts_cap=50)
    d.warm_up(40)
    outage(d, 8000.0)
    d.give(MembershipUpdate(MembershipKind.DELTA, 2, [member(12, life=2, weight=40.0)]))
    begin, end = len(d.sent()), d.now + 6000.0
    while d.now < end:
        d.message(SAFE)
        d.pass_time(20)
        for number, _ in list(d.out):
            d.finish(number)
    assert 36 <= len(d.sent()) - begin <= 72


# Connections dropped unseen


def closes(d: Driver) -> list[float]:
    return [t for t, a in d.log if isinstance(a, CloseIdle)]


def use_after(d: Driver, idle: float) -> int:
    d.pass_time(idle)
    number = d.message(SAFE)
    d.pass_time(50)
    return number


def test_connections_idle_for_longer_than_failed_are_not_reused():
    d = Driver(idle_close_ms=60000.0)
    d.warm_up(20)
    d.finish(use_after(d, 2000.0), RESET)
    d.pass_time(700)
    for number, _ in list(d.out):
        d.finish(number)
    assert not closes(d)
    d.finish(use_after(d, 500.0))  # young enough
    assert not closes(d)
    d.finish(use_after(d, 2500.0))
    assert len(closes(d)) == 1


def test_a_reset_on_a_busy_connection_condemns_no_idle_ones():
    d = Driver(idle_close_ms=60000.0)
    d.warm_up(20)
    d.finish(use_after(d, 40.0), RESET)
    d.pass_time(700)
    for number, _ in list(d.out):
        d.finish(number)
    for _ in range(3):
        d.finish(use_after(d, 400.0))
    assert not closes(d)


def test_young_connections_that_are_often_reset_are_not_reused():
    """First by what must not run twice, as its loss is final; the others while more are reset."""
    d = Driver(idle_close_ms=60000.0)
    d.warm_up(20)
    for turn in range(48):
        number = use_after(d, 300.0)
        if turn % 16 == 15:
            d.finish(number, RESET)
        d.finish(number)
    d.pass_time(300)
    d.message(SAFE)
    assert not d.sent()[-1].fresh
    d.warm_up(1)
    d.pass_time(300)
    d.message(UNSAFE)
    assert d.sent()[-1].fresh and not closes(d)


def test_reuse_is_tried_again_once_resets_are_old():
    d = Driver(idle_close_ms=60000.0)
    d.warm_up(20)
    d.finish(use_after(d, 2000.0), RESET)
    d.pass_time(700)
    for number, _ in list(d.out):
        d.finish(number)
    d.finish(use_after(d, 31000.0))
    assert not closes(d)


def test_silence_does_not_condemn_idle_connections():
    """A stall or a slow call is silent too; handshakes for every call would be its price."""
    d = Driver(idle_close_ms=60000.0)
    d.warm_up(20)
    slow = use_after(d, 2000.0)
    d.pass_time(1500)
    d.finish(slow)
    d.finish(use_after(d, 3000.0))
    assert not closes(d)


def test_reset_of_a_new_connection_tells_nothing_of_idle_ones():
    d = Driver(idle_close_ms=60000.0)
    d.finish(d.message(SAFE), RESET)
    d.pass_time(700)
    for number, _ in list(d.out):
        d.finish(number)
    d.finish(use_after(d, 3000.0))
    assert not closes(d)


# One class fails at one endpoint


def test_a_class_goes_elsewhere_where_one_endpoint_fails_it():
    d = Driver([member(11), member(12)])
    d.warm_up(30, cls=KEYED)
    struck, classes = {SAFE: 0, KEYED: 0}, {}
    for k in range(60):
        classes[d.message([SAFE, KEYED][k % 2])] = [SAFE, KEYED][k % 2]
        while d.out:
            d.pass_time(50)
            number, attempt = next((n, a) for (n, _), (a, _) in d.out.items())
            struck[classes[number]] += attempt.endpoint == 11
            bad = attempt.endpoint == 11 and classes[number] == SAFE
            d.finish(number, ERROR if bad else Result.OK)
    assert 1 <= struck[SAFE] <= 4 and struck[KEYED] >= 10


def test_unanswered_class_goes_elsewhere_too():
    d = Driver([member(11), member(12)])
    d.warm_up(30)
    first = d.message(UNSAFE)
    bad = next(a for a, _ in d.out.values()).endpoint
    d.pass_time(1500)
    for _ in range(4):
        number = d.message(UNSAFE)
        assert next(a for (n, _), (a, _) in d.out.items() if n == number).endpoint != bad
        d.finish(number)
    assert d.is_out(first)


def test_class_that_fails_in_many_calls_at_once_rests_shortly():
    d = Driver([member(11), member(12)], slots=40)
    d.warm_up(60)
    numbers = [d.message(UNSAFE) for _ in range(20)]
    struck = {n for (n, _), (a, _) in d.out.items() if a.endpoint == 11}
    d.pass_time(1500)
    for number in numbers:
        if d.is_out(number):
            d.finish(number)
    d.pass_time(2500)
    assert len(struck) > 4 and not d.scheduler.ejection.is_ejected(d.scheduler.table.endpoints[11], UNSAFE)


def test_failing_class_still_goes_to_an_only_endpoint():
    d = Driver()
    d.finish(d.message(SAFE), ERROR)
    d.pass_time(3000)
    assert len(d.sent()) >= 2


# Bad input


@pytest.mark.parametrize("cls", [SAFE, UNSAFE, KEYED, ORDERED])
def test_outcome_after_the_answer_and_list_that_drains_all(cls):
    d = Driver([member(11), member(12)])
    out, held = d.message(cls, key=4), d.message(cls, key=4)
    gone = [member(11, life=2), member(12, life=0)]
    d.give(MembershipUpdate(MembershipKind.DELTA, 2, gone))
    before = len(d.sent())
    for _ in range(2):
        d.give(Outcome(out, 0, 11, Result.OK, 100.0, True))
    d.pass_time(30000)
    assert len(d.sent()) == before and len(d.finals[held]) == 1


def test_probe_results_of_unknown_and_gone_endpoints_are_passed_over():
    d = Driver()
    d.give(MembershipUpdate(MembershipKind.DELTA, 2, [member(11, life=0)]))
    d.give(*[HealthChecked(e, r, 5.0, (0.0, 3.0)) for e in (11, 99) for r in (1, 3, 4, 5, 6)])
    number = d.message(SAFE)
    d.pass_time(9000)
    assert not d.sent() and len(d.finals[number]) == 1


@pytest.mark.parametrize("allowed, most", [(False, 2000.0), (True, None), (False, None)])
def test_no_advice_where_it_is_forbidden_or_unbounded(allowed, most):
    d = Driver(may_advise_retry=allowed, max_retry_after_ms=most)
    number = d.message(SAFE, left=1000.0)
    d.finish(number, FULL, wait=5000.0)
    assert [a.retry_after for a in d.finals[number]] == [0.0]
    assert [t for t, a in d.log if isinstance(a, Refuse)] == [d.now]  # at once, with its whole time left


@pytest.mark.parametrize("figure", [None, 0.0])
@pytest.mark.parametrize("result", [FULL, Result.CONNECT_FAILED, ERROR])
def test_tipping_figures_absent_or_zero(figure, result):
    d = Driver(cold_share=figure, ramp_time_ms=figure, tip_multiple=figure, tip_after_ms=figure, slots=3)
    numbers = []
    for _ in range(60):
        numbers.append(d.message(KEYED))
        d.pass_time(100)
        for number, _ in list(d.out):
            d.finish(number, result)
    d.pass_time(25000)
    assert sorted(d.finals) == numbers and all(len(f) == 1 for f in d.finals.values())


def test_clump_larger_than_the_hold_is_answered_in_full():
    d = Driver(most_held=12, slots=3, per_call=[1])
    d.give(*[Message(n, 1, SAFE, 0, d.now + 8000.0) for n in range(1, 41)])
    assert len(d.finals) >= 28
    for _ in range(60):
        for number, _ in list(d.out):
            d.finish(number)
        d.pass_time(100)
    assert sorted(d.finals) == list(range(1, 41)) and all(len(f) == 1 for f in d.finals.values())


def test_rest_after_a_refusal_is_a_part_of_the_told_limit():
    """Refused calls may use up the limit: 100 nodes at 5 calls a second are to call once in 20 s each."""
    rests = []
    for seed in range(20):
        d = Driver(seed=seed, senders=100, report_left=0, report_limit=1, slots=3)
        d.finish(d.message(UNSAFE, left=60000.0), FULL, report=(0.0, 5.0))
        start = d.now
        while len(d.sent()) < 2 and d.now < start + 50000:
            d.pass_time(50)
        rests.append(d.now - start)
    assert min(rests) > 4000 and sum(rests) / len(rests) > 10000


# Little time left


def test_time_outs_of_calls_with_little_time_left_tell_nothing_of_health():
    """A queue drained at its deadlines must not make a destination that answers look failing."""
    d = Driver()
    d.warm_up(40)
    for _ in range(4):
        d.message(SAFE, left=300.0)
        d.pass_time(301.0)
    assert len(d.sent()) == 44 and not d.out
    assert not any(text.endswith("failing") for text in notes(d))


def test_nothing_is_sent_with_less_than_two_usual_calls_left():
    d = Driver()
    d.warm_up(40)
    number = d.message(SAFE, left=190.0)
    assert isinstance(d.finals[number][0], Refuse)
    d.message(SAFE, left=210.0)
    assert len(d.sent()) == 41


# Slots


def test_a_destination_under_its_share_of_the_slots_goes_before_others_in_aim():
    """A quick one with messages past their aim must not wait for all those of a busy one that is slow."""
    d = Driver([member(10 + dest, dest=dest) for dest in (1, 2, 3)], slots=8)
    for dest in (1, 2, 3):
        d.warm_up(10, dest=dest)
    busy = [d.message(UNSAFE, dest=1) for _ in range(9)]
    for _ in range(3):
        d.message(UNSAFE, dest=3)
    assert len(d.out) == 8
    late = d.message(UNSAFE, dest=2, left=5000.0)  # past its aim
    d.finish(busy[0])
    assert d.is_out(late)


def test_beyond_half_its_share_of_the_slots_a_destination_waits_for_those_in_aim():
    d = Driver([member(10 + dest, dest=dest) for dest in (1, 2, 3)], slots=12)
    for dest in (1, 2, 3):
        d.warm_up(10, dest=dest)
    busy = [d.message(UNSAFE, dest=1) for _ in range(12)]
    for dest in (2, 2, 3, 3):
        d.message(UNSAFE, dest=dest)
    assert len(d.out) == 12
    late = d.message(UNSAFE, dest=2, left=5000.0)  # past its aim, with two calls out
    d.finish(busy[0])
    assert not d.is_out(late) and len(d.out) == 12
