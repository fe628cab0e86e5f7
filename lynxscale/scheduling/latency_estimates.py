"""Latency estimates: a class's latency relative to all classes, and the typical latency of a message's attempt.

Times are milliseconds.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lynxscale.scheduling.restart_timeout import MIN_FINISHED

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.model import PendingMessage, Route

INF = math.inf
RECENT_WEIGHT = 0.2  # weight of the newest value in exponential moving averages
CLASS_COUNT_MAX = 500  # bound of the observation count in a class's mean, so that the mean follows changes
CLASS_RATIO_MIN, CLASS_RATIO_MAX = 0.2, 5.0
WASTE_COST = 100.0  # additional cost of a restart in median latencies, per unit of ``Settings.waste_price``


class LatencyEstimates:
    """Keeps the mean latency of each class. The routes keep the samples of attempts."""

    def __init__(self, context: SchedulerContext) -> None:
        self._context = context
        self.class_means = [[0.0, 0] for _ in context.settings.classes]  # [mean, observations] per class
        # A cancelled call continues at the destination, so a restart costs about one typical call there.
        self._restart_cost = 1 + WASTE_COST * context.settings.waste_price

    def class_ratio(self, cls: int) -> float:
        """Return a class's mean latency divided by that of all classes.

        It scales the restart timeout, which would otherwise be too short for slow classes among fast ones.
        """
        mean, observations = self.class_means[cls]
        if observations < MIN_FINISHED:
            return 1.0
        overall = sum(m * n for m, n in self.class_means) / sum(n for _, n in self.class_means)
        return min(CLASS_RATIO_MAX, max(CLASS_RATIO_MIN, mean / overall))

    def record(self, route: Route, cls: int, latency: float) -> None:
        """Record an attempt; ``latency`` is INF if it was not answered."""
        if latency < INF:
            entry = self.class_means[cls]
            entry[1] = min(entry[1] + 1, CLASS_COUNT_MAX)
            entry[0] += (latency - entry[0]) / entry[1]
            latency /= self.class_ratio(cls)
            weight = RECENT_WEIGHT if route.recent_latency else 1.0
            route.recent_latency += (latency - route.recent_latency) * weight
        route.add(self._context.now, latency, self._restart_cost)

    def typical_latency(self, message: PendingMessage) -> float:
        """Return the typical latency of an attempt of this message, 0 if unknown."""
        medians = [route.median for route in message.destination.routes if route.median]
        return min(medians) * self.class_ratio(message.cls) if medians else self.class_means[message.cls][0]
