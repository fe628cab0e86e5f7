"""Rounds of a candidate or primary for a new epoch: which epoch to ask for, and what becomes of the round."""

from __future__ import annotations

from collections.abc import Callable

from lynxscale.coordination.acceptor import Acceptor, Proposal
from lynxscale.coordination.messages import (
    Accept,
    Accepted,
    EpochRecord,
    Message,
    Position,
    Prepare,
    PrepareRejected,
    Promise,
    address_of,
)
from lynxscale.coordination.ports import Clock, Network

ROUND_TIMEOUT_S = 0.25  # for the answers to a prepare or an accept, beside what disks take
ROUND_WRITE_FACTOR = 4.0  # register writes that a round waits for


class Proposer:
    """At most one round at a time.

    ``held()`` tells how far the own copy reaches. ``choose(proposal)`` gives the record to propose once a majority
    has promised, None to give the round up; ``decided(record)`` is called once a majority has accepted it.
    """

    def __init__(
        self,
        acceptor: Acceptor,
        clock: Clock,
        network: Network,
        held: Callable[[], Position],
        choose: Callable[[Proposal], EpochRecord | None],
        decided: Callable[[EpochRecord], None],
    ) -> None:
        self._acceptor = acceptor
        self._clock = clock
        self._network = network
        self._held = held
        self._choose = choose
        self._decided = decided
        self._proposal: Proposal | None = None
        self._begun_at = -1e9
        self._highest_rejected = 0
        self._open_epoch = 0  # the last one asked for, while no record was sent for it

    @property
    def active(self) -> bool:
        """Is a round under way?"""
        return self._proposal is not None

    @property
    def timed_out(self) -> bool:
        """Has the last round had its time?"""
        allowed_s = ROUND_TIMEOUT_S + ROUND_WRITE_FACTOR * self._acceptor.write_s
        return self._clock.now() - self._begun_at > allowed_s

    def cancel(self) -> None:
        """Answers to the round under way count no more."""
        self._proposal = None

    def propose(self) -> PrepareRejected | None:
        """Begin a round; no round where the own voter is bound, which is told. Raises OSError.

        The own promise is durable before anyone else is asked: no later process of this member asks for that epoch
        again, so no two records stand under one epoch.
        """
        self._proposal = None
        epoch = self._next_epoch()
        request = Prepare(epoch, self._acceptor.member)
        own = self._acceptor.prepare(request, self._held())
        self._begun_at = self._clock.now()
        if isinstance(own, PrepareRejected):
            self._highest_rejected = max(self._highest_rejected, own.promised)
            return own
        self._open_epoch = epoch
        voters = self._acceptor.record.voters
        self._proposal = Proposal(epoch, self._acceptor.member, voters)
        self._send_all(tuple(one for one in voters if one != self._acceptor.member), request)
        self.on_promise(own)
        return None

    def _next_epoch(self) -> int:
        lowest = max(self._acceptor.record.epoch, self._highest_rejected) + 1
        # An epoch for which no record was sent may be asked for again: a cut-off candidate must not climb for ever.
        if self._open_epoch >= max(lowest, self._acceptor.state.promised):
            return self._open_epoch
        return max(lowest, self._acceptor.state.promised + 1)

    def note_higher_promise(self, promised: int) -> None:
        """A voter is bound by an epoch of which nothing came: the next round asks for a later one."""
        self._highest_rejected = max(self._highest_rejected, promised)

    def on_promise(self, message: Promise) -> None:
        """A voter takes part."""
        proposal = self._proposal
        if proposal is None:
            return
        if not proposal.promise(message):
            self._ask_new_voters(proposal)
            return
        record = self._choose(proposal)
        if record is None:
            self._proposal = None
            return
        proposal.record = record
        self._open_epoch = 0
        self._send_all(proposal.voters, Accept(record))

    def on_prepare_rejected(self, message: PrepareRejected) -> bool:
        """A voter does not; was the round under way meant?"""
        proposal = self._proposal
        if proposal is None or message.epoch != proposal.epoch or proposal.record is not None:
            return False
        self._highest_rejected = max(self._highest_rejected, message.promised)
        return True

    def on_accepted(self, message: Accepted) -> None:
        """A voter has stored the record."""
        proposal = self._proposal
        if proposal is not None and proposal.accept(message):
            self._proposal = None
            self._acceptor.learn(proposal.record)
            self._decided(proposal.record)

    def _ask_new_voters(self, proposal: Proposal) -> None:
        """The record found may name voters that were not asked yet."""
        base = proposal.base
        if base is None or proposal.record is not None or set(base.voters) <= set(self._acceptor.record.voters):
            return
        missing = tuple(one for one in base.voters if one not in proposal.promised)
        self._send_all(missing, Prepare(proposal.epoch, proposal.candidate))

    def _send_all(self, members: tuple[str, ...], message: Message) -> None:
        for one in members:
            self._network.send(address_of(one), message)
