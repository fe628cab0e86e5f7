"""Calls to the primary by nodes that do not know for certain who it is. A call is repeated until it is answered."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from lynxscale.coordination.messages import AdmitTurn, Call, FinishTurn, Message, Reply
from lynxscale.coordination.ports import Clock, Network, Timer

REPEAT_AFTER_S = 0.15
LIFE_BITS = 48


Answered = Callable[[Message | None], None]


@dataclass(slots=True)
class Pending:
    """A call without an answer."""

    call: Call
    deadline: float
    done: Answered
    timer: Timer | None = None
    sends: int = 0


class PrimaryCalls:
    """``primary`` tells the address to try first, empty where unknown; ``contacts`` are then tried in turn."""

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
        self._pending: dict[int, Pending] = {}
        # A restarted node must not take the answers to calls of its earlier process, whatever its clock says.
        self._life = random.getrandbits(LIFE_BITS)
        self._number = 0
        self._turn = 0

    def call(self, body: AdmitTurn | FinishTurn, timeout_s: float, done: Answered) -> None:
        """``done(answer)``, or ``done(None)`` where none came in time."""
        self._number += 1
        message = Call(self._number, self._address, self._life, body)
        pending = Pending(message, self._clock.now() + timeout_s, done)
        self._pending[self._number] = pending
        self._send(pending, self._primary())

    def receive(self, message: Message) -> bool:
        """Handle an answer; False for messages of other kinds."""
        if not isinstance(message, Reply):
            return False
        pending = self._pending.pop(message.number, None) if message.life == self._life else None
        if pending is not None:
            pending.timer.cancel()
            pending.done(message.body)
        return True

    def primary_changed(self) -> None:
        """Another primary is known: what waits goes there at once."""
        for pending in list(self._pending.values()):
            pending.timer.cancel()
            self._send(pending, self._primary())

    def _send(self, pending: Pending, address: str) -> None:
        if not address:
            contacts = self._contacts()
            self._turn += 1
            address = contacts[self._turn % len(contacts)]
        self._network.send(address, pending.call)
        pending.timer = self._clock.call_later(REPEAT_AFTER_S, lambda: self._repeat(pending))

    def _repeat(self, pending: Pending) -> None:
        if self._clock.now() >= pending.deadline:
            del self._pending[pending.call.number]
            pending.done(None)
            return
        pending.sends += 1
        # The primary may be gone: two times of three somebody else is asked, who tells where to turn.
        self._send(pending, "" if pending.sends % 3 else self._primary())
