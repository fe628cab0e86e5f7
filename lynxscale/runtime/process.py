"""Runs a program of the serving tier: configures its log, loads its settings and runs its event loop until SIGTERM.

The last line of its log tells why it ended, unless the system has killed it:

- ``event=ended reason=stopped``: exit code ``OK``
- the findings on standard error: ``UNUSABLE``; the settings have to be corrected
- ``event=ended reason=not_started``: ``NOT_STARTED``; a later start may succeed
- ``event=ended reason=error``: ``FAILED``; the lines before have the traceback
"""

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
from lynxscale.runtime.exceptions import SettingsError, StartCancelledError, StartError
from lynxscale.runtime.exit_codes import ExitCode
from lynxscale.runtime.http_client import AsyncioDialer
from lynxscale.runtime.listener import Listeners
from lynxscale.runtime.peer_network import PeerNetwork
from lynxscale.runtime.reload_signal import signal_handled
from lynxscale.runtime.resource_limits import Quotas, ResourceLimits, resource_limits
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
    resources: ResourceLimits
    listeners: Listeners
    """For all but the internal address, which ``network`` listens at."""


Serve = Callable[[ProcessContext], Coroutine[Any, Any, None]]


def run(serve: Serve, connect_timeout_s: float, quotas: Quotas) -> int:
    """Run ``serve(context)`` until it returns; return the exit code.

    ``connect_timeout_s``: the timeout for connections to endpoints, the platform and operators. ``quotas``: how the
    memory and descriptors of the settings are divided.
    """
    logs.configure()
    try:
        settings = load_settings()
    except SettingsError as error:
        print(error, file=sys.stderr)
        return ExitCode.UNUSABLE
    try:
        with contextlib.suppress(KeyboardInterrupt, StartCancelledError):
            asyncio.run(_run_in_loop(serve, settings, connect_timeout_s, resource_limits(settings.limits, quotas)))
    except StartError as error:
        log.error("event=ended reason=not_started error=%s", error)
        return ExitCode.NOT_STARTED
    except Exception as error:  # the process ends by it, and tells so
        log.exception("event=failed")
        log.error("event=ended reason=error error=%r", error)
        return ExitCode.FAILED
    log.info("event=ended reason=stopped")
    return ExitCode.OK


async def _run_in_loop(serve: Serve, settings: Settings, connect_timeout_s: float, resources: ResourceLimits) -> None:
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    network = PeerNetwork(loop, settings.internal_address, resources.peers, resources.peer_messages)
    dialer = AsyncioDialer(loop, connect_timeout_s)
    listeners = Listeners(loop)
    with signal_handled(loop, signal.SIGTERM, stopped.set):
        async with contextlib.aclosing(network), contextlib.aclosing(dialer), contextlib.aclosing(listeners):
            await serve(ProcessContext(settings, stopped, network, dialer, resources, listeners))
