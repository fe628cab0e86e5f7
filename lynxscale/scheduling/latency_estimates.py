"""Usual latencies: of a class compared with all, and of a message's next attempt. Milliseconds."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lynxscale.scheduling.restart_timeout import MIN_FINISHED

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.model import PendingMessage, Route

INF = math.inf
RECENT_WEIGHT = 0.2  # weight of the newest latency in moving averages
CLASS_COUNT_MAX = 500  # observations that a class's mean remembers, so that it follows changes
CLASS_RATIO_MIN, CLASS_RATIO_MAX = 0.2, 5.0
WASTE_COST = 100.0  # usual calls that a restart costs besides, for a point of value that wasted calls cost


class LatencyEstimates:
    """Mean latency of each class, and what follows from it. The samples themselves belong to the routes."""

    def __init__(self, context: SchedulerContext) -> None:
        self._context = context
        self.class_means = [[0.0, 0] for _ in context.settings.classes]  # mean, observations
        # A cancelled call runs on at the destination: a restart costs about one usual call there.
        self._restart_cost = 1 + WASTE_COST * context.settings.waste_price

    def class_ratio(self, cls: int) -> float:
        """Usual latency of a class over that of all, so that a fast class does not set a slow one's restart timeout."""
        mean, observations = self.class_means[cls]
        if observations < MIN_FINISHED:
            return 1.0
        overall = sum(m * n for m, n in self.class_means) / sum(n for _, n in self.class_means)
        return min(CLASS_RATIO_MAX, max(CLASS_RATIO_MIN, mean / overall))

    def record(self, route: Route, cls: int, latency: float) -> None:
        """Take note of an attempt; ``latency`` is INF for one that was not answered."""
        if latency < INF:
            entry = self.class_means[cls]
            entry[1] = min(entry[1] + 1, CLASS_COUNT_MAX)
            entry[0] += (latency - entry[0]) / entry[1]
            latency /= self.class_ratio(cls)
            weight = RECENT_WEIGHT if route.recent_latency else 1.0
            route.recent_latency += (latency - route.recent_latency) * weight
        route.add(self._context.now, latency, self._restart_cost)

    def typical_latency(self, message: PendingMessage) -> float:
        """Usual latency of an attempt of this message, 0 if unknown."""
        medians = [route.median for route in message.destination.routes if route.median]
        return min(medians) * self.class_ratio(message.cls) if medians else self.class_means[message.cls][0]
