"""When a backup stands for primary: it waits until nobody leads, asks the voters first, and defers to other candidates.

Voters defer to one candidate at a time (``vote_deference``), so candidates do not collide, and a new primary has the
time to get its lease. All of this is a matter of time only, never of safety.
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
from lynxscale.coordination.vote_deference import VoteDeference

RANK_DELAY_S = 0.02  # between the pre-votes of in-sync members, so that they seldom collide
JITTER_S = 0.01
ROUNDS_REMEMBERED = 8  # whose replies still tell how long replies take
LEAVING_DELAY_S = 0.3  # a member that is to stop stands only where nobody else does


class ElectionCampaign:
    """The timing of one member's candidacies, and its answers to the pre-votes of others.

    ``eligible()``: may this member stand now? ``on_won(more_complete)``: a majority would promise; the argument names
    an in-sync voter whose replica is more complete than the own one, empty for none. ``replica_position()``: how far
    the own replica reaches.
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
        self._ask_at = clock.now()
        self._timer: Timer | None = None
        self._round: PreVoteRound | None = None
        self._last_round_number = 0
        self._asked_at: deque[tuple[int, float]] = deque(maxlen=ROUNDS_REMEMBERED)  # number and time of the last rounds
        self._deference = VoteDeference(acceptor, clock)

    # When to ask -------------------------------------------------------------------------------------

    def postpone(self, delay_s: float) -> None:
        """Start the next pre-vote in ``delay_s`` seconds, and a little later by rank among the in-sync members."""
        self._ask_at = self._clock.now() + delay_s + self._rank_delay()
        self._schedule()

    def postpone_at_least(self, delay_s: float) -> None:
        """Start no pre-vote within ``delay_s`` seconds; one that is in flight counts no more."""
        self._round = None
        self._ask_at = max(self._ask_at, self._clock.now() + delay_s)
        self._schedule()

    def on_primary_heartbeat(self) -> None:
        """Somebody leads: nobody has to ask for promises before its lease is about to end."""
        self._round = None
        self._deference.on_primary_heartbeat()
        self.postpone(LEASE_S - self._acceptor.advance_s)

    def _rank_delay(self) -> float:
        leaving_delay_s = LEAVING_DELAY_S if self.leaving else 0.0
        rank = self._deference.rank(self._acceptor.member)
        return leaving_delay_s + rank * RANK_DELAY_S + self._random.uniform(0.0, JITTER_S)

    def _schedule(self) -> None:
        """One timer, which looks at the time again when it fires: heartbeats postpone it all the time."""
        if self._timer is None:
            self._timer = self._clock.call_later(max(0.0, self._ask_at - self._clock.now()), self._on_timer)

    def _schedule_sooner(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._schedule()

    def _on_timer(self) -> None:
        self._timer = None
        now = self._clock.now()
        if now < self._ask_at:
            self._schedule()
        elif self._eligible():
            self._start_round()
        else:
            self.postpone(LEASE_S)

    # The candidate's side ----------------------------------------------------------------------------

    def _start_round(self) -> None:
        now = self._clock.now()
        self._last_round_number += 1
        self._asked_at.append((self._last_round_number, now))
        question = PreVote(self._last_round_number, self._acceptor.member)
        own_reply = self._reply_to(question)
        self._round = PreVoteRound(self._last_round_number, self._acceptor.record.voters, now)
        self._send_to_other_voters(question)
        self._ask_at = now + self._deference.round_s + self._random.uniform(0.0, JITTER_S)
        self._schedule()
        self.on_reply(own_reply)

    def on_reply(self, reply: PreVoteReply) -> None:
        """A voter's answer to a pre-vote; answers to earlier rounds tell how long they take, and count for no more."""
        self._note_reply_time(reply)
        current = self._round
        if current is None or reply.round != current.number:
            return
        now = self._clock.now()
        current.on_reply(reply, now)
        if current.is_won(now) and now - current.asked_at < self._deference.round_s:
            self._win(current)
            return
        free_at = current.majority_free_at()
        if free_at is not None:
            self._ask_at = max(free_at, now) + self._random.uniform(0.0, JITTER_S)
            self._schedule_sooner()

    def _note_reply_time(self, reply: PreVoteReply) -> None:
        asked_at = dict(self._asked_at).get(reply.round)
        if asked_at is not None and reply.voter != self._acceptor.member:
            self._deference.on_reply_time(self._clock.now() - asked_at)

    def _win(self, won: PreVoteRound) -> None:
        self._round = None
        more_complete = more_complete_voter(self._acceptor.record, won.positions, self._replica_position())
        if not more_complete:
            self.defer_to(self._acceptor.member)
            self._send_to_other_voters(CandidacyAnnounced(self._acceptor.member))
        self._on_won(more_complete)

    def _send_to_other_voters(self, message: PreVote | CandidacyAnnounced) -> None:
        for voter in self._acceptor.record.voters:
            if voter != self._acceptor.member:
                self._network.send(address_of(voter), message)

    # The voter's side --------------------------------------------------------------------------------

    def on_pre_vote(self, question: PreVote) -> None:
        """Answer whether a member would be promised an epoch now."""
        self._network.send(address_of(question.candidate), self._reply_to(question))

    def on_candidacy_announced(self, message: CandidacyAnnounced) -> None:
        """A member is about to ask for an epoch."""
        if self._deference.wait_s(message.candidate) <= 0:
            self.defer_to(message.candidate)

    def defer_to(self, candidate: str) -> None:
        """Leave time to a member that is about to lead: it stands, was promised, or was asked to take over.

        An own pre-vote in flight is void: won afterwards, it would begin a candidacy anew.
        """
        self._round = None
        self._deference.support(candidate)
        self._stay_back_for(candidate, self._deference.election_s)

    def _reply_to(self, question: PreVote) -> PreVoteReply:
        wait_s = self._deference.wait_s(question.candidate)
        if wait_s <= 0:
            self._deference.prefer(question.candidate)
            self._stay_back_for(question.candidate, self._deference.round_s)
        return PreVoteReply(
            question.round, self._acceptor.member, wait_s <= 0, max(0.0, wait_s), self._replica_position()
        )

    def _stay_back_for(self, candidate: str, seconds: float) -> None:
        if candidate != self._acceptor.member:
            self.postpone_at_least(seconds + self._rank_delay())
