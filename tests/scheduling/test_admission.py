"""Tests of tenants' quotas, load shedding and final answers."""

import pytest

from lynxscale.scheduling.actions import Refuse
from lynxscale.scheduling.events import (
    Message,
    Result,
)
from lynxscale.scheduling.settings import Tenant
from tests.scheduling.driver import SAFE, UNSAFE, Driver, classes, member

FULL = Result.FULL
REPORTS = dict(senders=40, slots=6, report_left=0, report_limit=1, weights="nominal")


def test_pending_messages_stay_under_the_limit():
    d = Driver(members=[], most_held=40)
    numbers = [d.message(SAFE) for _ in range(60)]
    assert 60 - len(d.final_answers) < 40 and len(numbers) == 60


def test_load_shedding_starts_where_nothing_can_be_sent():
    d = Driver(members=[member(11, 1), member(12, 2)], most_held=20, slots=3)
    d.finish(d.message(UNSAFE, 1), Result.FULL, wait=9000)
    closed = [d.message(UNSAFE, 1) for _ in range(8)]
    later = [d.message(UNSAFE, 2) for _ in range(12)]
    shed = set(d.final_answers)
    assert shed and shed <= set(closed) and not shed & set(later)


def test_stale_message_is_rejected_with_retry_after_once_an_attempt_failed():
    d = Driver()
    d.warm_up(20)
    number = d.message(SAFE)
    d.advance(5500)
    d.finish(number, Result.FULL, wait=1000)
    assert isinstance(d.final_answers[number][0], Refuse) and d.final_answers[number][0].retry_after >= 1000


@pytest.mark.parametrize("allowed, most", [(False, 2000.0), (True, None), (False, None)])
def test_no_retry_after_where_it_is_forbidden_or_unbounded(allowed, most):
    d = Driver(may_advise_retry=allowed, max_retry_after_ms=most)
    number = d.message(SAFE, time_left=1000.0)
    d.finish(number, FULL, wait=5000.0)
    assert [a.retry_after for a in d.final_answers[number]] == [0.0]
    assert [t for t, a in d.log if isinstance(a, Refuse)] == [d.now]  # immediately, although time is left


def test_burst_above_the_limit_of_pending_messages_is_answered_in_full():
    d = Driver(most_held=12, slots=3, per_call=[1])
    d.run_step(*[Message(n, 1, SAFE, 0, d.now + 8000.0) for n in range(1, 41)])
    assert len(d.final_answers) >= 28
    for _ in range(60):
        for number, _ in list(d.attempts_in_flight):
            d.finish(number)
        d.advance(100)
    assert sorted(d.final_answers) == list(range(1, 41)) and all(len(f) == 1 for f in d.final_answers.values())


def test_what_a_rate_limit_lets_through_too_late_is_shed_at_once_least_valuable_first():
    message_classes = classes()
    message_classes[UNSAFE].worth = 3.0
    d = Driver([member(11, weight=40.0)], **REPORTS, classes=message_classes)
    d.finish(d.message(SAFE), Result.FULL, report=(0.0, 40.0))
    low = [d.message(SAFE) for _ in range(12)]
    high = [d.message(UNSAFE) for _ in range(2)]
    ended = set(d.final_answers)
    assert len(ended & set(low)) >= 9 and not ended & set(high)
    d.advance(6000)
    assert [a.id for a in d.sent()][1] in high


def test_messages_over_a_tenants_quota_wait_behind_those_of_others():
    d = Driver(tenants=[Tenant("a", 2.0), Tenant("b", 2.0)], over_share_worth=0.2)
    d.run_step(*[Message(n, 1, SAFE, 0, d.now + 8000.0) for n in range(1, 9)])
    d.run_step(Message(20, 1, SAFE, 1, d.now + 8000.0))
    order = []
    while d.attempts_in_flight:
        order.append(next(iter(d.attempts_in_flight))[0])
        d.finish(order[-1])
    assert order.index(20) < 6
