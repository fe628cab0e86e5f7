"""The control plane's process: ``python -m lynxscale.controlplane``. SIGTERM hands over and ends it."""

from __future__ import annotations

import asyncio
import logging
import signal
import sys
from random import Random

from lynxscale.controlplane.service import ControlService
from lynxscale.runtime.clock import LoopClock
from lynxscale.runtime.files import DurableFiles
from lynxscale.runtime.http_client import LoopDialer
from lynxscale.runtime.http_server import ServerConnection, ServerLimits
from lynxscale.runtime.network import InternalNetwork, split_address
from lynxscale.runtime.process import run
from lynxscale.runtime.settings import Settings, SettingsWatch, watch_until

log = logging.getLogger(__name__)

DIAL_TIMEOUT_S = 1.0
HAND_OVER_S = 0.3  # for the messages that hand over to leave
MOST_BODY_BYTES = 8 * 1024 * 1024


async def serve(settings: Settings) -> None:
    """Run until SIGTERM."""
    loop = asyncio.get_running_loop()
    stopped = asyncio.Event()
    loop.add_signal_handler(signal.SIGTERM, stopped.set)
    clock = LoopClock(loop)
    network = InternalNetwork(loop, settings.internal_address)
    files = DurableFiles(settings.data_dir)
    service = ControlService(settings, clock, network, files, LoopDialer(loop, DIAL_TIMEOUT_S), Random())
    limits = ServerLimits(body_bytes=MOST_BODY_BYTES)
    connections: set[ServerConnection] = set()
    await network.listen(service.receive)
    if settings.listen.control:
        host, port = split_address(settings.listen.control)
        await loop.create_server(
            lambda: ServerConnection(service.handle_request, limits, clock, connections), host, port
        )
    log.info("event=started member=%s state=%s", service.member.me, service.member.state.value)
    watch = SettingsWatch(settings, service.settings_changed)
    loop.add_signal_handler(signal.SIGHUP, watch.look)
    await watch_until(stopped, watch)
    service.leave()
    await asyncio.sleep(HAND_OVER_S)
    log.info("event=ended")


def main() -> int:
    """Exit code 2 where the settings are wrong."""
    return run(serve)


if __name__ == "__main__":
    sys.exit(main())
