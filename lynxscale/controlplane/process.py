"""The process of a control member: ``python -m lynxscale.controlplane``.

SIGTERM starts a graceful shutdown: the member hands over the lease and leaves the group. SIGHUP reloads the settings
file.
"""

from __future__ import annotations

import asyncio
import contextlib
import logging
from random import Random

from lynxscale.controlplane.service import ControlService
from lynxscale.runtime.clock import LoopClock
from lynxscale.runtime.durable_files import DurableFiles
from lynxscale.runtime.http_server import ServerConnection
from lynxscale.runtime.listener import ConnectionSlot
from lynxscale.runtime.loop_turns import TURN_UNITS, LoopTurns
from lynxscale.runtime.process import ProcessContext, run
from lynxscale.runtime.reload_signal import reload_signal_handled
from lynxscale.runtime.resource_limits import MEMBER_QUOTAS
from lynxscale.runtime.server_limits import ServerLimits
from lynxscale.runtime.settings_watcher import SettingsWatcher, watch_until
from lynxscale.runtime.sockets import limit_socket_buffers
from lynxscale.runtime.startup import listen_once_free, retry_until_started
from lynxscale.runtime.worker_thread import WorkerThread

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 1.0
SHUTDOWN_MARGIN_S = 1.0  # the process exits this long before the platform kills it
FLUSH_DELAY_S = 0.05  # lets the last messages be sent before the process exits
MAX_BODY_BYTES = 8 * 1024 * 1024


async def serve(context: ProcessContext) -> None:
    """Serve messages of other nodes and the operator's requests until SIGTERM, then leave the group."""
    settings, network, stopped = context.settings, context.network, context.stopped
    loop = asyncio.get_running_loop()
    clock = LoopClock(loop)
    worker = WorkerThread(loop)
    resources = context.resources

    # The port comes first: while an earlier process has it, that one may still write to the folder.
    internal = await listen_once_free(settings.internal_address, stopped)
    files = await retry_until_started("disk", lambda: DurableFiles(settings.data_dir, network.flush), stopped)

    def create_service() -> ControlService:
        return ControlService(settings, clock, network, files, context.dialer, Random(), worker, resources)

    service = await retry_until_started("disk", create_service, stopped)
    network.listen(internal, service.receive)
    if settings.listen.control:
        limits = ServerLimits(
            body_bytes=MAX_BODY_BYTES,
            waiting_requests=resources.requests,
            waiting_responses=resources.responses,
        )

        turns = LoopTurns(TURN_UNITS)

        def accept_operator(slot: ConnectionSlot) -> ServerConnection:
            return ServerConnection(service.handle_request, limits, clock, set(), slot, turns)

        control = await listen_once_free(settings.listen.control, stopped)
        limit_socket_buffers(control)
        context.listeners.listen(control, accept_operator, resources.clients)
    log.info("event=started member=%s state=%s", service.member.member_id, service.member.role.value)
    watcher = SettingsWatcher(settings, service.settings_changed)
    async with contextlib.aclosing(worker):
        with reload_signal_handled(loop, watcher.reload):
            await watch_until(context.stopped, watcher)
            await leave(service, settings.bounds.grace_s - SHUTDOWN_MARGIN_S)


async def leave(service: ControlService, timeout_s: float) -> None:
    """Leave the group; wait until nothing depends on this member any more, at most ``timeout_s`` seconds."""
    released = asyncio.Event()
    service.leave(released.set)
    try:
        async with asyncio.timeout(max(timeout_s, 0.0)):
            await released.wait()
    except TimeoutError:
        log.warning("event=left_unreleased")
    await asyncio.sleep(FLUSH_DELAY_S)


def main() -> int:
    """Run a control process until SIGTERM and return its exit code: 2 if its settings are unusable."""
    return run(serve, CONNECT_TIMEOUT_S, MEMBER_QUOTAS)
