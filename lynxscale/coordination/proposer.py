"""The Paxos proposer of a candidate or primary: chooses the epoch to ask for and runs the round."""

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
from lynxscale.coordination.quorum import DecidedRecord, quorum_of

ROUND_TIMEOUT_S = 0.25  # time for the replies of both phases, in addition to disk writes
ROUND_WRITE_FACTOR = 4.0  # acceptor writes that a round waits for
# How long a candidate waits for promises beyond a majority, since members without a promise leave the in-sync set.
LATE_PROMISE_S = 0.004


class Proposer:
    """Runs at most one round at a time.

    ``replica_position()``: the durable position of this member's replica. ``choose_record(proposal)``: the record to
    propose once a quorum has promised, None to give up the round. ``on_decided(record, positions)``: called once a
    quorum has accepted the record, with the replica position of each voter that promised.

    ``late_promise_s``: seconds that a candidate waits for promises beyond a majority; ``LATE_PROMISE_S`` by default.
    """

    def __init__(
        self,
        acceptor: Acceptor,
        clock: Clock,
        network: Network,
        replica_position: Callable[[], Position],
        choose_record: Callable[[Proposal], EpochRecord | None],
        on_decided: Callable[[DecidedRecord, Mapping[str, Position]], None],
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
        self._open_epoch = 0  # the last epoch asked for, until a record is proposed for it; 0 for none
        self._decided: DecidedRecord | None = None  # the latest record that this process knows to be decided

    @property
    def active(self) -> bool:
        """Is a round in progress?"""
        return self._proposal is not None

    @property
    def timed_out(self) -> bool:
        """Has the last round exceeded its timeout?"""
        allowed_s = ROUND_TIMEOUT_S + ROUND_WRITE_FACTOR * self._acceptor.write_s
        return self._clock.now() - self._started_at > allowed_s

    @property
    def known_record(self) -> EpochRecord | DecidedRecord:
        """The record that this member accepted last, as a decided one if this process knows that it is."""
        record = self._acceptor.record
        if self._decided is not None and self._decided.record.epoch == record.epoch:
            return self._decided
        return record

    def cancel(self) -> None:
        """Abort the current round: further replies to it are ignored."""
        self._proposal = None

    def propose(self) -> PrepareRejected | None:
        """Start a round, unless this member's own acceptor rejects: then return its rejection. Raises OSError.

        The member's own promise is durable before other voters are asked. So no later process of this member asks for
        the same epoch, and at most one record is proposed per epoch. Like the other promises, it counts only once the
        lease granted by its acceptor has ended.
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
        self._proposal = Proposal(epoch, self._acceptor.member, self._acceptor.record, self._decided)
        self._send_all(tuple(voter for voter in self._proposal.voters if voter != self._acceptor.member), request)
        if isinstance(own_answer, DeferredPromise):
            self._started_at += own_answer.wait_s
            self._send_all((self._acceptor.member,), request)
        else:
            self.on_promise(own_answer)
        return None

    def _next_epoch(self) -> int:
        lowest = max(self._acceptor.record.epoch, self._highest_rejected) + 1
        # Reuse an epoch for which no record was proposed, so that a partitioned candidate does not raise its epoch
        # without bound.
        if self._open_epoch >= max(lowest, self._acceptor.state.promised):
            return self._open_epoch
        return max(lowest, self._acceptor.state.promised + 1)

    def note_higher_promise(self, promised: int) -> None:
        """Ask for an epoch after ``promised`` in the next round: a voter has promised that undecided epoch."""
        self._highest_rejected = max(self._highest_rejected, promised)

    def on_promise(self, message: Promise) -> None:
        """Count a promise; once a quorum has promised, choose and propose the record."""
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
        """Choose and propose the record, unless this was done already or the round has ended."""
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
        """Count a rejection; True if the current round can no longer get a quorum."""
        proposal = self._proposal
        if proposal is None or message.epoch != proposal.epoch or proposal.record is not None:
            return False
        self._highest_rejected = max(self._highest_rejected, message.promised)
        return not proposal.reject(message)

    def on_accepted(self, message: Accepted) -> None:
        """Count an accept; the record is decided once a quorum has stored it."""
        proposal = self._proposal
        decided = proposal.accept(message) if proposal is not None else None
        if proposal is None or decided is None:
            return
        self._proposal = None
        self._acceptor.adopt(decided.record)
        self._decided = decided
        self._on_decided(decided, proposal.promised)

    def _ask_new_voters(self, proposal: Proposal) -> None:
        """Ask voters that are named only by a record found in a promise, and so were not asked yet."""
        if not proposal.promised or proposal.record is not None:
            return
        voters = proposal.base_quorum.members
        if set(voters) <= set(quorum_of(self._acceptor.record).members):
            return
        missing = tuple(voter for voter in voters if voter not in proposal.promised)
        self._send_all(missing, Prepare(proposal.epoch, proposal.candidate))

    def _send_all(self, members: tuple[str, ...], message: Message) -> None:
        for member in members:
            self._network.send(address_of(member), message)
