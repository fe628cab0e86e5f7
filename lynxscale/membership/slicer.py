"""Long works in the loop, a bounded time a turn."""

from __future__ import annotations

import gc
import time
from typing import Any

from twisted.internet.defer import Deferred

from lynxscale.deadlines import Deadlines
from lynxscale.membership.model import Slices

HOLD_NS = 2_000_000  # of the loop's time, in one go


class Slicer:
    """Runs one work after the other; ``longest`` is the longest hold of the loop so far, in ns."""

    def __init__(self, deadlines: Deadlines) -> None:
        self._deadlines = deadlines
        self.longest = 0

    def run(self, work: Slices, large: bool) -> Deferred:
        """The work's result, or its failure. ``large``: it makes very many objects that stay."""
        done: Deferred = Deferred()
        if large:
            # Guards the loop: the collector would walk all entries again and again while they are made, 50 ms each
            # time with 50,000. They hold no circles; afterwards it is told to leave them alone.
            gc.disable()
        self._go(work, large, done)
        return done

    def _go(self, work: Slices, large: bool, done: Deferred) -> None:
        begun = time.monotonic_ns()
        result: Any = None
        try:
            while True:
                next(work)
                if time.monotonic_ns() - begun >= HOLD_NS:
                    break
        except StopIteration as end:
            result, ended = end.value, True
        except Exception:
            self._over(large)
            done.errback()
            return
        else:
            ended = False
        self.longest = max(self.longest, time.monotonic_ns() - begun)
        if ended:
            self._over(large)
            done.callback(result)
        else:
            self._deadlines.after(1, self._go, work, large, done)

    @staticmethod
    def _over(large: bool) -> None:
        if large:
            gc.freeze()
            gc.enable()
