"""Waits of a judge that shares its machine with what it judges: time in which it stood still itself does not count.

Only the judge's own lateness counts as a stall: a timer of its own that fires late. Nothing that it waits for does.
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

POLL_INTERVAL_S = 0.05
MIN_STALL_S = 0.1  # a quarter of the leader's lease
EVENT_POLL_INTERVAL_S = 0.25


def lateness_s(began_at: float, interval_s: float) -> float:
    """Return by how many seconds a timer of ``interval_s`` that began at a time fires late now; 0 if that is usual."""
    late_s = time.monotonic() - began_at - interval_s
    return late_s if late_s > MIN_STALL_S else 0.0


async def wait_until(
    condition: Callable[[], Awaitable[bool]], timeout_s: float, condition_name: str, interval_s: float = POLL_INTERVAL_S
) -> None:
    """Poll until the condition holds. Raises TimeoutError, which names the condition."""
    end = time.monotonic() + timeout_s
    while not await condition():
        if time.monotonic() > end:
            raise TimeoutError(f"not within {timeout_s:.0f} s: {condition_name}")
        began_at = time.monotonic()
        await asyncio.sleep(interval_s)
        end += lateness_s(began_at, interval_s)


async def is_set_within(event: asyncio.Event, timeout_s: float) -> bool:
    """Wait for an event; return whether it was set in time."""
    end = time.monotonic() + timeout_s
    while not event.is_set():
        if time.monotonic() > end:
            return False
        began_at = time.monotonic()
        try:
            async with asyncio.timeout(EVENT_POLL_INTERVAL_S):
                await event.wait()
        except TimeoutError:
            end += lateness_s(began_at, EVENT_POLL_INTERVAL_S)
    return True
