"""The primary's own view of its lease: granted by a majority of the voters, and over before theirs."""

from __future__ import annotations

from lynxscale.coordination.acceptor import majority
from lynxscale.coordination.ports import Clock

LEASE_S = 0.4
LEASE_MARGIN = 0.85  # the holder's share of a lease: its clock may run slower than the voters'
ROUNDS_REMEMBERED = 16  # heartbeats whose grants are still counted
NEVER = -1e9


class LeaderLease:
    """Counts grants by heartbeat. The lease runs from when the heartbeat was sent, not from the grants' arrival."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._until = NEVER
        self._round = 0
        self._sent: dict[int, float] = {}
        self._granted: dict[int, set[str]] = {}

    @property
    def held(self) -> bool:
        """Does it run?"""
        return self._clock.now() < self._until

    @property
    def until(self) -> float:
        """When it ends, by the own steady clock."""
        return self._until

    def drop(self) -> None:
        """It is held no longer."""
        self._until = NEVER
        self.discard_rounds()

    def discard_rounds(self) -> None:
        """Grants of earlier heartbeats count no more: another epoch has begun."""
        self._sent, self._granted = {}, {}

    def begin_round(self) -> int:
        """The number of a heartbeat that is sent now."""
        self._round += 1
        self._sent[self._round] = self._clock.now()
        self._granted[self._round] = set()
        self._sent.pop(self._round - ROUNDS_REMEMBERED, None)
        self._granted.pop(self._round - ROUNDS_REMEMBERED, None)
        return self._round

    def grant(self, number: int, member: str, voters: tuple[str, ...]) -> None:
        """A voter granted the heartbeat of that number."""
        granted = self._granted.get(number)
        if granted is None:
            return
        granted.add(member)
        if majority(voters, granted):
            self._until = max(self._until, self._sent[number] + LEASE_S * LEASE_MARGIN)
