"""A message as a client submits it, and as the relay holds it until its final outcome has been reported."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lynxscale.relay.deadlines import Deadline
from lynxscale.relay.journal import Entry


class Verdict(Enum):
    """The admission result of a submitted message. The values appear in traces."""

    ACCEPTED = "taken"
    REJECTED = "rejected"  # the scheduler rejected the message
    AT_CAPACITY = "no_room"  # the limit of pending messages is reached
    DISK_FULL = "disk_full"  # the journal has no space


# Called with the verdict and, if the message was not accepted, the time in ms after which to submit it again.
AdmissionCallback = Callable[[Verdict, float], None]


@dataclass(slots=True)
class Envelope:
    """A message as a client submits it, independent of the protocol."""

    id: str
    cls: int  # index of its class in the settings
    tenant: int  # index of its tenant in the settings
    key: str  # idempotency key, or empty
    dest: int
    time_left: int  # µs until the deadline
    body: bytes


@dataclass(slots=True)
class PendingMessage:
    """A message that the relay has accepted or is admitting, until its final outcome has been reported."""

    entry: Entry
    number: int = 0  # the message's key in the table of pending messages
    cls: int = 0
    tenant: int = 0
    admission_callbacks: list[AdmissionCallback] | None = None  # None once the message is admitted or rejected
    ended: bool = False  # delivered, or failed by the scheduler
    attempts: int = 0  # number of attempts started so far
    backstop: Deadline | None = None
    in_flight: bool = False  # an attempt is in flight
    accepted_at: int = 0  # µs on the loop's clock
