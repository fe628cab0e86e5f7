"""Vote deference: a voter gives way to one member that asks by a pre-vote, or to one that is about to lead.

A voter that has answered a pre-vote with yes prefers that member for one round, unless a member with a better rank
asks; it supports one that stands, was promised, or was asked to take over, until that one must have a lease. All this
is advice, kept in memory; safety rests on the acceptors' durable state and on leases alone.
"""

from __future__ import annotations

from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.lease import NEVER
from lynxscale.coordination.ports import Clock

ROUND_S = 0.05  # for a pre-vote and its replies, beside what disks take
ELECTION_S, ELECTION_WRITE_FACTOR = 0.1, 6.0  # from a won pre-vote to the lease of the new primary
REPLY_DECAY = 0.8  # factor on the slowest recent reply, for each that is faster
MAX_REPLY_S = 0.3  # slower replies are not waited for
REPLIES_PER_ROUND, REPLIES_PER_ELECTION = 2.0, 5.0  # replies as slow as the slowest that fit beside the rest
FRUITLESS_ROUNDS = 5.0  # a member that asks for so long and never stands may hear no replies: it backs off as long


class VoteDeference:
    """One voter's deference. How long it lasts follows from this member's own acceptor writes, and from how long other
    members take to reply: on long links, or beside other processes, a reply may come later than any fixed time.
    """

    def __init__(self, acceptor: Acceptor, clock: Clock) -> None:
        self._acceptor = acceptor
        self._clock = clock
        self._preferred, self._preferred_until = "", NEVER
        self._supported, self._supported_until = "", NEVER
        self._asking_since: dict[str, float] = {}
        self._slowest_reply_s = 0.0  # of the recent ones

    @property
    def round_s(self) -> float:
        """Seconds for a pre-vote and its replies, and for which a member that asked is preferred."""
        return max(ROUND_S, REPLIES_PER_ROUND * self._slowest_reply_s) + self._acceptor.write_s

    @property
    def election_s(self) -> float:
        """Seconds that a member that stands gets to become a primary with a lease."""
        replies_s = max(ELECTION_S, REPLIES_PER_ELECTION * self._slowest_reply_s)
        return replies_s + ELECTION_WRITE_FACTOR * self._acceptor.write_s

    def on_reply_time(self, seconds: float) -> None:
        """Another member has replied to a pre-vote after so many seconds."""
        self._slowest_reply_s = min(MAX_REPLY_S, max(seconds, REPLY_DECAY * self._slowest_reply_s))

    def rank(self, member: str) -> int:
        """A member's rank among those that may stand, 0 for the first; the primary that was lost comes last."""
        record = self._acceptor.record
        ranked = [one for one in record.in_sync if one != record.primary or one == self._acceptor.member]
        return ranked.index(member) if member in ranked else len(ranked)

    def wait_s(self, candidate: str) -> float:
        """Seconds until a promise could be stored, as another's lease runs or this voter defers; 0 or less: a yes."""
        now = self._clock.now()
        waits = [self._acceptor.advance_wait_s(candidate), self._backoff_left(candidate, now)]
        if candidate != self._supported:
            waits.append(self._supported_until - now)
        if candidate != self._preferred and self._preferred and self.rank(self._preferred) <= self.rank(candidate):
            waits.append(self._preferred_until - now)
        return max(waits)

    def prefer(self, candidate: str) -> None:
        """A member asked, and the reply was yes."""
        now = self._clock.now()
        self._preferred, self._preferred_until = candidate, now + self.round_s
        self._asking_since.setdefault(candidate, now)

    def support(self, candidate: str) -> None:
        """A member is about to lead."""
        until = self._clock.now() + self.election_s
        repeated = candidate == self._supported
        self._supported_until = max(self._supported_until, until) if repeated else until
        self._supported = candidate
        self._preferred = ""
        self._asking_since.pop(candidate, None)

    def on_primary_heartbeat(self) -> None:
        """There is a primary: earlier pre-votes do not count as fruitless any more."""
        self._asking_since.clear()

    def _backoff_left(self, candidate: str, now: float) -> float:
        """Seconds for which others go first, as the member has asked for long and never stood."""
        since = self._asking_since.get(candidate)
        if since is None:
            return 0.0
        fruitless_s = FRUITLESS_ROUNDS * self.round_s
        if now - since >= 2 * fruitless_s:
            del self._asking_since[candidate]
            return 0.0
        return since + 2 * fruitless_s - now if now - since > fruitless_s else 0.0
