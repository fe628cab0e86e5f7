"""Time from asyncio's loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


class LoopClock:
    """Implements the Clock port."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.now = loop.time
        self.wall = time.time

    def call_later(self, delay: float, call: Callable[[], None]) -> asyncio.Handle:
        """Make the call once, after ``delay`` seconds; at the loop's next turn for none."""
        if delay <= 0:
            return self._loop.call_soon(call)
        return self._loop.call_later(delay, call)
