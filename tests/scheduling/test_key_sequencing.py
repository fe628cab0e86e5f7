"""Tests that messages with the same key are sent one at a time, in order."""

import pytest

from lynxscale.scheduling.events import (
    Outcome,
    Result,
    Withdrawn,
)
from tests.scheduling.driver import ORDERED, Driver


def test_one_key_is_sent_one_at_a_time_in_order():
    d = Driver()
    numbers = [d.message(ORDERED, key=9) for _ in range(4)]
    for number in numbers:
        assert [k[0] for k in d.attempts_in_flight] == [number]
        d.finish(number)
    assert not d.attempts_in_flight


@pytest.mark.parametrize("result", [Result.RESET, Result.TIMEOUT, Result.CANCELLED])
def test_key_pauses_after_an_outcome_in_doubt(result):
    d = Driver()
    first, second = d.message(ORDERED, key=9), d.message(ORDERED, key=9)
    d.finish(first, result)
    d.advance(299)
    assert not d.is_in_flight(second)
    d.advance(3000)
    assert d.is_in_flight(second)


def test_withdrawn_message_blocks_its_key_until_its_outcome():
    d = Driver()
    first, second = d.message(ORDERED, key=9), d.message(ORDERED, key=9)
    d.run_step(Withdrawn(first))
    d.advance(100)
    assert not d.is_in_flight(second)
    d.attempts_in_flight.pop((first, 0))
    d.run_step(Outcome(first, 0, 11, Result.OK, 100.0, True))
    d.advance(1)
    assert d.is_in_flight(second)


def test_pause_of_a_key_outlives_an_empty_sequence():
    d = Driver()
    first = d.message(ORDERED, key=9)
    d.finish(first, Result.RESET)
    second = d.message(ORDERED, key=9)
    d.advance(250)
    assert not d.is_in_flight(second)
