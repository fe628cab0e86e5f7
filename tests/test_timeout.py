"""The design's formula, its clamp and its cold start, against values worked out by hand."""

import math

from lynxscale.scheduling.actions import Cancel, Refuse
from lynxscale.scheduling.restart_budget import RESTARTS_MAX
from lynxscale.scheduling.restart_timeout import MIN_FINISHED, best_timeout
from tests.driver import SAFE, UNSAFE, Driver, member


def test_cold_start_has_no_timeout():
    assert best_timeout([100.0] * (MIN_FINISHED - 1), 0.0) == math.inf
    assert best_timeout([math.inf] * 50, 0.0) == math.inf


def test_formula_prefers_the_cut_before_a_far_straggler():
    # 19 calls of 100 and one of 2000. At 100: F = .95, M1 = 95, so 100 + .05/.95*100 = 105.3.
    # At 2000: F = 1, mean 195. The cut wins.
    assert best_timeout([100.0] * 19 + [2000.0], 0.0) == 100.0


def test_formula_keeps_a_near_straggler():
    # One of 110: at 100 it is 105.3 as above, at 110 it is the mean, 100.5.
    assert best_timeout([100.0] * 19 + [110.0], 0.0) == 110.0


def test_cost_moves_the_choice():
    # With c = 2000: at 100, 100 + .05/.95*2100 = 210.5; at 2000, 195.
    assert best_timeout([100.0] * 19 + [2000.0], 2000.0) == 2000.0


def test_never_below_the_median():
    # Ten of 10 and eleven of 1000: 10 would win by the formula (10 + 11/10*10 = 21), the median is 1000.
    assert best_timeout([10.0] * 10 + [1000.0] * 11, 0.0) == 1000.0


def test_unfinished_tries_count_against_every_candidate():
    # 20 finished: ten of 100, ten of 150, and 20 unfinished. At 100: F = .25, 100 + 3*100 = 400;
    # at 150: F = .5, M1 = 62.5, 125 + 150 = 275.
    assert best_timeout([100.0] * 10 + [150.0] * 10 + [math.inf] * 20, 0.0) == 150.0


def test_repeatable_attempt_is_cut_at_tau_and_restarted():
    d = Driver()
    d.warm_up(60)
    number = d.message(SAFE)
    d.pass_time(150)
    cuts = [a for _, a in d.log if isinstance(a, Cancel)]
    assert [c.id for c in cuts] == [number]
    d.finish(number, 7)
    assert d.is_out(number) and d.count[number] == 2


def test_unsafe_attempt_runs_to_its_time_left():
    d = Driver()
    d.warm_up(60)
    number = d.message(UNSAFE)
    assert d.sent()[-1].timeout == 20000.0
    d.pass_time(3000)
    assert not any(isinstance(a, Cancel) for _, a in d.log) and d.is_out(number)


def test_restarts_are_rationed():
    d = Driver()
    d.warm_up(60)
    numbers = [d.message(SAFE) for _ in range(12)]
    d.pass_time(150)
    cuts = [a for _, a in d.log if isinstance(a, Cancel)]
    assert 1 <= len(cuts) <= RESTARTS_MAX < len(numbers)


def test_quick_class_does_not_set_the_timeout_of_a_slow_one():
    d = Driver()
    for _ in range(40):
        for cls, latency in ((SAFE, 300.0), (UNSAFE, 50.0)):
            number = d.message(cls)
            d.pass_time(latency)
            d.finish(number)
    number = d.message(SAFE)
    d.pass_time(290)
    assert not any(isinstance(a, Cancel) and a.id == number for _, a in d.log)


def test_message_with_too_little_time_is_refused_unsent():
    d = Driver()
    d.warm_up(40)
    before = len(d.sent())
    number = d.message(SAFE, left=60.0)
    assert isinstance(d.finals[number][0], Refuse) and len(d.sent()) == before


def lose(d: Driver, calls: int, cls: int = SAFE) -> list[int]:
    """So many calls without an answer, each overtaken by one that is answered in the usual time."""
    lost = []
    for _ in range(calls):
        lost.append(d.message(cls))
        d.pass_time(1)
        d.warm_up(1)
    return lost


def cut(d: Driver) -> list[int]:
    return [a.id for _, a in d.log if isinstance(a, Cancel)]


def test_lost_calls_are_restarted_beyond_the_ration():
    d = Driver()
    d.warm_up(60)
    lost = lose(d, 5)
    d.pass_time(500)
    assert cut(d) == lost and len(lost) > RESTARTS_MAX


def test_slow_calls_are_not_taken_for_lost():
    """None is overtaken: all are slow alike."""
    d = Driver()
    d.warm_up(60)
    for _ in range(12):
        d.message(SAFE)
    d.pass_time(900)
    assert len(cut(d)) <= RESTARTS_MAX


def test_lost_calls_that_must_not_be_repeated_give_way_when_no_slot_is_left():
    d = Driver(members=[member(11, 1), member(12, 2)], slots=6)
    d.warm_up(30, dest=2)
    d.warm_up(60)
    lost = lose(d, 2, UNSAFE)
    d.pass_time(2000)
    assert not cut(d)
    for dest in (1, 1, 2, 2, 2, 2):
        d.message(SAFE, dest=dest)
    assert sorted(cut(d)) == lost
