"""A thread for long computations, so that the event loop goes on handling messages and timers meanwhile."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import TypeVar

Result = TypeVar("Result")


def _leave_signals_to_main_thread() -> None:
    """Block all signals in this thread, as those that the main thread blocks would be delivered to it."""
    signal.pthread_sigmask(signal.SIG_BLOCK, signal.valid_signals())


class WorkerThread:
    """Implements Worker with one thread, which is started by the first computation."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._executor = ThreadPoolExecutor(1, "worker", _leave_signals_to_main_thread)

    def run(self, compute: Callable[[], Result], on_result: Callable[[Result], None]) -> None:
        """Part of Worker."""
        future = self._loop.run_in_executor(self._executor, compute)
        future.add_done_callback(lambda done: None if done.cancelled() else on_result(done.result()))

    async def aclose(self) -> None:
        """Wait for the computation under way, and drop the others."""
        self._executor.shutdown(wait=True, cancel_futures=True)
