"""A member's reaction to a failure of its disk: it gives up its lead, and is no candidate for a cooldown."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import TypeVar

from lynxscale.coordination.lease import NEVER
from lynxscale.coordination.ports import Clock

log = logging.getLogger(__name__)

DISK_FAILURE_COOLDOWN_S = 1.0  # a member whose disk failed is no candidate for so long

Argument = TypeVar("Argument")


class DiskFailureHandler:
    """``stand_aside()`` is called for each failure: this member can promise and store nothing."""

    def __init__(self, clock: Clock, stand_aside: Callable[[], None]) -> None:
        self._clock = clock
        self._stand_aside = stand_aside
        self._logged_at = NEVER

    def guard(self, handler: Callable[[Argument], None], argument: Argument) -> None:
        """Call a handler that may write; an ``OSError`` of it is a disk failure."""
        try:
            handler(argument)
        except OSError as error:
            self.on_failure(error)

    def on_failure(self, error: OSError) -> None:
        """A write has failed. Logged once per cooldown, as a full disk fails many times a second."""
        now = self._clock.now()
        if now - self._logged_at > DISK_FAILURE_COOLDOWN_S:
            log.error("event=disk_failed error=%s", error)
            self._logged_at = now
        self._stand_aside()
