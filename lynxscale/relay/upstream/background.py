"""Long work in the event loop, in slices of bounded time, and calls that may block, in a thread."""

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
from lynxscale.relay.upstream.model import SlicedWork

MAX_BLOCKING_NS = 1_500_000  # per slice, without the scheduler's step on the changes that the slice applied


class SlicedRunner:
    """Runs work in slices. ``longest_block_ns``: the longest time that one slice has blocked the event loop."""

    def __init__(self, deadlines: Deadlines) -> None:
        self._deadlines = deadlines
        self.longest_block_ns = 0

    def run(self, work: SlicedWork, large: bool) -> Deferred:
        """Run ``work``; the Deferred fires with its result or failure.

        ``large``: the work creates very many long-lived objects, so garbage collection is suspended meanwhile.
        """
        done: Deferred = Deferred()
        if large:
            # The collector would traverse all entries repeatedly while they are created, which blocks the event loop
            # for 50 ms each time with 50,000 entries. They have no reference cycles and are frozen afterwards.
            gc.disable()
        self._continue(work, large, done)
        return done

    def _continue(self, work: SlicedWork, large: bool, done: Deferred) -> None:
        started = time.monotonic_ns()
        result: Any = None
        try:
            while True:
                next(work)
                if time.monotonic_ns() - started >= MAX_BLOCKING_NS:
                    break
        except StopIteration as end:
            result, ended = end.value, True
        except Exception:  # any exception of the work becomes the Deferred's failure
            self._finish(large)
            done.errback()
            return
        else:
            ended = False
        self.longest_block_ns = max(self.longest_block_ns, time.monotonic_ns() - started)
        if ended:
            self._finish(large)
            done.callback(result)
        else:
            self._deadlines.after(1, self._continue, work, large, done)

    @staticmethod
    def _finish(large: bool) -> None:
        if large:
            gc.freeze()
            gc.enable()


class Worker:
    """A thread for calls that may block. It is a daemon, so that a hanging disk cannot prevent the process's exit."""

    def __init__(self, reactor: Any) -> None:
        self._reactor = reactor
        self._work: SimpleQueue = SimpleQueue()
        self._thread: threading.Thread | None = None

    def call(self, work: Callable, *args: Any) -> Deferred:
        """Call ``work(*args)`` in the thread, in order of submission; the Deferred fires in the event loop."""
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
            except Exception:  # any exception of the call becomes the Deferred's failure
                result = Failure()
            self._reactor.callFromThread(done.callback, result)
            del done, result, args  # these references would keep the last bytes read in memory until the next call
