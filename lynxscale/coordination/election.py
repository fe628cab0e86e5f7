"""When a backup becomes a candidate: when no primary leads, it has won a pre-vote, and it defers to no other member.

Voters defer to one candidate at a time (``vote_deference``), so candidates do not collide, and a new primary has enough
time to get its lease. This module affects only how soon a primary is elected, never safety.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from random import Random

from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.eligibility import more_complete_voter
from lynxscale.coordination.lease import LEASE_S
from lynxscale.coordination.messages import CandidacyAnnounced, Position, PreVote, PreVoteReply, address_of
from lynxscale.coordination.ports import Clock, Network, Timer
from lynxscale.coordination.pre_vote import PreVoteRound
from lynxscale.coordination.quorum import quorum_of
from lynxscale.coordination.vote_deference import VoteDeference

RANK_DELAY_S = 0.02  # stagger between the pre-votes of in-sync members, so that they rarely collide
MAX_JITTER_S = 0.01
ROUNDS_REMEMBERED = 8  # pre-vote rounds whose late replies still count for the reply time
LEAVING_DELAY_S = 0.3  # extra delay of a leaving member, so that another member becomes candidate first


class ElectionCampaign:
    """The timing of one member's candidacies, and its answers to the pre-votes of others.

    ``eligible()``: may this member become a candidate now? ``on_won(more_complete)``: a majority would promise; the
    argument names an in-sync voter whose replica is more complete than this member's, empty for none.
    ``replica_position()``: the durable position of this member's replica.
    """

    def __init__(
        self,
        acceptor: Acceptor,
        clock: Clock,
        network: Network,
        random: Random,
        replica_position: Callable[[], Position],
        eligible: Callable[[], bool],
        on_won: Callable[[str], None],
    ) -> None:
        self.leaving = False
        self._acceptor = acceptor
        self._clock = clock
        self._network = network
        self._random = random
        self._replica_position = replica_position
        self._eligible = eligible
        self._on_won = on_won
        self._next_round_at = clock.now()
        self._timer: Timer | None = None
        self._round: PreVoteRound | None = None
        self._last_round_number = 0
        # Number and start time of the last rounds.
        self._round_start_times: deque[tuple[int, float]] = deque(maxlen=ROUNDS_REMEMBERED)
        self._deference = VoteDeference(acceptor, clock)

    # Scheduling --------------------------------------------------------------------------------------

    def postpone(self, delay_s: float) -> None:
        """Start the next pre-vote in ``delay_s`` seconds, plus a delay by rank among the in-sync members."""
        self._next_round_at = self._clock.now() + delay_s + self._rank_delay()
        self._schedule()

    def postpone_at_least(self, delay_s: float) -> None:
        """Start no pre-vote within ``delay_s`` seconds, and abandon the one in flight."""
        self._round = None
        self._next_round_at = max(self._next_round_at, self._clock.now() + delay_s)
        self._schedule()

    def on_primary_heartbeat(self) -> None:
        """A primary leads: no pre-vote is needed until its lease is about to end."""
        self._round = None
        self._deference.on_primary_heartbeat()
        self.postpone(LEASE_S - self._acceptor.advance_s)

    def _rank_delay(self) -> float:
        leaving_delay_s = LEAVING_DELAY_S if self.leaving else 0.0
        rank = self._deference.rank(self._acceptor.member)
        return leaving_delay_s + rank * RANK_DELAY_S + self._random.uniform(0.0, MAX_JITTER_S)

    def _schedule(self) -> None:
        """Start the timer unless it runs. ``_on_timer`` checks the due time, which each heartbeat postpones."""
        if self._timer is None:
            self._timer = self._clock.call_later(max(0.0, self._next_round_at - self._clock.now()), self._on_timer)

    def _schedule_sooner(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._schedule()

    def _on_timer(self) -> None:
        self._timer = None
        now = self._clock.now()
        if now < self._next_round_at:
            self._schedule()
        elif self._eligible():
            self._start_round()
        else:
            self.postpone(LEASE_S)

    # Candidate ---------------------------------------------------------------------------------------

    def _start_round(self) -> None:
        now = self._clock.now()
        self._last_round_number += 1
        self._round_start_times.append((self._last_round_number, now))
        request = PreVote(self._last_round_number, self._acceptor.member)
        own_reply = self._reply_to(request)
        self._round = PreVoteRound(self._last_round_number, quorum_of(self._acceptor.record), now)
        self._send_to_other_voters(request)
        self._next_round_at = now + self._deference.round_s + self._random.uniform(0.0, MAX_JITTER_S)
        self._schedule()
        self.on_reply(own_reply)

    def on_reply(self, reply: PreVoteReply) -> None:
        """Handle a voter's reply to a pre-vote. Replies to earlier rounds count only for the reply time."""
        self._note_reply_time(reply)
        current = self._round
        if current is None or reply.round != current.number:
            return
        now = self._clock.now()
        current.on_reply(reply, now)
        if current.is_won(now) and now - current.started_at < self._deference.round_s:
            self._win(current)
            return
        free_at = current.quorum_free_at()
        if free_at is not None:
            self._next_round_at = max(free_at, now) + self._random.uniform(0.0, MAX_JITTER_S)
            self._schedule_sooner()

    def _note_reply_time(self, reply: PreVoteReply) -> None:
        started_at = dict(self._round_start_times).get(reply.round)
        if started_at is not None and reply.voter != self._acceptor.member:
            self._deference.on_reply_time(self._clock.now() - started_at)

    def _win(self, won: PreVoteRound) -> None:
        self._round = None
        more_complete = more_complete_voter(self._acceptor.record, won.positions, self._replica_position())
        if not more_complete:
            self.defer_to(self._acceptor.member)
            self._send_to_other_voters(CandidacyAnnounced(self._acceptor.member))
        self._on_won(more_complete)

    def _send_to_other_voters(self, message: PreVote | CandidacyAnnounced) -> None:
        for voter in quorum_of(self._acceptor.record).members:
            if voter != self._acceptor.member:
                self._network.send(address_of(voter), message)

    # Voter -------------------------------------------------------------------------------------------

    def on_pre_vote(self, request: PreVote) -> None:
        """Reply whether this voter would promise the candidate an epoch now."""
        self._network.send(address_of(request.candidate), self._reply_to(request))

    def on_candidacy_announced(self, message: CandidacyAnnounced) -> None:
        """Defer to a member that is about to ask for an epoch, unless this voter already defers to another one."""
        if self._deference.wait_s(message.candidate) <= 0:
            self.defer_to(message.candidate)

    def defer_to(self, candidate: str) -> None:
        """Hold back for a member that is about to lead: it is a candidate, was promised, or was asked to take over.

        This member's pre-vote in flight is abandoned: won later, it would start a second candidacy.
        """
        self._round = None
        self._deference.support(candidate)
        self._postpone_for(candidate, self._deference.election_s)

    def _reply_to(self, request: PreVote) -> PreVoteReply:
        wait_s = self._deference.wait_s(request.candidate)
        if wait_s <= 0:
            self._deference.prefer(request.candidate)
            self._postpone_for(request.candidate, self._deference.round_s)
        return PreVoteReply(
            request.round, self._acceptor.member, wait_s <= 0, max(0.0, wait_s), self._replica_position()
        )

    def _postpone_for(self, candidate: str, seconds: float) -> None:
        if candidate != self._acceptor.member:
            self.postpone_at_least(seconds + self._rank_delay())
