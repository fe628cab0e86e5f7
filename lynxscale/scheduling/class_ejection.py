"""Ejection by class: an endpoint that fails messages of one class gets none of these for a while.

One endpoint may fail a class and serve the others. This also guards against an endpoint that fails altogether. It
costs something after a chance error: other endpoints carry more for a while.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.model import Endpoint

EJECTION_MIN_MS = 2000.0  # doubled with each further failure
EJECTION_MAX_MS = 20_000.0


class ClassEjection:
    """Ejects endpoints for single classes where other endpoints serve the destination."""

    def __init__(self, context: SchedulerContext) -> None:
        self._context = context

    def is_ejected(self, endpoint: Endpoint, cls: int) -> bool:
        """Is the endpoint to be avoided for this class now?"""
        ejected = endpoint.ejected_classes
        return cls in ejected and ejected[cls][0] > self._context.now

    def succeeded(self, endpoint: Endpoint, cls: int) -> None:
        """The endpoint served the class: forget its failures."""
        endpoint.ejected_classes.pop(cls, None)

    def failed(self, endpoint: Endpoint, cls: int) -> None:
        """The endpoint failed the class: eject it, longer each time, if there are others."""
        if self.is_ejected(endpoint, cls) or not _has_others(endpoint):
            return
        previous = endpoint.ejected_classes.get(cls, (0.0, EJECTION_MIN_MS / 2))[1]
        duration = min(EJECTION_MAX_MS, 2 * previous)
        endpoint.ejected_classes[cls] = (self._context.now + duration, duration)


def _has_others(endpoint: Endpoint) -> bool:
    route = endpoint.route
    return len(route.destination.routes) > 1 or len(route.endpoints) > 1
