"""The primary's own view of its leader lease: granted by a majority of the voters, and over before theirs ends.

The lease runs from when the heartbeat was sent, not from the arrival of the grants (Gray and Cheriton, "Leases", 1989).
"""

from __future__ import annotations

from lynxscale.coordination.ports import Clock
from lynxscale.coordination.quorum import is_majority

LEASE_S = 0.4  # for which a grant binds its voter
LEASE_MARGIN = 0.85  # the holder's share of a lease: its clock may run slower than the voters'
MAX_ADVANCE_S = LEASE_S * (1.0 - LEASE_MARGIN)  # of a grant: what is left of it once the holder's own lease is over
ROUNDS_REMEMBERED = 16  # heartbeats whose grants are still counted
NEVER = -1e9  # seconds: a time before all that happens


class LeaderLease:
    """Counts the grants of each heartbeat. Times are of the own steady clock, in seconds."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until = NEVER
        self._round = 0
        self._sent: dict[int, float] = {}
        self._granted: dict[int, set[str]] = {}

    @property
    def valid(self) -> bool:
        """Is the lease running now?"""
        return self._clock.now() < self._until

    @property
    def expires_at(self) -> float:
        """When the lease ends, ``NEVER`` where there is none."""
        return self._until

    def relinquish(self) -> None:
        """End the lease now."""
        self._until = NEVER
        self.discard_rounds()

    def discard_rounds(self) -> None:
        """Ignore grants of earlier heartbeats: another epoch has begun."""
        self._sent, self._granted = {}, {}

    def begin_round(self) -> int:
        """The number of a heartbeat that is sent now."""
        self._round += 1
        self._sent[self._round] = self._clock.now()
        self._granted[self._round] = set()
        self._sent.pop(self._round - ROUNDS_REMEMBERED, None)
        self._granted.pop(self._round - ROUNDS_REMEMBERED, None)
        return self._round

    def on_grant(self, number: int, member: str, voters: tuple[str, ...]) -> None:
        """A voter granted the heartbeat of that number; a majority of grants renews the lease."""
        granted = self._granted.get(number)
        if granted is None:
            return
        granted.add(member)
        if is_majority(voters, granted):
            self._until = max(self._until, self._sent[number] + LEASE_S * LEASE_MARGIN)
