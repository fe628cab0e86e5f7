"""Interfaces through which the core uses peers, the endpoint list, notices, other processes and the trace.

Times are µs on the loop's clock, unless a name ends in _ms.
"""

from __future__ import annotations

from typing import Protocol

from lynxscale.relay.journal import Entry
from lynxscale.relay.message import Envelope, PendingMessage


class PeersPort(Protocol):
    """Carries out attempts and health checks; implemented by ``lynxscale.relay.net.peers``."""

    def start(self, number: int, index: int, message: PendingMessage, endpoint: int, timeout: int, fresh: bool) -> None:
        """Begin an attempt; ``fresh`` requires a new connection."""

    def is_in_flight(self, number: int, index: int) -> bool:
        """Is this attempt in flight?"""

    def flush(self) -> None:
        """Send the calls of this turn; all its actions have been issued."""

    def cancel(self, number: int, index: int) -> None:
        """Cancel an attempt."""

    def close_idle(self, endpoint: int) -> None:
        """Close the idle connections to an endpoint."""

    def check_health(self, endpoint: int) -> None:
        """Begin a health check."""

    def connection_count(self) -> int:
        """The number of open connections, including idle ones."""


class GroupPort(Protocol):
    """The endpoint list; implemented by ``lynxscale.relay.upstream.group``."""

    has_list: bool  # a source has provided its list since this process started

    def has_destination(self, destination: int) -> bool:
        """Does a list contain this destination, or has one contained it recently?"""

    def watch(self, active: bool) -> None:
        """Subscribe to changes, or unsubscribe."""

    def fetch(self) -> None:
        """Request the complete list once."""


class NoticePort(Protocol):
    """Reports final outcomes; implemented by ``lynxscale.relay.net.notices`` and ``lynxscale.relay.outcome_log``."""

    def __len__(self) -> int:
        """The number of notices that are not acknowledged yet."""

    def enqueue(self, number: int, id: str, status: str, again_ms: int) -> None:
        """Queue a notice of a message's outcome.

        ``Relay.notified`` is called once the notice is acknowledged, never from within this method.
        """


class BoardPort(Protocol):
    """State shared by two processes of one relay; implemented by ``lynxscale.relay.upgrade.handover``."""

    def publish_wait(self, key: int, until: int, now: int) -> None:
        """Share a pause: nothing may be sent to the key's target before ``until``."""

    def wait_until(self, key: int) -> int:
        """The end of a pause that the other process received for this key, or 0."""

    def owns(self, id_: str) -> bool:
        """Is a message with this id pending in the other process?"""


class TracePort(Protocol):
    """Records the relay's inputs and decisions; implemented by ``lynxscale.trace.recorder``."""

    decisions: bool  # whether each step of the scheduler is recorded

    def message(
        self, now: int, number: int, envelope: Envelope | Entry, cls: int, tenant: int, left: int, attempts: int = 0
    ) -> None:
        """A message got its number. ``left``: time until its deadline; ``attempts``: attempts by earlier processes."""

    def rejected(self, now: int, envelope: Envelope, verdict: str, again_ms: float) -> None:
        """A message was rejected before it got a number."""

    def admitted(self, now: int, number: int, verdict: str, again_ms: float) -> None:
        """A message was accepted or rejected."""

    def ended(self, now: int, number: int, status: str, again_ms: float = 0.0) -> None:
        """A message reached its final outcome."""

    def forgotten(self, now: int, number: int) -> None:
        """A message was removed, as its outcome needs no further report."""

    def attempt_started(self, now: int, number: int, index: int, endpoint: int, timeout: int, fresh: bool) -> None:
        """The scheduler ordered an attempt."""

    def attempt_ended(
        self,
        now: int,
        number: int,
        index: int,
        endpoint: int,
        result: int,
        elapsed: int,
        wait_ms: float,
        final: bool,
        report: tuple[float, ...],
    ) -> None:
        """An attempt ended. Parameters as in ``Relay.attempt_ended``."""

    def health_check_started(self, now: int, endpoint: int) -> None:
        """The scheduler ordered a health check."""

    def notice_queued(self, now: int, number: int, status: str, again_ms: int) -> None:
        """A notice was queued at the NoticePort."""

    def notice_acknowledged(self, now: int, number: int) -> None:
        """A notice was acknowledged."""

    def events(self, now: int, events: list) -> None:
        """The events of a step, before the scheduler processes them."""

    def step(self, now: int, events: list, actions: list, failed: bool) -> None:
        """One step of the scheduler; called only if ``decisions`` is set."""

    def turn_ended(self) -> None:
        """A turn of the loop ended."""
