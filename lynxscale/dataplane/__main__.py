"""The data plane's process: ``python -m lynxscale.dataplane``. SIGTERM starts a graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from random import Random

from lynxscale.dataplane.service import RelayService
from lynxscale.runtime.clock import LoopClock
from lynxscale.runtime.http_client import AsyncioDialer
from lynxscale.runtime.http_server import ServerConnection
from lynxscale.runtime.peer_network import PeerNetwork
from lynxscale.runtime.process import run
from lynxscale.runtime.settings import Settings
from lynxscale.runtime.settings_watcher import SettingsWatcher, watch_until
from lynxscale.runtime.sockets import split_address

log = logging.getLogger(__name__)

DIAL_TIMEOUT_S = 0.6
NOT_READY_PERIOD_S = 2.6  # until two health checks have failed, the platform sends new connections
GRACE_MARGIN_S = 0.8  # how long before the end of its grace period the process ends
DRAIN_POLL_INTERVAL_S = 0.05
LISTEN_BACKLOG = 512


async def serve(settings: Settings) -> None:
    """Run until SIGTERM, and then until all accepted requests have ended or the grace period nearly has."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    clock = LoopClock(loop)
    network = PeerNetwork(loop, settings.internal_address)
    service = RelayService(settings, clock, network, AsyncioDialer(loop, DIAL_TIMEOUT_S), Random())
    clients: set[ServerConnection] = set()
    health_checks: set[ServerConnection] = set()
    await network.listen(service.receive)
    host, port = split_address(settings.listen.readiness)
    await loop.create_server(
        lambda: ServerConnection(service.handle_readiness, service.limits, clock, health_checks), host, port
    )
    host, port = split_address(settings.listen.frontend)
    server = await loop.create_server(
        lambda: ServerConnection(service.handle_request, service.limits, clock, clients),
        host,
        port,
        backlog=LISTEN_BACKLOG,
    )
    log.info("event=started")
    watcher = SettingsWatcher(settings, service.settings_changed)
    loop.add_signal_handler(signal.SIGHUP, watcher.reload)
    await watch_until(stopped, watcher)
    await drain(service, server, clients, loop.time() + settings.bounds.grace_s - GRACE_MARGIN_S)
    log.info("event=ended")


async def drain(service: RelayService, server: asyncio.Server, clients: set[ServerConnection], deadline: float) -> None:
    """Accept no more clients once the platform sends none; wait for those in flight until ``deadline`` (loop time)."""
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
    """Serve by the settings file; the exit code, 2 where it cannot be used."""
    return run(serve)


if __name__ == "__main__":
    sys.exit(main())
