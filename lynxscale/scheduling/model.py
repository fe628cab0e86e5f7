"""The scheduler's data model: destinations, routes, endpoints, calls, attempts and pending messages.

A *destination* has one or more *routes*. A route is a set of endpoints that share one rate limit and one concurrency
window: all endpoints of the destination or, with the setting ``routes_apart``, a single endpoint. A *call* carries one
or more messages to an endpoint; each message in a call is one *attempt*. Times are milliseconds.
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
SLOW_MULTIPLE = 3.0  # a route is slow while its recent latency exceeds this multiple of its median latency


class Destination:
    """The addressee of messages, with the queue of messages that wait for an attempt."""

    def __init__(self, number: int) -> None:
        self.number = number
        self.recheck_at = 0.0  # when a timer adds it to the active destinations again
        self.routes: list[Route] = []
        self.queue: list[QueueEntry] = []  # a heap; entries of an outdated version are skipped
        self.waiting = 0  # messages queued
        self.in_flight = 0  # calls

    def unavailable_for(self, now: float) -> float:
        """Return the milliseconds until one of the routes accepts calls again."""
        available_at = min((max(route.blocked_until, route.health.next_trial_at) for route in self.routes), default=0.0)
        return max(0.0, available_at - now)


class Route(AttemptSample):
    """Endpoints that share one rate limit and one concurrency window, with a sample of their attempts' latencies."""

    def __init__(self, destination: Destination, now: float, senders: int) -> None:
        super().__init__()
        self.destination = destination
        self.health = Health(now)
        self.rate_share = RateShare(senders, now)
        self.endpoints: list[Endpoint] = []
        self.window = 1  # maximum of concurrent calls
        self.restarts = 1.0  # tokens in the budget for restarts of slow attempts
        self.lost_restarts = LOST_RESTARTS_MAX  # tokens in the budget for restarts of lost attempts
        self.in_flight = 0  # calls
        self.unresponsive = 0  # overdue calls in flight
        self.per_call = 1  # maximum of messages in a call
        self.blocked_until = 0.0  # no calls before this time, because one was rejected
        self.recent_latency = 0.0  # ms, moving average
        self.limit = 0.0  # rate limit in calls a second from load reports; 0: unknown

    def weight(self) -> float:
        """Return the largest rate in calls a second that the membership advertises for an endpoint of the route."""
        return max((endpoint.weight for endpoint in self.endpoints), default=0.0)

    def is_slow(self) -> bool:
        """Is the recent latency much higher than the median?"""
        return self.median > 0 and self.recent_latency > SLOW_MULTIPLE * self.median


class Endpoint:
    """An endpoint from the membership, with its idle connections and recent failures."""

    def __init__(self, number: int, zone: int, kind: int, route: Route) -> None:
        self.number, self.zone, self.kind, self.route = number, zone, kind, route
        self.ready = False
        self.gone = False
        self.health_records: tuple[Health, ...] = ()  # the route's and, without ``routes_apart``, this endpoint's own
        self.per_call = 1  # maximum of messages in a call
        self.fee = 0.0  # price per message
        self.weight = 0.0  # advertised rate in calls a second
        self.in_flight = 0  # calls
        self.failed_connects = 0  # since the last success
        self.connect_failed_at = 0.0
        self.cooldown_until = 0.0  # no calls before this time, because one failed
        self.answered_sent_at = -INF  # latest send time among the answered calls
        self.latency_ratio = 1.0  # recent latency divided by the route's median
        self.idle_since: list[float] = []  # for each idle connection, oldest first
        self.ejected_classes: dict[int, tuple[float, float]] = {}  # class: (end of the ejection, its duration)
        self.latest_call: Call | None = None


class Call:
    """A call to an endpoint. It may carry several messages that are sent in the same step."""

    def __init__(self, endpoint: Endpoint, sent: float, step_number: int, idle_ms: float, fresh: bool) -> None:
        self.endpoint, self.sent, self.step_number = endpoint, sent, step_number
        self.idle_ms = idle_ms  # idle time of its connection before the call, 0 for a new connection
        self.fresh = fresh  # the caller was asked for a new connection
        self.size = 0  # attempts in the call
        self.open_attempts = 0  # attempts without an outcome
        self.classes: dict[int, bool] = {}  # ordered set of the classes of its messages
        self.outcome_recorded = False  # window and health have been updated with its first outcome
        self.unresponsive = False  # overdue
        self.in_outage = False  # sent to a failing route
        self.ended = False


class AttemptInFlight:
    """An attempt to deliver a message whose outcome is not known yet."""

    def __init__(self, message: PendingMessage, call: Call, number: int) -> None:
        self.message, self.call, self.number = message, call, number
        self.cancelled = False
        self.ended = False


class PendingMessage:
    """An accepted message without a final answer."""

    def __init__(self, event: Message, destination: Destination, sequence: int) -> None:
        self.id, self.cls, self.key, self.expires = event.id, event.cls, event.key, event.expires
        self.destination, self.sequence = destination, sequence
        self.attempts = event.attempts
        self.maybe_executed_at = event.maybe_executed_at  # 0: no attempt may have been executed
        self.target_at = 0.0  # time of its latency target
        self.in_doubt_at = 0.0  # when an attempt last ended with an outcome in doubt; 0: never
        self.restarts = 0
        self.version = 0  # version of its current queue entry; entries with other versions are outdated
        self.first_attempt_pending = event.inherited and not event.attempts  # recovered after a restart, never sent
        self.over_quota = self.queued = self.ended = self.late = False
        self.attempt: AttemptInFlight | None = None
        self.zone: int | None = None  # the only zone to which it may be sent; ``None``: any
        self.last_endpoint: Endpoint | None = None


class QueueEntry(NamedTuple):
    """Position of a message in its destination's queue. The smallest entry is sent first."""

    tier: int  # 0: normal; 1: low remaining value
    rank: tuple[float, float]
    order: int
    version: int
    message: PendingMessage

    def is_current(self) -> bool:
        """Is the message still queued at this position?"""
        return self.version == self.message.version
