"""One pre-vote round: before a member asks for an epoch, it asks the voters whether they would promise.

A pre-vote writes nothing, so a member that cannot win does not disrupt a lease (Ongaro, "Consensus: Bridging Theory and
Practice", 2014, section 9.6).
"""

from __future__ import annotations

from lynxscale.coordination.messages import Position, PreVoteReply
from lynxscale.coordination.quorum import Quorum


class PreVoteRound:
    """The replies to one pre-vote.

    ``started_at``: monotonic time in seconds. ``positions``: replica position of each voter that replied.
    """

    def __init__(self, number: int, quorum: Quorum, started_at: float) -> None:
        self.number = number
        self.started_at = started_at
        self.positions: dict[str, Position] = {}
        self._quorum = quorum
        self._free_at: dict[str, float] = {}  # time from which each voter may promise

    def on_reply(self, reply: PreVoteReply, now: float) -> None:
        """Count a reply."""
        self.positions[reply.voter] = reply.position
        self._free_at[reply.voter] = now if reply.granted else now + reply.wait_s

    def is_won(self, now: float) -> bool:
        """Would a quorum promise now?"""
        return self._quorum.is_reached({voter for voter, free_at in self._free_at.items() if free_at <= now})

    def quorum_free_at(self) -> float | None:
        """The time from which a quorum may promise, according to the replies; None if too few have replied."""
        return self._quorum.reached_at(self._free_at)
