"""Tests of the restart timeout's formula against values calculated by hand."""

import math

from lynxscale.scheduling.restart_timeout import MIN_FINISHED, best_timeout


def test_few_finished_attempts_give_no_timeout():
    assert best_timeout([100.0] * (MIN_FINISHED - 1), 0.0) == math.inf
    assert best_timeout([math.inf] * 50, 0.0) == math.inf


def test_formula_restarts_before_a_far_straggler():
    # 19 calls of 100 and one of 2000. At 100: F = .95, M1 = 95, so 100 + .05/.95*100 = 105.3.
    # At 2000: F = 1, mean 195. The restart wins.
    assert best_timeout([100.0] * 19 + [2000.0], 0.0) == 100.0


def test_formula_keeps_a_near_straggler():
    # 19 calls of 100 and one of 110. At 100 the expected time is 105.3 as above; at 110 it is the mean, 100.5.
    assert best_timeout([100.0] * 19 + [110.0], 0.0) == 110.0


def test_cost_moves_the_choice():
    # With c = 2000: at 100, 100 + .05/.95*2100 = 210.5; at 2000, 195.
    assert best_timeout([100.0] * 19 + [2000.0], 2000.0) == 2000.0


def test_never_below_the_median():
    # Ten of 10 and eleven of 1000: 10 would win by the formula (10 + 11/10*10 = 21), the median is 1000.
    assert best_timeout([10.0] * 10 + [1000.0] * 11, 0.0) == 1000.0


def test_unfinished_attempts_count_against_every_candidate():
    # 20 finished: ten of 100, ten of 150, and 20 unfinished. At 100: F = .25, 100 + 3*100 = 400;
    # at 150: F = .5, M1 = 62.5, 125 + 150 = 275.
    assert best_timeout([100.0] * 10 + [150.0] * 10 + [math.inf] * 20, 0.0) == 150.0
