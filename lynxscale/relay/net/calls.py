"""The state of calls to peers and of the attempts that they carry."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lynxscale.relay.deadlines import Deadline

if TYPE_CHECKING:
    from lynxscale.relay.message import PendingMessage
    from lynxscale.relay.net.connection import OutboundConnection


@dataclass(slots=True, eq=False)
class Call:
    """One request to an endpoint, which carries one or more attempts, or a health check."""

    endpoint: int
    fresh: bool = False  # must use a new connection
    attempts: list[Attempt] = field(default_factory=list)
    size: int = 0  # bytes of the request body
    connection: OutboundConnection | None = None  # set once the request is written

    def open_attempts(self) -> list[Attempt]:
        """The attempts that have no outcome yet."""
        return [attempt for attempt in self.attempts if not attempt.done]


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, from the scheduler's order to the outcome. Times are µs on the loop's clock.

    ``number`` identifies the message, ``index`` the attempt among those of the message. ``message`` is None for a
    health check.
    """

    number: int
    index: int
    call: Call
    message: PendingMessage | None
    started: int
    timeout_at: int
    slot: int = 0
    deadline: Deadline | None = None
    recorded: bool = False  # the attempt is in the journal, as it may have been executed
    done: bool = False

    @property
    def endpoint(self) -> int:
        """The endpoint that the attempt is sent to."""
        return self.call.endpoint
