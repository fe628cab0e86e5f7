"""Retry policy: whether a message may be sent or sent again, by idempotency, attempts and remaining time."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from lynxscale.scheduling.events import Result
from lynxscale.scheduling.settings import Effect

if TYPE_CHECKING:
    from lynxscale.scheduling.context import SchedulerContext
    from lynxscale.scheduling.latency_estimates import LatencyEstimates
    from lynxscale.scheduling.model import PendingMessage

INF = math.inf
KEY_MEMORY_SHARE = 0.9  # used share of the time for which a key is remembered, as a call takes time to arrive
MIN_LATENCIES_LEFT = 2.0  # typical latencies that must be left for an attempt, as half of the calls take longer
MAYBE_EXECUTED = (Result.ERROR, Result.TIMEOUT, Result.RESET, Result.CANCELLED)  # the endpoint may have executed it
IN_DOUBT = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)  # the endpoint may still execute it later
NOT_SENT = (Result.CONNECT_FAILED, Result.MOOT)


class RetryPolicy:
    """Decides whether a message may be sent, repeated or rejected."""

    def __init__(self, context: SchedulerContext, latencies: LatencyEstimates) -> None:
        self._context, self._latencies = context, latencies

    def may_repeat(self, message: PendingMessage, first_sent: float) -> bool:
        """May the message be sent again, if an attempt sent at ``first_sent`` may have been executed?"""
        cls = self._context.settings.classes[message.cls]
        if cls.effect == Effect.KEYED:
            memory = (cls.memory_span_ms or 0.0) * KEY_MEMORY_SHARE
            return self._context.now - (message.maybe_executed_at or first_sent) < memory
        return cls.effect == Effect.IDEMPOTENT

    def is_undeliverable(self, message: PendingMessage) -> bool:
        """Is the message out of time or attempts, or may it have been executed and must not be repeated?"""
        if message.expires - self._context.now <= MIN_LATENCIES_LEFT * self._latencies.typical_latency(message):
            return True
        if message.attempts >= (self._context.settings.attempts_cap or INF):  # an earlier incarnation used them all
            return True
        maybe = message.maybe_executed_at
        return bool(maybe) and not self.may_repeat(message, maybe)

    def undeliverable_at(self, message: PendingMessage) -> float:
        """Return when the message becomes undeliverable because of time."""
        until = message.expires - MIN_LATENCIES_LEFT * self._latencies.typical_latency(message)
        cls = self._context.settings.classes[message.cls]
        if message.maybe_executed_at and cls.effect == Effect.KEYED:
            until = min(until, message.maybe_executed_at + (cls.memory_span_ms or 0.0) * KEY_MEMORY_SHARE)
        return until

    def may_be_rejected(self, message: PendingMessage) -> bool:
        """Is it harmless if the client sends the message again? If not, the message must be failed."""
        cls = self._context.settings.classes[message.cls]
        deduplicated = cls.effect == Effect.KEYED and cls.group == "all"
        return not message.maybe_executed_at or deduplicated or cls.effect == Effect.IDEMPOTENT
