"""Failure detection of relays: heartbeats to a few monitors, chosen by position on a hash ring.

A relay's monitors are the next few on the ring, so each sends and watches the same number however many there are.
``relay_roster`` acts on what the monitors report.
"""

from __future__ import annotations

import zlib

from lynxscale.coordination.messages import Heartbeat, Message, RosterEntry, Suspicion
from lynxscale.coordination.ports import Clock, Network

MONITORS = 3  # of each relay
MISSED_HEARTBEATS = 2.5  # intervals without a heartbeat after which a relay is suspected


def ring_position(address: str) -> int:
    """The position of an address on the ring: its CRC-32."""
    return zlib.crc32(address.encode())


def neighbours(addresses: list[str], address: str, step: int) -> list[str]:
    """The next ``MONITORS`` on the ring, upward for step 1 and downward for step -1; none for an unknown address."""
    ring = sorted(addresses, key=lambda other: (ring_position(other), other))
    if address not in ring:
        return []
    index = ring.index(address)
    count = min(MONITORS, len(ring) - 1)
    return [ring[(index + step * distance) % len(ring)] for distance in range(1, count + 1)]


class RingMember:
    """A relay's heartbeats to its monitors, and its own monitoring of those before it on the ring.

    ``interval_s`` is the time between two heartbeats.
    """

    def __init__(self, address: str, interval_s: float, clock: Clock, network: Network) -> None:
        self.address = address
        self.primary = ""
        self._interval_s = interval_s
        self._clock = clock
        self._network = network
        self._monitors: list[str] = []
        self._heard_at: dict[str, float] = {}  # by relay that is monitored here
        clock.call_later(interval_s, self._tick)

    def set_roster(self, roster: list[RosterEntry]) -> None:
        """Recompute monitors and monitored relays from the roster; a newly monitored relay counts as heard now."""
        addresses = [entry.address for entry in roster]
        self._monitors = neighbours(addresses, self.address, 1)
        monitored = neighbours(addresses, self.address, -1)
        now = self._clock.now()
        self._heard_at = {relay: self._heard_at.get(relay, now) for relay in monitored}

    def receive(self, message: Message) -> bool:
        """Handle a heartbeat; False for messages of other kinds."""
        if not isinstance(message, Heartbeat):
            return False
        if message.sender in self._heard_at:
            self._heard_at[message.sender] = self._clock.now()
        return True

    def _tick(self) -> None:
        self._clock.call_later(self._interval_s, self._tick)
        for monitor in self._monitors:
            self._network.send(monitor, Heartbeat(self.address))
        oldest = self._clock.now() - MISSED_HEARTBEATS * self._interval_s
        for relay, heard_at in self._heard_at.items():
            if heard_at < oldest and self.primary:
                self._network.send(self.primary, Suspicion(self.address, relay))
