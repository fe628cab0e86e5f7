"""Runs a program of the serving tier: configures its log, loads its settings and runs its event loop until SIGTERM."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import signal
import sys
from collections.abc import Callable, Coroutine
from typing import Any

from attrs import frozen

from lynxscale.runtime import logs
from lynxscale.runtime.exceptions import SettingsError
from lynxscale.runtime.exit_codes import ExitCode
from lynxscale.runtime.http_client import AsyncioDialer
from lynxscale.runtime.peer_network import PeerNetwork
from lynxscale.runtime.reload_signal import signal_handled
from lynxscale.runtime.settings import Settings
from lynxscale.runtime.settings_reader import load_settings

log = logging.getLogger(__name__)


@frozen
class ProcessContext:
    """What a program runs with. ``stopped`` is set by SIGTERM."""

    settings: Settings
    stopped: asyncio.Event
    network: PeerNetwork
    dialer: AsyncioDialer


Serve = Callable[[ProcessContext], Coroutine[Any, Any, None]]


def run(serve: Serve, connect_timeout_s: float) -> int:
    """Run ``serve(context)`` until it returns; return the exit code, ``UNUSABLE`` for unusable settings.

    ``connect_timeout_s``: the timeout for connections to endpoints, the platform and operators.
    """
    logs.configure()
    try:
        settings = load_settings()
    except SettingsError as error:
        print(error, file=sys.stderr)
        return ExitCode.UNUSABLE
    with contextlib.suppress(KeyboardInterrupt):
        asyncio.run(_run_in_loop(serve, settings, connect_timeout_s))
    return ExitCode.OK


async def _run_in_loop(serve: Serve, settings: Settings, connect_timeout_s: float) -> None:
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    network = PeerNetwork(loop, settings.internal_address)
    dialer = AsyncioDialer(loop, connect_timeout_s)
    with signal_handled(loop, signal.SIGTERM, stopped.set):
        async with contextlib.aclosing(network), contextlib.aclosing(dialer):
            await serve(ProcessContext(settings, stopped, network, dialer))
        log.info("event=ended")
