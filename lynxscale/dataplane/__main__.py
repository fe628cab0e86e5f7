"""The data plane's process: ``python -m lynxscale.dataplane``. SIGTERM lets what was taken come to its end."""

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
UNREADY_S = 2.6  # until the platform has missed two answers, new connections come
END_MARGIN_S = 0.8  # before the grace ends
LOOK_EVERY_S = 0.05
BACKLOG = 512


async def serve(settings: Settings) -> None:
    """Run until SIGTERM, and then until everything taken has ended, or the grace nearly has."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    clock = LoopClock(loop)
    network = PeerNetwork(loop, settings.internal_address)
    service = RelayService(settings, clock, network, AsyncioDialer(loop, DIAL_TIMEOUT_S), Random())
    clients: set[ServerConnection] = set()
    probes: set[ServerConnection] = set()
    await network.listen(service.receive)
    host, port = split_address(settings.listen.readiness)
    await loop.create_server(
        lambda: ServerConnection(service.handle_readiness, service.limits, clock, probes), host, port
    )
    host, port = split_address(settings.listen.frontend)
    server = await loop.create_server(
        lambda: ServerConnection(service.handle_request, service.limits, clock, clients),
        host,
        port,
        backlog=BACKLOG,
    )
    log.info("event=started")
    watcher = SettingsWatcher(settings, service.settings_changed)
    loop.add_signal_handler(signal.SIGHUP, watcher.reload)
    await watch_until(stopped, watcher)
    await drain(service, server, clients, loop.time() + settings.bounds.grace_s - END_MARGIN_S)
    log.info("event=ended")


async def drain(service: RelayService, server: asyncio.Server, clients: set[ServerConnection], latest: float) -> None:
    """Take no more clients once the platform sends none, and wait for those that are served."""
    loop = asyncio.get_running_loop()
    service.stopping = True
    service.limits.closing = True
    await asyncio.sleep(UNREADY_S)
    server.close()
    while loop.time() < latest:
        for connection in list(clients):
            connection.close_if_idle()
        if not any(connection.busy for connection in clients):
            break
        await asyncio.sleep(LOOK_EVERY_S)


def main() -> int:
    """Exit code 2 where the settings are wrong."""
    return run(serve)


if __name__ == "__main__":
    sys.exit(main())
