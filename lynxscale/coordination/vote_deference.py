"""Whom a voter keeps out of the way of: one member that asks, or one that is about to lead.

A voter that has told a member that it would promise prefers that one for a moment, unless a member with a better rank
asks; it supports one that stands, was promised, or was asked to take over, until that one must have a lease. All this
is advice, kept in memory; what is safe rests on the registers and leases alone.
"""

from __future__ import annotations

from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.lease import NEVER
from lynxscale.coordination.ports import Clock

ROUND_S = 0.05  # for question and answer, beside what disks take
ELECTION_S, ELECTION_WRITE_FACTOR = 0.1, 6.0  # from a won pre-vote to the lease of the new primary
FRUITLESS_ROUNDS = 5.0  # a member that asks for so long and never stands may hear no answers: others go first as long


class VoteDeference:
    """One voter's support. How long it lasts follows from how long this member's own register writes take."""

    def __init__(self, acceptor: Acceptor, clock: Clock) -> None:
        self._acceptor = acceptor
        self._clock = clock
        self._preferred, self._preferred_until = "", NEVER
        self._supported, self._supported_until = "", NEVER
        self._asking_since: dict[str, float] = {}

    @property
    def round_s(self) -> float:
        """Seconds for a question and its answers, and for which one that asked is preferred."""
        return ROUND_S + self._acceptor.write_s

    @property
    def election_s(self) -> float:
        """Seconds that a member that stands gets to become a primary with a lease."""
        return ELECTION_S + ELECTION_WRITE_FACTOR * self._acceptor.write_s

    def rank(self, member: str) -> int:
        """A member's place among those that may stand; the primary that was lost comes last."""
        record = self._acceptor.record
        ranked = [one for one in record.in_sync if one != record.primary or one == self._acceptor.member]
        return ranked.index(member) if member in ranked else len(ranked)

    def bound_for(self, candidate: str) -> float:
        """Seconds for which a lease of another's may run, or this voter keeps out of another's way; 0 or less: none."""
        now = self._clock.now()
        waits = [self._acceptor.bound_for(candidate), self._rest_of(candidate, now)]
        if candidate != self._supported:
            waits.append(self._supported_until - now)
        if candidate != self._preferred and self._preferred and self.rank(self._preferred) <= self.rank(candidate):
            waits.append(self._preferred_until - now)
        return max(waits)

    def prefer(self, candidate: str) -> None:
        """A member asked, and was told that it would be promised."""
        now = self._clock.now()
        self._preferred, self._preferred_until = candidate, now + self.round_s
        self._asking_since.setdefault(candidate, now)

    def give(self, candidate: str) -> None:
        """A member is about to lead."""
        until = self._clock.now() + self.election_s
        again = candidate == self._supported
        self._supported_until = max(self._supported_until, until) if again else until
        self._supported = candidate
        self._preferred = ""
        self._asking_since.pop(candidate, None)

    def on_primary_heartbeat(self) -> None:
        """Somebody leads: who asked before did so for an earlier reason."""
        self._asking_since.clear()

    def _rest_of(self, candidate: str, now: float) -> float:
        """Seconds for which others go first, as the member has asked for long and never stood."""
        since = self._asking_since.get(candidate)
        if since is None:
            return 0.0
        fruitless_s = FRUITLESS_ROUNDS * self.round_s
        if now - since >= 2 * fruitless_s:
            del self._asking_since[candidate]
            return 0.0
        return since + 2 * fruitless_s - now if now - since > fruitless_s else 0.0
