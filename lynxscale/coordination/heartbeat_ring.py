"""Membership of relays: heartbeats to a few monitors chosen by position on a ring, and the roster kept from them.

A relay's monitors are the next few on the ring, so each sends and watches the same number however many there are.
The primary takes a relay off the roster once enough of its monitors miss it, and puts it on when it asks to attach.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable

from lynxscale.coordination.distribution_tree import RosterEntry
from lynxscale.coordination.messages import Heartbeat, Message, Suspicion
from lynxscale.coordination.ports import Clock, Network

MONITORS = 3
MISSED_HEARTBEATS = 2.5
SUSPICION_KEEPS_S = 4.0


def ring_position(address: str) -> int:
    """Where an address stands on the ring."""
    return zlib.crc32(address.encode())


def neighbours(addresses: list[str], address: str, step: int) -> list[str]:
    """The next ``MONITORS`` on the ring, upward for step 1 and downward for step -1."""
    ring = sorted(addresses, key=lambda one: (ring_position(one), one))
    if address not in ring:
        return []
    place = ring.index(address)
    count = min(MONITORS, len(ring) - 1)
    return [ring[(place + step * distance) % len(ring)] for distance in range(1, count + 1)]


class RingMember:
    """A relay's heartbeats, and its watch over those before it on the ring."""

    def __init__(self, address: str, interval_s: float, clock: Clock, network: Network) -> None:
        self.address = address
        self.primary = ""
        self._interval = interval_s
        self._clock = clock
        self._network = network
        self._monitors: list[str] = []
        self._heard: dict[str, float] = {}
        clock.call_later(interval_s, self._tick)

    def set_roster(self, roster: list[RosterEntry]) -> None:
        """Take the places that the roster gives; who is newly watched gets a full span to be heard in."""
        addresses = [entry.address for entry in roster]
        self._monitors = neighbours(addresses, self.address, 1)
        watched = neighbours(addresses, self.address, -1)
        now = self._clock.now()
        self._heard = {one: self._heard.get(one, now) for one in watched}

    def receive(self, message: Message) -> bool:
        """Handle a heartbeat; False for messages of other kinds."""
        if not isinstance(message, Heartbeat):
            return False
        if message.sender in self._heard:
            self._heard[message.sender] = self._clock.now()
        return True

    def _tick(self) -> None:
        self._clock.call_later(self._interval, self._tick)
        for monitor in self._monitors:
            self._network.send(monitor, Heartbeat(self.address))
        oldest = self._clock.now() - MISSED_HEARTBEATS * self._interval
        for one, heard in self._heard.items():
            if heard < oldest and self.primary:
                self._network.send(self.primary, Suspicion(self.address, one))


class Roster:
    """The primary's list of relays. ``on_change`` is told of every change."""

    def __init__(self, clock: Clock, on_change: Callable[[], None]) -> None:
        self._entries: dict[str, RosterEntry] = {}
        self._suspects: dict[str, dict[str, float]] = {}
        self._clock = clock
        self._on_change = on_change

    def entries(self) -> list[RosterEntry]:
        """All relays, sorted by address."""
        return sorted(self._entries.values())

    def attached(self, address: str, zone: str) -> None:
        """A relay has asked the primary itself, so it runs."""
        self._suspects.pop(address, None)
        if address not in self._entries:
            self._entries[address] = RosterEntry(address, zone)
            self._on_change()

    def suspected(self, suspicion: Suspicion) -> None:
        """A monitor misses a relay; with most of its monitors it goes."""
        suspect, now = suspicion.suspect, self._clock.now()
        if suspect not in self._entries:
            return
        doubters = self._suspects.setdefault(suspect, {})
        doubters[suspicion.sender] = now
        recent = [one for one, at in doubters.items() if now - at < SUSPICION_KEEPS_S]
        monitors = neighbours(list(self._entries), suspect, 1)
        agreed = len(set(recent).intersection(monitors))
        if 2 * agreed > len(monitors):
            del self._entries[suspect], self._suspects[suspect]
            self._on_change()
