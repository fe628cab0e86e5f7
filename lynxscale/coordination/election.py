"""When a backup stands for primary: it waits until nobody leads, asks the voters first, and keeps out of others' way.

Asking first is a pre-vote: it writes nothing, so a member that could not win disturbs nobody. Voters tell all but one
to wait (``vote_deference.py``), so candidates do not meet, and a young primary gets its lease.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random

from lynxscale.coordination.acceptor import Acceptor, majority
from lynxscale.coordination.lease import LEASE_S
from lynxscale.coordination.messages import CandidacyAnnounced, Position, PreVote, PreVoteReply, address_of
from lynxscale.coordination.ports import Clock, Network, Timer
from lynxscale.coordination.vote_deference import VoteDeference

RANK_DELAY_S = 0.02  # between the in-sync members' first questions, so that they seldom meet
JITTER_S = 0.01
LEAVING_DELAY_S = 0.3  # than others: it stands where nobody else does


class PreVoteRound:
    """One question to all voters, and what they have answered."""

    def __init__(self, number: int, voters: tuple[str, ...], asked_at: float) -> None:
        self.number = number
        self.asked_at = asked_at
        self.positions: dict[str, Position] = {}
        self._voters = voters
        self._free_at: dict[str, float] = {}

    def on_reply(self, reply: PreVoteReply, now: float) -> None:
        """Count an answer."""
        self.positions[reply.voter] = reply.position
        self._free_at[reply.voter] = now if reply.granted else now + reply.wait_s

    def won(self, now: float) -> bool:
        """Would a majority promise?"""
        return majority(self._voters, {one for one, free_at in self._free_at.items() if free_at <= now})

    def majority_free_at(self) -> float | None:
        """When a majority may be free, by what they told; None where too few have answered."""
        answered = sorted(at for one, at in self._free_at.items() if one in self._voters)
        needed = len(self._voters) // 2 + 1
        return answered[needed - 1] if len(answered) >= needed else None


class ElectionCampaign:
    """``eligible()``: is this member one that may lead? ``stand(further)``: a majority would promise.

    ``further`` names an in-sync voter whose copy reaches further than the own one, empty for none.
    """

    def __init__(
        self,
        acceptor: Acceptor,
        clock: Clock,
        network: Network,
        random: Random,
        held: Callable[[], Position],
        eligible: Callable[[], bool],
        stand: Callable[[str], None],
    ) -> None:
        self.leaving = False
        self._acceptor = acceptor
        self._clock = clock
        self._network = network
        self._random = random
        self._held = held
        self._eligible = eligible
        self._start_candidacy = stand
        self._ask_at = clock.now()
        self._timer: Timer | None = None
        self._round: PreVoteRound | None = None
        self._number = 0
        self._support = VoteDeference(acceptor, clock)

    # When to ask -------------------------------------------------------------------------------------

    def wait(self, after_s: float) -> None:
        """Ask no voter before so many seconds, and a little more by one's place among the in-sync members."""
        self._ask_at = self._clock.now() + after_s + self._rank_delay()
        self._schedule()

    def wait_at_least(self, after_s: float) -> None:
        """Ask no voter before so many seconds."""
        self._ask_at = max(self._ask_at, self._clock.now() + after_s)
        self._schedule()

    def on_primary_heartbeat(self) -> None:
        """Somebody leads: nobody has to stand before its lease is over."""
        self._round = None
        self._support.on_primary_heartbeat()
        self.wait(LEASE_S)

    def _rank_delay(self) -> float:
        later = LEAVING_DELAY_S if self.leaving else 0.0
        rank = self._support.rank(self._acceptor.member)
        return later + rank * RANK_DELAY_S + self._random.uniform(0.0, JITTER_S)

    def _schedule(self) -> None:
        """One timer, which looks at the time again when it fires: heartbeats put it off all the time."""
        if self._timer is None:
            self._timer = self._clock.call_later(max(0.0, self._ask_at - self._clock.now()), self._due)

    def _due(self) -> None:
        self._timer = None
        now = self._clock.now()
        if now < self._ask_at:
            self._schedule()
        elif self._eligible():
            self._ask()
        else:
            self.wait(LEASE_S)

    # The candidate's side ----------------------------------------------------------------------------

    def _ask(self) -> None:
        now = self._clock.now()
        self._number += 1
        question = PreVote(self._number, self._acceptor.member)
        own = self._answer(question)
        self._round = PreVoteRound(self._number, self._acceptor.record.voters, now)
        self._send_others(question)
        self._ask_at = now + self._support.round_s + self._random.uniform(0.0, JITTER_S)
        self._schedule()
        self.on_reply(own)

    def on_reply(self, reply: PreVoteReply) -> None:
        """A voter tells whether it would promise."""
        current = self._round
        if current is None or reply.round != current.number:
            return
        now = self._clock.now()
        current.on_reply(reply, now)
        if current.won(now) and now - current.asked_at < self._support.round_s:
            self._win(current)
            return
        free_at = current.majority_free_at()
        if free_at is not None:
            self._ask_at = max(free_at, now) + self._random.uniform(0.0, JITTER_S)
            self._schedule_sooner()

    def _win(self, answered: PreVoteRound) -> None:
        self._round = None
        further = self._more_complete_voter(answered)
        if not further:
            self.support(self._acceptor.member)
            self._send_others(CandidacyAnnounced(self._acceptor.member))
        self._start_candidacy(further)

    def _send_others(self, message: PreVote | CandidacyAnnounced) -> None:
        for one in self._acceptor.record.voters:
            if one != self._acceptor.member:
                self._network.send(address_of(one), message)

    def _schedule_sooner(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._schedule()

    def _more_complete_voter(self, answered: PreVoteRound) -> str:
        record = self._acceptor.record
        voters = [one for one in record.in_sync if one in record.voters and one in answered.positions]
        best = max(voters, key=lambda one: answered.positions[one], default="")
        return best if best and answered.positions[best] > self._held() else ""

    # The voter's side --------------------------------------------------------------------------------

    def on_pre_vote(self, question: PreVote) -> None:
        """Tell a member whether it would be promised an epoch now."""
        self._network.send(address_of(question.candidate), self._answer(question))

    def on_candidacy_announced(self, message: CandidacyAnnounced) -> None:
        """A member stands."""
        if self._support.bound_for(message.candidate) <= 0:
            self.support(message.candidate)

    def support(self, candidate: str) -> None:
        """Keep out of the way of a member that is about to lead: it stands, was promised, or asked to take over."""
        self._support.give(candidate)
        self._keep_out_for(candidate, self._support.election_s)

    def _answer(self, question: PreVote) -> PreVoteReply:
        wait_s = self._support.bound_for(question.candidate)
        if wait_s <= 0:
            self._support.prefer(question.candidate)
            self._keep_out_for(question.candidate, self._support.round_s)
        return PreVoteReply(question.round, self._acceptor.member, wait_s <= 0, max(0.0, wait_s), self._held())

    def _keep_out_for(self, candidate: str, seconds: float) -> None:
        if candidate != self._acceptor.member:
            self._round = None
            self.wait_at_least(seconds + self._rank_delay())
