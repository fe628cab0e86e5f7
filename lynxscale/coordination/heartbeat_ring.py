"""Failure detection of relays: each sends heartbeats to a few monitors, chosen by position on a hash ring.

A relay's monitors are its next neighbours on the ring, so the load per relay does not depend on the number of relays.
``relay_roster`` handles the suspicions that the monitors report.
"""

from __future__ import annotations

import zlib

from lynxscale.coordination.messages import Heartbeat, Message, RosterEntry, Suspicion
from lynxscale.coordination.ports import Clock, Network

MONITORS_PER_RELAY = 3
SUSPECT_AFTER_INTERVALS = 2.5  # heartbeat intervals without a heartbeat after which a relay is suspected


def ring_position(address: str) -> int:
    """The position of an address on the ring: its CRC-32."""
    return zlib.crc32(address.encode())


def neighbours(addresses: list[str], address: str, step: int) -> list[str]:
    """The next ``MONITORS_PER_RELAY`` addresses on the ring, upward for step 1 and downward for step -1.

    Empty for an address that is not on the ring.
    """
    ring = sorted(addresses, key=lambda other: (ring_position(other), other))
    if address not in ring:
        return []
    index = ring.index(address)
    count = min(MONITORS_PER_RELAY, len(ring) - 1)
    return [ring[(index + step * distance) % len(ring)] for distance in range(1, count + 1)]


class RingMember:
    """Sends a relay's heartbeats to its monitors, and monitors the relays before it on the ring.

    ``interval_s`` is the time between two heartbeats.
    """

    def __init__(self, address: str, interval_s: float, clock: Clock, network: Network) -> None:
        self.address = address
        self.primary = ""
        self._interval_s = interval_s
        self._clock = clock
        self._network = network
        self._monitors: list[str] = []
        self._heard_at: dict[str, float] = {}  # time of the last heartbeat of each monitored relay
        clock.call_later(interval_s, self._tick)

    def set_roster(self, roster: list[RosterEntry]) -> None:
        """Recompute monitors and monitored relays. A newly monitored relay gets a full timeout from now."""
        addresses = [entry.address for entry in roster]
        self._monitors = neighbours(addresses, self.address, 1)
        monitored = neighbours(addresses, self.address, -1)
        now = self._clock.now()
        self._heard_at = {relay: self._heard_at.get(relay, now) for relay in monitored}

    def receive(self, message: Message) -> bool:
        """Handle a heartbeat; False for messages of other types."""
        if not isinstance(message, Heartbeat):
            return False
        if message.sender in self._heard_at:
            self._heard_at[message.sender] = self._clock.now()
        return True

    def _tick(self) -> None:
        self._clock.call_later(self._interval_s, self._tick)
        for monitor in self._monitors:
            self._network.send(monitor, Heartbeat(self.address))
        oldest = self._clock.now() - SUSPECT_AFTER_INTERVALS * self._interval_s
        for relay, heard_at in self._heard_at.items():
            if heard_at < oldest and self.primary:
                self._network.send(self.primary, Suspicion(self.address, relay))
