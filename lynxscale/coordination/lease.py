"""The holder's side of the leader lease: granted by a quorum of the voters, it ends before their grants do.

The lease starts when the heartbeat was sent, not when the grants arrive (Gray and Cheriton, "Leases", 1989).
"""

from __future__ import annotations

from lynxscale.coordination.ports import Clock
from lynxscale.coordination.quorum import Quorum

LEASE_S = 0.4  # how long a grant binds the voter
HOLDER_LEASE_FRACTION = 0.85  # the holder uses only this fraction, as its clock may run slower than the voters'
MAX_ADVANCE_S = LEASE_S * (1.0 - HOLDER_LEASE_FRACTION)  # remaining time of a grant when the holder's lease has ended
ROUNDS_REMEMBERED = 16  # heartbeats whose grants are still counted
NEVER = -1e9  # seconds: earlier than every event


class LeaderLease:
    """Counts the grants of each heartbeat. Times are in seconds of the holder's monotonic clock."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until = NEVER
        self._round = 0
        self._sent: dict[int, float] = {}
        self._granted: dict[int, set[str]] = {}

    @property
    def valid(self) -> bool:
        """Is the lease held now?"""
        return self._clock.now() < self._until

    @property
    def expires_at(self) -> float:
        """When the lease ends, ``NEVER`` if there is none."""
        return self._until

    def relinquish(self) -> None:
        """End the lease now."""
        self._until = NEVER
        self.discard_rounds()

    def discard_rounds(self) -> None:
        """Ignore grants of earlier heartbeats, because another epoch has begun."""
        self._sent, self._granted = {}, {}

    def begin_round(self) -> int:
        """Start counting the grants of a heartbeat that is sent now, and return its number."""
        self._round += 1
        self._sent[self._round] = self._clock.now()
        self._granted[self._round] = set()
        self._sent.pop(self._round - ROUNDS_REMEMBERED, None)
        self._granted.pop(self._round - ROUNDS_REMEMBERED, None)
        return self._round

    def on_grant(self, number: int, member: str, quorum: Quorum) -> None:
        """Count a voter's grant for the heartbeat ``number``; the grants of a quorum renew the lease."""
        granted = self._granted.get(number)
        if granted is None:
            return
        granted.add(member)
        if quorum.is_reached(granted):
            self._until = max(self._until, self._sent[number] + LEASE_S * HOLDER_LEASE_FRACTION)
