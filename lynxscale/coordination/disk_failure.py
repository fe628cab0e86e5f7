"""How a member reacts to a disk failure: it steps down as primary and is no candidate during a cooldown."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TypeVar

from lynxscale.coordination.lease import NEVER
from lynxscale.coordination.ports import Clock

log = logging.getLogger(__name__)

DISK_FAILURE_COOLDOWN_S = 1.0  # a member does not become a candidate for this long after a disk failure

Argument = TypeVar("Argument")


class DiskFailureHandler:
    """Calls ``step_down()`` for each failure, because the member can store neither promises nor batches."""

    def __init__(self, clock: Clock, step_down: Callable[[], None]) -> None:
        self._clock = clock
        self._step_down = step_down
        self._logged_at = NEVER

    def guard(self, handler: Callable[[Argument], None], argument: Argument) -> None:
        """Call a handler that may write, and treat its ``OSError`` as a disk failure."""
        try:
            handler(argument)
        except OSError as error:
            self.on_failure(error)

    def on_failure(self, error: OSError) -> None:
        """Handle a failed write. Logged at most once per cooldown, as a full disk fails many times a second."""
        now = self._clock.now()
        if now - self._logged_at > DISK_FAILURE_COOLDOWN_S:
            log.error("event=disk_failed error=%s", error)
            self._logged_at = now
        self._step_down()
