"""Actions: everything that the scheduler asks its caller to do, one class per kind.

The caller executes the actions in order. Times are milliseconds on the caller's clock, durations are milliseconds.
``lynxscale trace replay --json`` counts actions by class name, and a trace stores the fields by position: class names
and field order are stored formats and must not change.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Attempt:
    """Send the message to this endpoint, with a timeout of ``timeout`` ms.

    ``fresh`` requires a new connection. The simulator's wire format has no field for it and uses any connection.
    """

    id: int
    endpoint: int
    timeout: float
    fresh: bool = False


@dataclass(slots=True)
class Cancel:
    """Cancel this attempt. Its outcome is reported as ``Result.CANCELLED``."""

    id: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Reject the message without delivering it; the client may safely retry it after ``retry_after`` ms."""

    id: int
    retry_after: float


@dataclass(slots=True)
class Fail:
    """End the message with an error. It may have been executed, so the client must not retry it."""

    id: int


@dataclass(slots=True)
class SetTimer:
    """Deliver ``TimerDue`` with this id at the time ``at``."""

    timer_id: int
    at: float


@dataclass(slots=True)
class Subscribe:
    """Subscribe to the membership at service discovery, or unsubscribe if ``active`` is false."""

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
