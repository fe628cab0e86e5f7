"""The roster: the relays that belong to the tier. The primary maintains it and publishes it as a topic."""

from __future__ import annotations

from collections.abc import Callable

from lynxscale.coordination.heartbeat_ring import neighbours
from lynxscale.coordination.messages import RosterEntry, Suspicion
from lynxscale.coordination.ports import Clock

ROSTER_TOPIC = "roster"
SUSPICION_EXPIRES_S = 4.0  # a suspicion that was not repeated within this time is ignored


class Roster:
    """The membership of relays. ``on_change()`` is called after every change.

    A relay joins when it asks the primary directly to attach, and is removed once most of its monitors suspect it.
    """

    def __init__(self, clock: Clock, on_change: Callable[[], None]) -> None:
        self._entries: dict[str, RosterEntry] = {}
        self._suspicions: dict[str, dict[str, float]] = {}  # suspect -> monitor -> time of its last suspicion
        self._clock = clock
        self._on_change = on_change

    def entries(self) -> list[RosterEntry]:
        """All relays, sorted by address."""
        return sorted(self._entries.values())

    def on_attach(self, address: str, zone: str) -> None:
        """Handle a relay's request to the primary, which shows that the relay is running."""
        self._suspicions.pop(address, None)
        if address not in self._entries:
            self._entries[address] = RosterEntry(address, zone)
            self._on_change()

    def on_suspicion(self, suspicion: Suspicion) -> None:
        """Count a monitor's suspicion; the relay is removed once most of its monitors suspect it."""
        suspect, now = suspicion.suspect, self._clock.now()
        if suspect not in self._entries:
            return
        suspicions = self._suspicions.setdefault(suspect, {})
        suspicions[suspicion.sender] = now
        recent = {monitor for monitor, at in suspicions.items() if now - at < SUSPICION_EXPIRES_S}
        monitors = neighbours(list(self._entries), suspect, 1)
        if 2 * len(recent.intersection(monitors)) > len(monitors):
            del self._entries[suspect], self._suspicions[suspect]
            self._on_change()
