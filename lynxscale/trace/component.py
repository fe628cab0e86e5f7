"""The recorder as a part of a relay."""

from __future__ import annotations

import structlog

from lynxscale.relay.components import Host, Part
from lynxscale.trace.recorder import Recorder

log = structlog.get_logger()


class TracePart(Part):
    def __init__(self, host: Host) -> None:
        conf = host.conf
        self._loop, self._relay = host.loop, host.relay
        self._recorder = host.relay.trace = Recorder(
            host.own.trace,
            conf.settings,
            conf.name,
            conf.seed,
            host.group.name_of,
            lambda event, **fields: log.warning(event, **fields),
            host.deadlines.after,
        )

    def stop(self) -> None:
        self._recorder.stop(self._loop.now(), len(self._relay.held))


attach = TracePart
