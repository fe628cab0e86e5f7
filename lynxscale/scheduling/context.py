"""State shared by all decision modules of a scheduler: settings, random numbers, current step, timers."""

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
    """Settings, random generator, timers and the current step's time and actions.

    ``now`` is in milliseconds on the caller's clock and constant during a step.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        self.settings = settings
        self.random = Random(seed)
        self.next_number: Callable[[], int] = count(1).__next__  # sequence numbers, to break ties
        self.timers = TimerQueue(self.next_number)
        self.now = 0.0
        self.step_number = 0
        self.actions: list[Action] = []

    def begin_step(self, now: float) -> None:
        """Start a step at the time ``now`` (ms) with an empty list of actions."""
        self.now = now
        self.actions = []
        self.step_number += 1
