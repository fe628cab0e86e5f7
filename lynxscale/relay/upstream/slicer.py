"""What takes long: works in the loop, a bounded time a turn, and calls that may block, in a thread."""

from __future__ import annotations

import gc
import threading
import time
from collections.abc import Callable
from queue import SimpleQueue
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from lynxscale.relay.deadlines import Deadlines
from lynxscale.relay.upstream.model import Slices

HOLD_NS = 1_500_000  # of the loop's time, in one go; the module's step on what was applied meanwhile comes on top


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


class Worker:
    """One thread for what may block. Its end is not waited for: a disk that hangs must not keep the process."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._work: SimpleQueue = SimpleQueue()
        self._thread: threading.Thread | None = None

    def call(self, work: Callable, *args: Any) -> Deferred:
        """``work(*args)`` in the thread, one after the other; its result or failure in the loop."""
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="lists", daemon=True)
            self._thread.start()
        done: Deferred = Deferred()
        self._work.put((done, work, args))
        return done

    def _run(self) -> None:
        while True:
            done, work, args = self._work.get()
            try:
                result: Any = work(*args)
            except Exception:
                result = Failure()
            self._reactor.callFromThread(done.callback, result)
            del done, result, args  # guards the memory: the last bytes read would stay until the next call
