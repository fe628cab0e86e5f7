"""The Paxos proposer of a candidate or primary: which epoch to ask for, and the round under way."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from lynxscale.coordination.acceptor import Acceptor, DeferredPromise
from lynxscale.coordination.lease import NEVER
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
from lynxscale.coordination.proposal import Proposal

ROUND_TIMEOUT_S = 0.25  # for the answers to a prepare or an accept, beside what disks take
ROUND_WRITE_FACTOR = 4.0  # acceptor writes that a round waits for
LATE_PROMISE_S = 0.004  # a candidate waits so long for promises beyond a majority: who is absent leaves the in-sync set


class Proposer:
    """Runs at most one round at a time.

    ``replica_position()``: how far the own replica reaches. ``choose_record(proposal)``: the record to propose once a
    majority has promised, None to give the round up. ``on_decided(record, positions)``: called once a majority has
    accepted it, with how far the replica of each voter that promised reaches.

    ``late_promise_s``: seconds that a candidate waits for promises beyond a majority; ``LATE_PROMISE_S`` by default.
    """

    def __init__(
        self,
        acceptor: Acceptor,
        clock: Clock,
        network: Network,
        replica_position: Callable[[], Position],
        choose_record: Callable[[Proposal], EpochRecord | None],
        on_decided: Callable[[EpochRecord, Mapping[str, Position]], None],
        late_promise_s: float | None = None,
    ) -> None:
        self._acceptor = acceptor
        self._clock = clock
        self._network = network
        self._replica_position = replica_position
        self._choose_record = choose_record
        self._on_decided = on_decided
        self._late_promise_s = LATE_PROMISE_S if late_promise_s is None else late_promise_s
        self._proposal: Proposal | None = None
        self._started_at = NEVER
        self._highest_rejected = 0
        self._open_epoch = 0  # the last one asked for, while no record was sent for it; 0 for none

    @property
    def active(self) -> bool:
        """Is a round under way?"""
        return self._proposal is not None

    @property
    def timed_out(self) -> bool:
        """Has the last round run for longer than a round may take?"""
        allowed_s = ROUND_TIMEOUT_S + ROUND_WRITE_FACTOR * self._acceptor.write_s
        return self._clock.now() - self._started_at > allowed_s

    def cancel(self) -> None:
        """Abort the round under way: answers to it count no more."""
        self._proposal = None

    def propose(self) -> PrepareRejected | None:
        """Start a round; the own acceptor's rejection where it is bound, and then there is no round. Raises OSError.

        The own promise is durable before anyone else is asked: no later process of this member asks for that epoch
        again, so no two records are proposed under one epoch. It counts from the end of the lease that the own acceptor
        has granted, as those of the others do.
        """
        self._proposal = None
        epoch = self._next_epoch()
        request = Prepare(epoch, self._acceptor.member)
        own_answer = self._acceptor.prepare(request, self._replica_position())
        self._started_at = self._clock.now()
        if isinstance(own_answer, PrepareRejected):
            self._highest_rejected = max(self._highest_rejected, own_answer.promised)
            return own_answer
        self._open_epoch = epoch
        voters = self._acceptor.record.voters
        self._proposal = Proposal(epoch, self._acceptor.member, voters)
        self._send_all(tuple(voter for voter in voters if voter != self._acceptor.member), request)
        if isinstance(own_answer, DeferredPromise):
            self._started_at += own_answer.wait_s
            self._send_all((self._acceptor.member,), request)
        else:
            self.on_promise(own_answer)
        return None

    def _next_epoch(self) -> int:
        lowest = max(self._acceptor.record.epoch, self._highest_rejected) + 1
        # An epoch for which no record was sent is asked for again: a partitioned candidate must not raise
        # its epoch without bound.
        if self._open_epoch >= max(lowest, self._acceptor.state.promised):
            return self._open_epoch
        return max(lowest, self._acceptor.state.promised + 1)

    def note_higher_promise(self, promised: int) -> None:
        """A voter is bound by an epoch that was never decided: the next round asks for a later one."""
        self._highest_rejected = max(self._highest_rejected, promised)

    def on_promise(self, message: Promise) -> None:
        """A voter promised; with a majority the record is chosen and proposed."""
        proposal = self._proposal
        if proposal is None:
            return
        chosen_by_timer = proposal.may_choose
        if not proposal.promise(message):
            self._ask_new_voters(proposal)
        elif proposal.all_promised or proposal.base.primary == proposal.candidate or not self._late_promise_s:
            self._choose(proposal)
        elif not chosen_by_timer:
            self._clock.call_later(self._late_promise_s, lambda: self._choose(proposal))

    def _choose(self, proposal: Proposal) -> None:
        """Choose the record and propose it, unless that has been done or the round has ended."""
        if proposal is not self._proposal or proposal.record is not None:
            return
        record = self._choose_record(proposal)
        if record is None:
            self._proposal = None
            return
        proposal.record = record
        self._open_epoch = 0
        self._send_all(proposal.voters, Accept(record))

    def on_prepare_rejected(self, message: PrepareRejected) -> bool:
        """A voter rejected; True where the round under way cannot get a majority any more."""
        proposal = self._proposal
        if proposal is None or message.epoch != proposal.epoch or proposal.record is not None:
            return False
        self._highest_rejected = max(self._highest_rejected, message.promised)
        return not proposal.reject(message)

    def on_accepted(self, message: Accepted) -> None:
        """A voter has stored the record; with a majority it is decided."""
        proposal = self._proposal
        if proposal is None or proposal.record is None or not proposal.accept(message):
            return
        self._proposal = None
        self._acceptor.learn(proposal.record)
        self._on_decided(proposal.record, proposal.promised)

    def _ask_new_voters(self, proposal: Proposal) -> None:
        """The record that was found may name voters that were not asked yet."""
        if not proposal.promised or proposal.record is not None:
            return
        voters = proposal.base.voters
        if set(voters) <= set(self._acceptor.record.voters):
            return
        missing = tuple(voter for voter in voters if voter not in proposal.promised)
        self._send_all(missing, Prepare(proposal.epoch, proposal.candidate))

    def _send_all(self, members: tuple[str, ...], message: Message) -> None:
        for member in members:
            self._network.send(address_of(member), message)
