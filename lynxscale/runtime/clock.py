"""The clock and timers of a process: the event loop's monotonic time and the system's Unix time."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable


class LoopClock:
    """Implements the Clock port of ``lynxscale.coordination.ports`` with an asyncio event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self.now = loop.time
        self.wall = time.time

    def call_later(self, delay: float, call: Callable[[], None]) -> asyncio.Handle:
        """Call ``call()`` once, after ``delay`` seconds; in the loop's next iteration if ``delay`` is 0 or less."""
        if delay <= 0:
            return self._loop.call_soon(call)
        return self._loop.call_later(delay, call)
