"""Tests of which messages may be sent again."""

import pytest

from lynxscale.scheduling.actions import Attempt, Fail, Refuse
from lynxscale.scheduling.events import (
    Result,
)
from lynxscale.scheduling.settings import Effect, MessageClass
from tests.scheduling.driver import KEYED, SAFE, UNSAFE, Driver, member

NOT_EXECUTED = (Result.FULL, Result.CONNECT_FAILED, Result.MOOT)
MAYBE_EXECUTED = (Result.ERROR, Result.RESET, Result.CANCELLED)


@pytest.mark.parametrize("result", MAYBE_EXECUTED)
def test_unsafe_message_is_failed_not_repeated(result):
    d = Driver()
    number = d.message(UNSAFE)
    d.finish(number, result)
    d.advance(5000)
    assert d.count[number] == 1 and isinstance(d.final_answers[number][0], Fail)


@pytest.mark.parametrize("result", NOT_EXECUTED)
def test_unsafe_message_is_sent_again_if_certainly_not_executed(result):
    d = Driver()
    number = d.message(UNSAFE)
    d.finish(number, result)
    d.advance(3000)
    assert d.count[number] == 2


def test_keyed_message_is_not_sent_after_its_key_is_forgotten():
    d = Driver()
    number = d.message(KEYED)
    d.finish(number, Result.RESET)
    for _ in range(30):
        d.advance(500)
        if d.is_in_flight(number):
            d.finish(number, Result.FULL)
    first = next(t for t, a in d.log if isinstance(a, Attempt) and a.id == number)
    late = [t for t, a in d.log if isinstance(a, Attempt) and a.id == number and t > first + 5000]
    assert d.count[number] > 1 and not late and len(d.final_answers[number]) == 1


def test_keyed_message_pending_until_its_key_is_forgotten_is_answered():
    d = Driver()
    number = d.message(KEYED)
    d.finish(number, Result.RESET)
    d.advance(600)
    d.finish(number, Result.FULL, wait=9000)
    d.advance(10000)
    assert len(d.final_answers[number]) == 1


def test_keyed_message_stays_in_its_zone():
    message_class = MessageClass("zoned", 2000.0, 20000.0, 1.0, 0.3, Effect.KEYED, "zone", 5000.0)
    d = Driver(members=[member(11, zone=0), member(12, zone=1)], classes=[message_class])
    number = d.message(0)
    zone = d.sent()[0].endpoint
    d.finish(number, Result.ERROR)
    d.advance(4000)
    assert {a.endpoint for a in d.sent()} == {zone}


def test_message_with_too_little_time_is_rejected_unsent():
    d = Driver()
    d.warm_up(40)
    before = len(d.sent())
    number = d.message(SAFE, time_left=60.0)
    assert isinstance(d.final_answers[number][0], Refuse) and len(d.sent()) == before


def test_nothing_is_sent_with_less_than_two_usual_latencies_left():
    d = Driver()
    d.warm_up(40)
    number = d.message(SAFE, time_left=190.0)
    assert isinstance(d.final_answers[number][0], Refuse)
    d.message(SAFE, time_left=210.0)
    assert len(d.sent()) == 41
