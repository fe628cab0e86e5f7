"""Vote deference: a voter favours one candidate at a time, so that candidates do not block each other.

A voter that granted a pre-vote prefers that member for one round, unless a member with a better rank asks. It supports
a member that is a candidate, was promised, or was asked to take over, for as long as an election takes. Deference is
only a heuristic, kept in memory; safety depends on the acceptors' durable state and on leases alone.
"""

from __future__ import annotations

from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.lease import NEVER
from lynxscale.coordination.ports import Clock

MIN_ROUND_S = 0.05  # time for a pre-vote and its replies, in addition to disk writes
# From a won pre-vote to the lease of the new primary: a minimum time, and the acceptor writes in addition to it.
MIN_ELECTION_S, ELECTION_WRITE_FACTOR = 0.1, 6.0
REPLY_DECAY = 0.8  # each faster reply multiplies the slowest recent reply time by this factor
MAX_REPLY_S = 0.3  # upper limit of the reply time that rounds and elections allow for
# Multiples of the slowest recent reply time that a round and an election are given.
ROUND_REPLY_FACTOR, ELECTION_REPLY_FACTOR = 2.0, 5.0
# A member that asks for this many rounds without becoming a candidate may be receiving no replies: it then has to back
# off for as many rounds.
MAX_FRUITLESS_ROUNDS = 5.0


class VoteDeference:
    """One voter's deference to candidates.

    Its duration depends on this member's acceptor writes and on how long other members take to reply: on slow links or
    busy machines a reply may take longer than any fixed timeout.
    """

    def __init__(self, acceptor: Acceptor, clock: Clock) -> None:
        self._acceptor = acceptor
        self._clock = clock
        self._preferred, self._preferred_until = "", NEVER
        self._supported, self._supported_until = "", NEVER
        self._asking_since: dict[str, float] = {}
        self._slowest_reply_s = 0.0  # decaying maximum of recent reply times

    @property
    def round_s(self) -> float:
        """Seconds for a pre-vote and its replies, and for which a member whose pre-vote was granted is preferred."""
        return max(MIN_ROUND_S, ROUND_REPLY_FACTOR * self._slowest_reply_s) + self._acceptor.write_s

    @property
    def election_s(self) -> float:
        """Seconds that a candidate is given to become a primary with a lease."""
        replies_s = max(MIN_ELECTION_S, ELECTION_REPLY_FACTOR * self._slowest_reply_s)
        return replies_s + ELECTION_WRITE_FACTOR * self._acceptor.write_s

    def on_reply_time(self, seconds: float) -> None:
        """Record that another member took ``seconds`` to reply to a pre-vote."""
        self._slowest_reply_s = min(MAX_REPLY_S, max(seconds, REPLY_DECAY * self._slowest_reply_s))

    def rank(self, member: str) -> int:
        """A member's rank among the possible candidates, 0 for the first; the lost primary comes last."""
        record = self._acceptor.record
        ranked = [other for other in record.in_sync if other != record.primary or other == self._acceptor.member]
        return ranked.index(member) if member in ranked else len(ranked)

    def wait_s(self, candidate: str) -> float:
        """Seconds until this voter would promise, because of a lease or of deference; 0 or less: it would now."""
        now = self._clock.now()
        waits = [self._acceptor.advance_wait_s(candidate), self._backoff_left(candidate, now)]
        if candidate != self._supported:
            waits.append(self._supported_until - now)
        if candidate != self._preferred and self._preferred and self.rank(self._preferred) <= self.rank(candidate):
            waits.append(self._preferred_until - now)
        return max(waits)

    def prefer(self, candidate: str) -> None:
        """Prefer a member whose pre-vote was granted."""
        now = self._clock.now()
        self._preferred, self._preferred_until = candidate, now + self.round_s
        self._asking_since.setdefault(candidate, now)

    def support(self, candidate: str) -> None:
        """Support a member that is about to lead."""
        until = self._clock.now() + self.election_s
        repeated = candidate == self._supported
        self._supported_until = max(self._supported_until, until) if repeated else until
        self._supported = candidate
        self._preferred = ""
        self._asking_since.pop(candidate, None)

    def on_primary_heartbeat(self) -> None:
        """A primary leads: earlier pre-votes no longer count as fruitless."""
        self._asking_since.clear()

    def _backoff_left(self, candidate: str, now: float) -> float:
        """Seconds for which a member that asked for long without becoming a candidate must wait."""
        since = self._asking_since.get(candidate)
        if since is None:
            return 0.0
        fruitless_s = MAX_FRUITLESS_ROUNDS * self.round_s
        if now - since >= 2 * fruitless_s:
            del self._asking_since[candidate]
            return 0.0
        return since + 2 * fruitless_s - now if now - since > fruitless_s else 0.0
