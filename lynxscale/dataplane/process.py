"""The process of a relay: ``python -m lynxscale.dataplane``.

SIGTERM starts a graceful shutdown. SIGHUP reloads the settings file.
"""

from __future__ import annotations

import asyncio
import logging
from random import Random

from lynxscale.dataplane.service import RelayService
from lynxscale.runtime.clock import LoopClock
from lynxscale.runtime.http_server import ServerConnection
from lynxscale.runtime.listener import ConnectionSlot, Listener
from lynxscale.runtime.loop_turns import TURN_UNITS, LoopTurns
from lynxscale.runtime.process import ProcessContext, run
from lynxscale.runtime.reload_signal import reload_signal_handled
from lynxscale.runtime.resource_limits import RELAY_QUOTAS
from lynxscale.runtime.settings_watcher import SettingsWatcher, watch_until
from lynxscale.runtime.sockets import limit_socket_buffers
from lynxscale.runtime.startup import listen_once_free

log = logging.getLogger(__name__)

CONNECT_TIMEOUT_S = 0.6
NOT_READY_PERIOD_S = 2.6  # the platform sends new connections until two health checks have failed
SHUTDOWN_MARGIN_S = 0.8  # the process exits this long before the platform kills it
DRAIN_POLL_INTERVAL_S = 0.05
LISTEN_BACKLOG = 512


async def serve(context: ProcessContext) -> None:
    """Serve until SIGTERM, then drain the requests in flight for at most the grace period, less a margin."""
    settings, network = context.settings, context.network
    loop = asyncio.get_running_loop()
    clock = LoopClock(loop)
    resources, listen, stopped = context.resources, settings.listen, context.stopped
    service = RelayService(settings, clock, network, context.dialer, Random(), resources)
    service.accepting = False
    clients: set[ServerConnection] = set()
    client_turns, health_check_turns = LoopTurns(TURN_UNITS), LoopTurns(TURN_UNITS)

    def accept_client(slot: ConnectionSlot) -> ServerConnection:
        return ServerConnection(service.handle_request, service.limits, clock, clients, slot, client_turns)

    def accept_health_check(slot: ConnectionSlot) -> ServerConnection:
        return ServerConnection(service.handle_readiness, service.limits, clock, set(), slot, health_check_turns)

    network.listen(await listen_once_free(settings.internal_address, stopped), service.receive)
    readiness = await listen_once_free(listen.readiness, stopped)
    context.listeners.listen(readiness, accept_health_check, resources.health_checks)
    frontend = await listen_once_free(listen.frontend, stopped, LISTEN_BACKLOG)
    limit_socket_buffers(readiness)
    limit_socket_buffers(frontend)
    server = context.listeners.listen(frontend, accept_client, resources.clients)
    service.accepting = True
    log.info("event=started")
    watcher = SettingsWatcher(settings, service.settings_changed)
    with reload_signal_handled(loop, watcher.reload):
        await watch_until(context.stopped, watcher)
        await drain(service, server, clients, loop.time() + settings.bounds.grace_s - SHUTDOWN_MARGIN_S)


async def drain(service: RelayService, server: Listener, clients: set[ServerConnection], deadline: float) -> None:
    """Close the listener after ``NOT_READY_PERIOD_S``, then idle connections; wait for the requests in flight.

    ``deadline``: the loop time at which the wait ends.
    """
    loop = asyncio.get_running_loop()
    service.stopping = True
    service.limits.closing = True
    await asyncio.sleep(NOT_READY_PERIOD_S)
    server.close()
    while loop.time() < deadline:
        for connection in list(clients):
            connection.close_if_idle()
        if not any(connection.busy for connection in clients):
            break
        await asyncio.sleep(DRAIN_POLL_INTERVAL_S)


def main() -> int:
    """Run a relay until SIGTERM and return its exit code: 2 if its settings are unusable."""
    return run(serve, CONNECT_TIMEOUT_S, RELAY_QUOTAS)
