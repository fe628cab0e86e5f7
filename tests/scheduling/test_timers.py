"""Tests of the caller's single timer."""

from lynxscale.scheduling.events import (
    TimerDue,
)
from tests.scheduling.driver import SAFE, Driver


def test_timer_that_fires_early_by_a_rounding_is_set_again():
    d = Driver(members=[])
    number = d.message(SAFE)
    at, timer_id = min(d.timers)
    d.timers.clear()
    d.now = at - 0.0004
    d.run_step(TimerDue(timer_id))
    d.advance(20000)
    assert len(d.final_answers[number]) == 1
