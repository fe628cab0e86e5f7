"""A message in the relay: as a client submits it, and as the relay keeps it until nothing more is owed for it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

from lynxscale.relay.deadlines import Deadline
from lynxscale.relay.journal import Entry


class Verdict(Enum):
    """What became of a submitted message. The values stand in traces."""

    ACCEPTED = "taken"
    REJECTED = "rejected"  # by the scheduler
    AT_CAPACITY = "no_room"  # as many messages are pending as may be
    DISK_FULL = "disk_full"


# Called with the verdict and, where the message was not accepted, after how many ms to submit it again.
AdmissionCallback = Callable[[Verdict, float], None]


@dataclass(slots=True)
class Envelope:
    """A message as a client submits it, free of any protocol."""

    id: str
    cls: int  # index of its class in the settings
    tenant: int  # index of its tenant in the settings
    key: str  # idempotency key, or empty
    dest: int
    time_left: int  # µs
    body: bytes


@dataclass(slots=True)
class PendingMessage:
    """A message that the relay has accepted, or is about to, until nothing more is owed for it."""

    entry: Entry
    number: int = 0  # in the table of pending messages
    cls: int = 0
    tenant: int = 0
    admission_callbacks: list[AdmissionCallback] | None = None  # None once admission is decided
    ended: bool = False  # the scheduler has given it up, or it is delivered
    attempts: int = 0  # started so far
    backstop: Deadline | None = None
    in_flight: bool = False  # an attempt is under way
    accepted_at: int = 0  # µs of the loop's clock
