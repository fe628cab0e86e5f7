"""Events: everything that the scheduler is told, one class per kind.

The caller collects events and passes them to ``Scheduler.step``. Times are milliseconds on the caller's monotonic
clock, durations are milliseconds; endpoints, destinations, classes, tenants, kinds and zones are numbers that the
caller assigns. A trace stores the fields by position (``lynxscale.trace.recorder``), and results by the lower-case
name of their ``Result``: names and field order are stored formats and must not change.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum


class Result(IntEnum):
    """How an attempt ended."""

    OK = 1
    ERROR = 2  # the endpoint answered with an error; it may have executed the message
    FULL = 3  # rejected unexecuted: over the rate limit, or overloaded
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6  # the connection was closed before the response arrived
    CANCELLED = 7
    MOOT = 8  # never sent, because the caller no longer needed the attempt


class MembershipKind(IntEnum):
    """Content of a membership update."""

    FAILED = 0  # no members, because the query of service discovery failed
    DELTA = 1  # only members that changed
    CACHED = 2  # all members, from a cache that may be stale
    FULL = 3  # all members


class Lifecycle(IntEnum):
    """State of an endpoint in the membership."""

    GONE = 0
    READY = 1
    DRAINING = 2


@dataclass(slots=True)
class Member:
    """An endpoint in a membership update; ``weight`` is its advertised rate in calls a second, 0 if unknown."""

    endpoint: int
    lifecycle: Lifecycle
    destination: int
    zone: int
    kind: int
    weight: float


@dataclass(slots=True)
class MembershipUpdate:
    """Endpoints were added, removed or changed, or the query for them failed."""

    kind: MembershipKind
    version: int
    members: list[Member]


@dataclass(slots=True)
class Message:
    """A new message, to be delivered before the time ``expires``."""

    id: int
    destination: int
    cls: int
    tenant: int
    expires: float
    key: int = 0  # messages of an ordered class with the same key are delivered in sequence; 0: no key
    marked_retry: bool = False  # the client marked the message as a retry
    write: bool = False
    inherited: bool = False  # accepted by an earlier incarnation of this node and recovered from its records
    work_hint: float | None = None
    # State recovered from the records of an earlier incarnation:
    attempts: int = 0  # attempts made before the restart
    maybe_executed_at: float = 0.0  # send time of the first attempt that may have been executed; 0: none


@dataclass(slots=True)
class Outcome:
    """An attempt ended after ``spent`` ms; ``finished`` if the caller needs no further attempt for this message."""

    id: int
    attempt: int
    endpoint: int
    result: Result
    spent: float
    finished: bool
    wait: float = 0.0  # ms to wait, as the endpoint requested (Retry-After)
    report: tuple[float, ...] = ()  # the endpoint's load report, in the order of ``Settings.report_columns``


@dataclass(slots=True)
class TimerDue:
    """The timer with this id, as set by ``SetTimer``, has fired."""

    timer_id: int


@dataclass(slots=True)
class Withdrawn:
    """The client cancelled this message."""

    id: int


@dataclass(slots=True)
class ResponseStarted:
    """The first bytes of a response arrived. No decision uses this event."""

    id: int
    attempt: int
    endpoint: int
    spent: float


@dataclass(slots=True)
class HealthChecked:
    """A health check ended. No decision uses this event."""

    endpoint: int
    result: int
    spent: float
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    """Another node sent a message. No decision uses this event."""

    author: int
    payload: bytes


Event = MembershipUpdate | Message | Outcome | TimerDue | Withdrawn | ResponseStarted | HealthChecked | PeerMessage
