"""SIGHUP asks a running program to read its settings file again. By default it would end a process that is not ready.

A program holds the signal from the beginning of its start until it can handle it, and again while it ends. A signal
that is held during the start is handled at the end of it. SIGTERM is held while a program ends, which it asks for. This
module imports little, as it is imported first.
"""

from __future__ import annotations

import signal
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

RELOAD_SIGNAL = signal.SIGHUP


def hold_reload_signal() -> None:
    """Block the signal in this thread: it stays pending, and does not end the process."""
    signal.pthread_sigmask(signal.SIG_BLOCK, {RELOAD_SIGNAL})


def release_reload_signal() -> None:
    """Deliver the signal again, a pending one at once; called when a handler is in place."""
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {RELOAD_SIGNAL})


@contextmanager
def reload_signal_handled(loop: asyncio.AbstractEventLoop, handler: Callable[[], None]) -> Iterator[None]:
    """Call ``handler`` in the event loop for each signal, from a pending one on; hold the signal again afterwards."""
    with signal_handled(loop, RELOAD_SIGNAL, handler):
        yield


@contextmanager
def signal_handled(
    loop: asyncio.AbstractEventLoop, number: signal.Signals, handler: Callable[[], None]
) -> Iterator[None]:
    """Call ``handler`` in the event loop for each signal of a kind, from a pending one on; then block the signal.

    A signal that arrives while the loop is closed would be written to a closed descriptor, and the one after that would
    end the process with another exit code.
    """
    loop.add_signal_handler(number, handler)
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {number})
    try:
        yield
    finally:
        signal.pthread_sigmask(signal.SIG_BLOCK, {number})
