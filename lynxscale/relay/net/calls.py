"""Calls to peers and the attempts that they carry."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from lynxscale.relay.deadlines import Deadline

if TYPE_CHECKING:
    from lynxscale.relay.message import PendingMessage
    from lynxscale.relay.net.connection import OutboundConnection


@dataclass(slots=True, eq=False)
class Call:
    """What goes to one endpoint in one request: one attempt or several, or a health check."""

    endpoint: int
    fresh: bool = False  # on a new connection
    attempts: list[Attempt] = field(default_factory=list)
    size: int = 0  # bytes of its body
    connection: OutboundConnection | None = None  # what it was written to

    def open_attempts(self) -> list[Attempt]:
        """Those of its attempts that have no outcome yet."""
        return [attempt for attempt in self.attempts if not attempt.done]


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt, from its order to its outcome. Times are µs on the loop's clock.

    ``message`` is None for a health check. ``index`` counts the attempts of a message.
    """

    number: int
    index: int
    call: Call
    message: PendingMessage | None
    started: int
    timeout_at: int
    slot: int = 0
    deadline: Deadline | None = None
    recorded: bool = False  # in the journal: it may have run
    done: bool = False

    @property
    def endpoint(self) -> int:
        """The endpoint that it goes to."""
        return self.call.endpoint
