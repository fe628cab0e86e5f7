"""The one timer that the caller keeps."""

from lynxscale.scheduling.events import (
    TimerDue,
)
from tests.scheduling.driver import SAFE, Driver


def test_timer_that_fires_early_by_a_rounding_is_set_again():
    d = Driver(members=[])
    number = d.message(SAFE)
    at, mark = min(d.timers)
    d.timers.clear()
    d.now = at - 0.0004
    d.give(TimerDue(mark))
    d.pass_time(20000)
    assert len(d.finals[number]) == 1
