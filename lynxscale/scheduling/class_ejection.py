"""Ejection by class: an endpoint that fails messages of one class gets no messages of that class for a while.

An endpoint may fail one class and serve the others. Ejection by class also protects against an endpoint that fails
every class. The cost of a false positive after a single error is that other endpoints get more load for a while.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.model import Endpoint

EJECTION_MIN_MS = 2000.0  # doubled with each consecutive ejection
EJECTION_MAX_MS = 20_000.0


class ClassEjection:
    """Ejects endpoints for single classes, if the destination has other endpoints."""

    def __init__(self, context: SchedulerContext) -> None:
        self._context = context

    def is_ejected(self, endpoint: Endpoint, cls: int) -> bool:
        """Is the endpoint ejected for this class now?"""
        ejected = endpoint.ejected_classes
        return cls in ejected and ejected[cls][0] > self._context.now

    def succeeded(self, endpoint: Endpoint, cls: int) -> None:
        """Reset the endpoint's ejection for a class that it has served."""
        endpoint.ejected_classes.pop(cls, None)

    def failed(self, endpoint: Endpoint, cls: int) -> None:
        """Eject the endpoint for a class that it failed, each time for longer, if there are other endpoints."""
        if self.is_ejected(endpoint, cls) or not _has_others(endpoint):
            return
        previous = endpoint.ejected_classes.get(cls, (0.0, EJECTION_MIN_MS / 2))[1]
        duration = min(EJECTION_MAX_MS, 2 * previous)
        endpoint.ejected_classes[cls] = (self._context.now + duration, duration)


def _has_others(endpoint: Endpoint) -> bool:
    route = endpoint.route
    return len(route.destination.routes) > 1 or len(route.endpoints) > 1
