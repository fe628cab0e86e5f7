"""A number of clients of one kind, each of which is a task."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from random import Random
from typing import TYPE_CHECKING

from lab.tier.local import LocalTier

if TYPE_CHECKING:
    from lab.tier.persistent_clients import PersistentRequest


class ClientGroup(ABC):
    """The clients of one kind in one run. ``unanswered``: the requests that did not end in time."""

    def __init__(self, tier: LocalTier, random: Random, clients: int) -> None:
        self.unanswered: list[PersistentRequest] = []
        self._tier = tier
        self._random = random
        self._clients = clients
        self._serial = 0
        self._tasks: list[asyncio.Task] = []

    def begin(self, group: asyncio.TaskGroup) -> None:
        """Start all clients as tasks of a group."""
        self._tasks = [group.create_task(self._run(number)) for number in range(self._clients)]

    def cancel(self) -> None:
        """Cancel the tasks of all clients."""
        for task in self._tasks:
            task.cancel()

    @abstractmethod
    async def _run(self, number: int) -> None:
        """Act as one client until it is cancelled."""
