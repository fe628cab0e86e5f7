"""What all decision modules of one scheduler share: settings, randomness, the time and actions of the step, timers."""

from __future__ import annotations

from collections.abc import Callable
from itertools import count
from random import Random
from typing import TYPE_CHECKING

from lynxscale.scheduling.timers import TimerQueue

if TYPE_CHECKING:
    from lynxscale.scheduling.actions import Action
    from lynxscale.scheduling.settings import Settings


class SchedulerContext:
    """Shared state of one step. ``now`` is in milliseconds on the caller's clock and fixed during a step."""

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.next_number: Callable[[], int] = count(1).__next__  # orders whatever is else equal
        self.timers = TimerQueue(self.next_number)
        self.now = 0.0
        self.step_number = 0
        self.actions: list[Action] = []

    def begin_step(self, now: float) -> None:
        """Start a step at the time ``now`` (ms) with no actions."""
        self.now = now
        self.actions = []
        self.step_number += 1
