"""The relay component that owns the trace recorder."""

from __future__ import annotations

import structlog

from lynxscale.relay.components import Component, ComponentContext
from lynxscale.trace.recorder import Recorder

log = structlog.get_logger()


class TraceComponent(Component):
    """Creates the recorder, and stops it with the relay."""

    def __init__(self, context: ComponentContext) -> None:
        conf = context.conf
        self._loop, self._relay = context.loop, context.relay
        self._recorder = context.relay.trace = Recorder(
            context.product.trace,
            conf.settings,
            conf.name,
            conf.seed,
            context.group.name_of,
            lambda event, **fields: log.warning(event, **fields),
            context.deadlines.after,
        )

    def stop(self) -> None:
        """Write the pending records and close the trace file."""
        self._recorder.stop(self._loop.now(), len(self._relay.pending))
