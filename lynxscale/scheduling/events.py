"""Events: everything that the scheduler learns, one class for each kind.

The caller gathers events and hands them over in ``Scheduler.step``. Times are milliseconds on the caller's monotonic
clock, durations are milliseconds; endpoints, destinations, classes, tenants, kinds and zones are numbers that the
caller assigns. A trace stores the fields by position (``lynxscale.trace.recorder``), and results by the lower-case
name of their ``Result``: these names are a format and stay.
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
    RESET = 6  # the connection ended before the answer
    CANCELLED = 7
    MOOT = 8  # never sent, as the caller no longer needed it


class MembershipKind(IntEnum):
    """What a membership update contains."""

    FAILED = 0  # nothing: service discovery did not answer
    DELTA = 1  # changes only
    CACHED = 2  # everything, from a cache that may be stale
    FULL = 3  # everything


class Lifecycle(IntEnum):
    """State of an endpoint in the membership."""

    GONE = 0
    READY = 1
    DRAINING = 2


@dataclass(slots=True)
class Member:
    """One endpoint of a membership update; ``weight`` is its advertised rate in calls a second, 0 if unknown."""

    endpoint: int
    lifecycle: Lifecycle
    destination: int
    zone: int
    kind: int
    weight: float


@dataclass(slots=True)
class MembershipUpdate:
    """Endpoints were added, removed or changed, or the update failed."""

    kind: MembershipKind
    version: int
    members: list[Member]


@dataclass(slots=True)
class Message:
    """A new message to deliver, before the time ``expires``."""

    id: int
    destination: int
    cls: int
    tenant: int
    expires: float
    key: int = 0  # messages of one key of an ordered class are delivered in sequence; 0: none
    marked_retry: bool = False  # the client says that it sent this message before
    write: bool = False
    inherited: bool = False  # accepted by an earlier incarnation of this node
    work_hint: float | None = None
    # Of an earlier incarnation, which accepted the message and recorded it:
    attempts: int = 0  # attempts made so far
    maybe_executed_at: float = 0.0  # when the first attempt that may have been executed was sent; 0: none


@dataclass(slots=True)
class Outcome:
    """An attempt ended after ``spent`` ms. ``finished``: the caller needs no further attempt of this message."""

    id: int
    attempt: int
    endpoint: int
    result: Result
    spent: float
    finished: bool
    wait: float = 0.0  # ms that the endpoint asked to wait (Retry-After)
    report: tuple[float, ...] = ()  # the endpoint's load report, by the columns of the settings


@dataclass(slots=True)
class TimerDue:
    """The timer with this id, as set by ``SetTimer``, has fired."""

    timer_id: int


@dataclass(slots=True)
class Withdrawn:
    """The client no longer waits for this message."""

    id: int


@dataclass(slots=True)
class ResponseStarted:
    """The first bytes of an answer arrived. Not used by any decision."""

    id: int
    attempt: int
    endpoint: int
    spent: float


@dataclass(slots=True)
class HealthChecked:
    """A health check ended. Not used by any decision."""

    endpoint: int
    result: int
    spent: float
    report: tuple[float, ...] = ()


@dataclass(slots=True)
class PeerMessage:
    """Another node sent these bytes. Not used by any decision."""

    author: int
    payload: bytes


Event = MembershipUpdate | Message | Outcome | TimerDue | Withdrawn | ResponseStarted | HealthChecked | PeerMessage
