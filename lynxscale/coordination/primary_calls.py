"""Calls to the primary from nodes that may not know its address. A call is retried until its reply or deadline."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from lynxscale.coordination.messages import (
    AdmitTurn,
    Call,
    FinishTurn,
    Message,
    ReadConfigurationVersion,
    Reply,
    TurnEvents,
)
from lynxscale.coordination.ports import Clock, Network, Timer

RETRY_INTERVAL_S = 0.15
INCARNATION_BITS = 48
PRIMARY_RETRY_EVERY = 3  # one in this many retries goes to the presumed primary, the others to contacts

ReplyCallback = Callable[[Message | None], None]
"""Called with the body of the reply, or None if no reply arrived in time."""


@dataclass(slots=True)
class PendingCall:
    """A call that waits for its reply. ``deadline``: monotonic time in seconds."""

    call: Call
    deadline: float
    on_reply: ReplyCallback
    timer: Timer | None = None
    retries: int = 0

    def cancel_retry(self) -> None:
        """Cancel the timer of the next retry."""
        if self.timer is not None:
            self.timer.cancel()


class PrimaryCalls:
    """The pending calls of one node.

    ``primary()``: the address to try first, empty if unknown. ``contacts()``: addresses that are then tried in turn.
    """

    def __init__(
        self,
        address: str,
        clock: Clock,
        network: Network,
        random: Random,
        primary: Callable[[], str],
        contacts: Callable[[], list[str]],
    ) -> None:
        self._address = address
        self._clock = clock
        self._network = network
        self._primary = primary
        self._contacts = contacts
        self._pending: dict[int, PendingCall] = {}
        # Drawn at random, not from the clock: a restarted node must ignore the replies to its earlier process.
        self._incarnation = random.getrandbits(INCARNATION_BITS)
        self._last_number = 0
        self._contact_index = 0

    def call(
        self, body: AdmitTurn | FinishTurn | ReadConfigurationVersion, timeout_s: float, on_reply: ReplyCallback
    ) -> None:
        """Send a request to the primary and call ``on_reply`` with the reply, or with None after ``timeout_s``."""
        self._last_number += 1
        message = Call(self._last_number, self._address, self._incarnation, body)
        pending = PendingCall(message, self._clock.now() + timeout_s, on_reply)
        self._pending[message.number] = pending
        self._send(pending, self._primary())

    def connection_id(self, member: str) -> int:
        """Identify the connection with a control member, 0 if there is none."""
        return self._network.connection_id(member)

    def notify(self, member: str, message: TurnEvents) -> None:
        """Send a message to a control member once; it may be lost."""
        self._network.send(member, message)

    def receive(self, message: Message) -> bool:
        """Handle a reply; False for messages of other types."""
        if not isinstance(message, Reply):
            return False
        own = message.incarnation == self._incarnation
        pending = self._pending.pop(message.number, None) if own else None
        if pending is not None:
            pending.cancel_retry()
            pending.on_reply(message.body)
        return True

    def primary_changed(self) -> None:
        """Resend all pending calls immediately, because another primary is known."""
        for pending in list(self._pending.values()):
            pending.cancel_retry()
            self._send(pending, self._primary())

    def _send(self, pending: PendingCall, address: str) -> None:
        if not address:
            contacts = self._contacts()
            self._contact_index += 1
            address = contacts[self._contact_index % len(contacts)]
        self._network.send(address, pending.call)
        pending.timer = self._clock.call_later(RETRY_INTERVAL_S, lambda: self._retry(pending))

    def _retry(self, pending: PendingCall) -> None:
        if self._clock.now() >= pending.deadline:
            del self._pending[pending.call.number]
            pending.on_reply(None)
            return
        pending.retries += 1
        # The primary may have failed: two of three retries go to a contact, which redirects to the new primary.
        self._send(pending, "" if pending.retries % PRIMARY_RETRY_EVERY else self._primary())
