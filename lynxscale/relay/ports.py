"""The ports of the core: what it needs of connections, the endpoint list, notices, other processes and the trace.

Times are µs on the loop's clock, unless a name says ms.
"""

from __future__ import annotations

from typing import Protocol

from lynxscale.relay.journal import Entry
from lynxscale.relay.message import Envelope, PendingMessage


class PeersPort(Protocol):
    """Carries out attempts and health checks; ``lynxscale.relay.net.peers``."""

    def start(self, number: int, index: int, message: PendingMessage, endpoint: int, timeout: int, fresh: bool) -> None:
        """Begin an attempt, on a new connection where ``fresh``."""

    def is_in_flight(self, number: int, index: int) -> bool:
        """Is this attempt under way?"""

    def flush(self) -> None:
        """All actions of this turn are in."""

    def cancel(self, number: int, index: int) -> None:
        """Give up an attempt."""

    def close_idle(self, endpoint: int) -> None:
        """Close the idle connections to an endpoint."""

    def check_health(self, endpoint: int) -> None:
        """Begin a health check."""

    def connection_count(self) -> int:
        """How many connections are open, idle ones too."""


class GroupPort(Protocol):
    """The endpoint list; ``lynxscale.relay.upstream.group``."""

    has_list: bool  # some source has sent its list in this process

    def has_destination(self, destination: int) -> bool:
        """Does a list name this destination, or did one until lately?"""

    def watch(self, active: bool) -> None:
        """Subscribe to changes, or no more."""

    def fetch(self) -> None:
        """Ask for the complete list once."""


class NoticePort(Protocol):
    """Reports final outcomes; ``lynxscale.relay.net.notices`` and ``lynxscale.relay.outcome_log``."""

    def __len__(self) -> int:
        """How many are not acknowledged yet."""

    def enqueue(self, number: int, id: str, status: str, again_ms: int) -> None:
        """Report how a message ended; ``Relay.notified`` is called once that is acknowledged, never in here."""


class BoardPort(Protocol):
    """What two processes of one relay share; ``lynxscale.relay.upgrade.handover``."""

    def publish_wait(self, key: int, until: int, now: int) -> None:
        """Nothing may be sent there until then."""

    def wait_until(self, key: int) -> int:
        """Until when the other process was asked to send nothing there; 0 where it was not."""

    def owns(self, id_: str) -> bool:
        """Is a message of this id pending in the other process?"""


class TracePort(Protocol):
    """Records what the relay sees and decides, and returns nothing; ``lynxscale.trace.recorder``."""

    decisions: bool  # it wants each step of the scheduler

    def message(
        self, now: int, number: int, envelope: Envelope | Entry, cls: int, tenant: int, left: int, tries: int = 0
    ) -> None:
        """A message has its number. ``left``: time until its deadline; ``tries``: attempts of earlier processes."""

    def rejected(self, now: int, envelope: Envelope, verdict: str, again_ms: float) -> None:
        """A message was rejected before it got a number."""

    def admitted(self, now: int, number: int, verdict: str, again_ms: float) -> None:
        """A message has its verdict."""

    def ended(self, now: int, number: int, status: str, again_ms: float = 0.0) -> None:
        """A message has its final outcome."""

    def forgotten(self, now: int, number: int) -> None:
        """Nothing more is owed for a message."""

    def attempt_started(self, now: int, number: int, index: int, endpoint: int, timeout: int, fresh: bool) -> None:
        """An attempt was ordered."""

    def attempt_ended(
        self,
        now: int,
        number: int,
        index: int,
        endpoint: int,
        result: int,
        spent: int,
        wait_ms: float,
        over: bool,
        report: tuple[float, ...],
    ) -> None:
        """An attempt has its outcome."""

    def health_check_started(self, now: int, endpoint: int) -> None:
        """A health check was ordered."""

    def notice_queued(self, now: int, number: int, status: str, again_ms: int) -> None:
        """A notice was handed to the NoticePort."""

    def notice_acknowledged(self, now: int, number: int) -> None:
        """A notice was acknowledged."""

    def events(self, now: int, events: list) -> None:
        """What goes into the scheduler."""

    def step(self, now: int, events: list, actions: list, failed: bool) -> None:
        """One step of the scheduler; only where ``decisions`` is set."""

    def turn_ended(self) -> None:
        """The end of a turn of the loop."""
