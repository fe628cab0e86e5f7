"""Work that takes long: in the loop, a bounded time a turn; and calls that may block, in a thread."""

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

MAX_BLOCKING_NS = 1_500_000  # of the loop at a time; the scheduler's step on what was applied meanwhile adds to it


class SlicedRunner:
    """Runs work in slices; ``longest_block_ns`` is the longest that it has blocked the loop so far, in ns."""

    def __init__(self, deadlines: Deadlines) -> None:
        self._deadlines = deadlines
        self.longest_block_ns = 0

    def run(self, work: SlicedWork, large: bool) -> Deferred:
        """Fires with the result, or the failure. ``large``: it creates very many objects that stay."""
        done: Deferred = Deferred()
        if large:
            # Guards the loop: the collector would walk all entries again and again while they are created, 50 ms each
            # time with 50,000. They have no reference cycles; afterwards they are frozen.
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
        except Exception:  # whatever the work raises is its Deferred's failure
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
    """One thread for calls that may block. It is not joined: a disk that hangs must not keep the process."""

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
            except Exception:  # whatever the call raises is its Deferred's failure
                result = Failure()
            self._reactor.callFromThread(done.callback, result)
            del done, result, args  # guards the memory: the last bytes read would stay until the next call
