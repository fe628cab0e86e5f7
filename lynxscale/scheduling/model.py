"""State that decisions are made on: destinations, routes, endpoints, calls, attempts and pending messages.

A *destination* is reached over one or more *routes*; a route is the set of endpoints that share one rate limit and
one concurrency window (a complete destination, or one endpoint where the settings say ``routes_apart``). A *call*
carries one or more messages to an endpoint; each of these is one *attempt*. Times are milliseconds.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from lynxscale.scheduling.endpoint_health import Health
from lynxscale.scheduling.rate_limits import RateShare
from lynxscale.scheduling.restart_budget import LOST_RESTARTS_MAX
from lynxscale.scheduling.restart_timeout import AttemptSample

if TYPE_CHECKING:
    from lynxscale.scheduling.events import Message

INF = math.inf
SLOW_MULTIPLE = 3.0  # a route is slow while its recent latency is above so many usual ones


class Destination:
    """What messages are addressed to, with the queue of those that wait for an attempt."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.recheck_at = 0.0  # when a timer will look at it again
        self.routes: list[Route] = []
        self.queue: list[QueueEntry] = []  # a heap; entries of an outdated version are skipped
        self.waiting = 0  # messages queued
        self.in_flight = 0  # calls

    def unavailable_for(self, now: float) -> float:
        """Milliseconds until one of its routes may be called."""
        available_at = min((max(route.blocked_until, route.health.next_trial_at) for route in self.routes), default=0.0)
        return max(0.0, available_at - now)


class Route(AttemptSample):
    """The endpoints that share one limit, with the latency sample of their attempts."""

    def __init__(self, destination: Destination, now: float, senders: int) -> None:
        super().__init__()
        self.destination = destination
        self.health = Health(now)
        self.rate_share = RateShare(senders, now)
        self.endpoints: list[Endpoint] = []
        self.window = 1  # concurrent calls allowed
        self.restarts = 1.0  # restarts of slow attempts that the budget allows
        self.lost_restarts = LOST_RESTARTS_MAX  # restarts of lost attempts that the budget allows
        self.in_flight = 0  # calls
        self.unresponsive = 0  # calls in flight that are long overdue
        self.per_call = 1  # messages that a call may carry
        self.blocked_until = 0.0  # after a rejection
        self.recent_latency = 0.0  # ms, moving average
        self.limit = 0.0  # calls a second, as load reports say; 0: unknown

    def weight(self) -> float:
        """Rate in calls a second that the membership advertises, at least."""
        return max((endpoint.weight for endpoint in self.endpoints), default=0.0)

    def is_slow(self) -> bool:
        """Are its answers much slower of late than usual?"""
        return self.median > 0 and self.recent_latency > SLOW_MULTIPLE * self.median


class Endpoint:
    """One endpoint of the membership, with its idle connections and recent failures."""

    def __init__(self, number: int, zone: int, kind: int, route: Route) -> None:
        self.number, self.zone, self.kind, self.route = number, zone, kind, route
        self.ready = False
        self.gone = False
        self.health_records: tuple[Health, ...] = ()  # its route's and, where a route has several endpoints, its own
        self.per_call = 1  # messages that a call may carry
        self.fee = 0.0  # price of a message
        self.weight = 0.0  # advertised calls a second
        self.in_flight = 0  # calls
        self.failed_connects = 0  # since a success
        self.connect_failed_at = 0.0
        self.cooldown_until = 0.0  # after a failure, while other endpoints serve
        self.answered_sent_at = -INF  # when the latest call that it answered was sent
        self.latency_ratio = 1.0  # recent latency over the usual one
        self.idle_since: list[float] = []  # of each idle connection
        self.ejected_classes: dict[int, tuple[float, float]] = {}  # by class failed here: until when, for how long
        self.latest_call: Call | None = None


class Call:
    """One call to an endpoint. Messages of the same step may join it."""

    def __init__(self, endpoint: Endpoint, sent: float, step_number: int, idle_ms: float, fresh: bool) -> None:
        self.endpoint, self.sent, self.step_number = endpoint, sent, step_number
        self.idle_ms = idle_ms  # for which its connection had been idle, 0 for a new one
        self.fresh = fresh  # on a new connection, by request
        self.size = 0  # attempts that it carries
        self.open_attempts = 0  # those without an outcome
        self.classes: dict[int, bool] = {}  # of its messages, in the order of joining
        self.outcome_recorded = False  # window and health have taken note of its outcome
        self.unresponsive = False  # long overdue
        self.in_outage = False  # sent to a failing route
        self.ended = False


class AttemptInFlight:
    """One attempt to deliver a message, until its outcome."""

    def __init__(self, message: PendingMessage, call: Call, number: int) -> None:
        self.message, self.call, self.number = message, call, number
        self.cancelled = False
        self.ended = False


class PendingMessage:
    """A message accepted and not ended yet."""

    def __init__(self, event: Message, destination: Destination, sequence: int) -> None:
        self.id, self.cls, self.key, self.expires = event.id, event.cls, event.key, event.expires
        self.destination, self.sequence = destination, sequence
        self.attempts = event.attempts
        self.maybe_executed_at = event.maybe_executed_at  # 0: no attempt may have been executed
        self.target_at = 0.0  # by when its latency target wants it delivered
        self.in_doubt_at = 0.0  # when an attempt last ended in doubt; 0: never
        self.restarts = 0
        self.version = 0  # of its queue entry; others are outdated
        self.first_attempt_pending = event.inherited and not event.attempts  # a restart found it untried
        self.over_quota = self.queued = self.ended = self.late = False
        self.attempt: AttemptInFlight | None = None
        self.zone: int | None = None  # in which it has to stay
        self.last_endpoint: Endpoint | None = None


class QueueEntry(NamedTuple):
    """Position of a message in its destination's queue; the smallest goes first."""

    tier: int  # 0: normal; 1: has lost much of its value
    rank: tuple[float, float]
    order: int
    version: int
    message: PendingMessage

    def is_current(self) -> bool:
        """Is the message still queued, and at this position?"""
        return self.version == self.message.version
