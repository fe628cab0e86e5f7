"""Connection attempts that are under way on an event loop.

asyncio.run cancels the tasks that exist when the main one returns, but not those that timers start after that. A
connection attempt that is left when the loop is closed raises "Event loop is closed" as it is discarded.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any


class ConnectTasks:
    """Runs connection attempts as tasks, until it is closed."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._tasks: set[asyncio.Task[None]] = set()
        self._closed = False

    def start(self, connect: Callable[[], Coroutine[Any, Any, None]]) -> None:
        """Run ``connect()`` in the background; no effect once this is closed."""
        if self._closed:
            return
        task = self._loop.create_task(connect())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def aclose(self) -> None:
        """Cancel the attempts that are under way, wait for their end, and start no others from now on."""
        self._closed = True
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
