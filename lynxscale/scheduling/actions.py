"""Actions: everything that the scheduler asks its caller to do, one class for each kind.

The caller carries them out in order. Times are milliseconds on the caller's clock, durations are milliseconds.
``lynxscale trace replay --json`` counts actions by class name and a trace stores the fields by position: class names
and field order are formats and stay.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Attempt:
    """Send the message to this endpoint, and give up after ``timeout`` ms.

    ``fresh``: on a new connection. The simulator's wire format cannot express it; there any connection is used.
    """

    id: int
    endpoint: int
    timeout: float
    fresh: bool = False


@dataclass(slots=True)
class Cancel:
    """Abandon this attempt; its outcome is ``Result.CANCELLED``."""

    id: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Reject the message undelivered; the client may safely retry it after ``retry_after`` ms."""

    id: int
    retry_after: float


@dataclass(slots=True)
class Fail:
    """End the message with an error: it may have been executed, and must not be retried."""

    id: int


@dataclass(slots=True)
class SetTimer:
    """Deliver ``TimerDue`` with this id at the time ``at``."""

    timer_id: int
    at: float


@dataclass(slots=True)
class Subscribe:
    """Ask service discovery for the membership."""

    active: bool


@dataclass(slots=True)
class FetchList:
    """Fetch the complete membership once."""


@dataclass(slots=True)
class CloseIdle:
    """Close all idle connections to this endpoint."""

    endpoint: int


@dataclass(slots=True)
class Probe:
    """Send a health check to this endpoint."""

    endpoint: int


@dataclass(slots=True)
class SendToPeer:
    """Send these bytes to one other node, or to all where ``peer`` is ``None``."""

    peer: int | None
    payload: bytes


@dataclass(slots=True)
class Note:
    """Write this line to the operators' log."""

    text: str


Action = Attempt | Cancel | Refuse | Fail | SetTimer | Subscribe | FetchList | CloseIdle | Probe | SendToPeer | Note
