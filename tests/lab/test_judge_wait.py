"""Waits of a judge: a stall of its own does not count, and nothing else is excused."""

import asyncio
import time

import pytest

from lab.tier.judge_wait import is_set_within, wait_until

STALL_S = 0.7


async def set_after_stall(event: asyncio.Event, delay_s: float) -> None:
    """Stand still in this process, as a machine that does not schedule it would, and set the event some time later."""
    await asyncio.sleep(0.05)
    time.sleep(STALL_S)
    await asyncio.sleep(delay_s)
    event.set()


async def is_set(event: asyncio.Event) -> bool:
    return event.is_set()


@pytest.mark.parametrize(("delay_s", "in_time"), [(0.1, True), (2.0, False)])
def test_time_in_which_the_judge_stood_still_does_not_count(delay_s, in_time):
    """Guards against UNANSWERED for requests whose answers the judge could not read; the rest of the time counts."""

    async def wait() -> bool:
        event = asyncio.Event()
        stalling = asyncio.create_task(set_after_stall(event, delay_s))
        try:
            return await is_set_within(event, 0.4)
        finally:
            stalling.cancel()

    assert asyncio.run(wait()) == in_time


@pytest.mark.parametrize(("delay_s", "in_time"), [(0.1, True), (2.0, False)])
def test_a_condition_is_awaited_for_as_long_as_the_judge_could_see_it(delay_s, in_time):
    async def wait() -> bool:
        event = asyncio.Event()
        stalling = asyncio.create_task(set_after_stall(event, delay_s))
        try:
            await wait_until(lambda: is_set(event), 0.4, "the event")
        except TimeoutError:
            return False
        finally:
            stalling.cancel()
        return True

    assert asyncio.run(wait()) == in_time


def test_without_a_stall_the_time_is_what_it_says():
    async def wait() -> float:
        began_at = time.monotonic()
        assert not await is_set_within(asyncio.Event(), 0.3)
        return time.monotonic() - began_at

    assert 0.3 <= asyncio.run(wait()) < 3.0
