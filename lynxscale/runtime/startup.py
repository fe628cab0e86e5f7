"""Waits at the start of a process for what may be busy for a while: a port that is still held, a disk that is full.

A process that ended instead would be started again and again, and count as one that fails.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from typing import TypeVar

from lynxscale.runtime.exceptions import StartCancelledError, StartError
from lynxscale.runtime.listener import DEFAULT_BACKLOG, listening_socket

log = logging.getLogger(__name__)

START_TIMEOUT_S = 60.0
RETRY_INTERVAL_S = 0.1

Started = TypeVar("Started")


async def retry_until_started(resource: str, start: Callable[[], Started], stopped: asyncio.Event) -> Started:
    """Return ``start()``, repeated while it raises OSError. ``resource``: what it needs, for the log.

    Raises StartError if it still does after ``START_TIMEOUT_S``, and StartCancelledError once ``stopped`` is set.
    """
    loop = asyncio.get_running_loop()
    deadline = loop.time() + START_TIMEOUT_S
    logged = False
    while True:
        try:
            return start()
        except OSError as error:
            if loop.time() >= deadline:
                raise StartError(f"{resource}: {error}") from error
            if not logged:
                log.warning("event=waiting for=%s error=%s", resource, error)
                logged = True
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(stopped.wait(), RETRY_INTERVAL_S)
            raise StartCancelledError(f"stopped while waiting for {resource}")


async def listen_once_free(address: str, stopped: asyncio.Event, backlog: int = DEFAULT_BACKLOG) -> socket.socket:
    """Return a socket that listens on ``host:port``. Raises like ``retry_until_started``."""
    return await retry_until_started(address, lambda: listening_socket(address, backlog), stopped)
