"""The voter: a register of epochs on every voting member, and the leases it grants.

A register round has two steps, as in CASPaxos (Rystsov, arXiv:1802.07000): a majority promises an
epoch and tells the record accepted last, then a majority accepts the record built on it. A change of the voting
members needs a majority of both the old and the new ones. Only records are stored, one file, never a log.
"""

from __future__ import annotations

from lynxscale.coordination.acceptor_state import AcceptorState, AcceptorStateFile
from lynxscale.coordination.messages import (
    Accepted,
    EpochRecord,
    LeaseRequest,
    Position,
    Prepare,
    PrepareRejected,
    Promise,
)
from lynxscale.coordination.ports import Clock

EXPECTED_WRITE_S = 0.03  # before the first was seen
WRITE_DECAY = 0.8  # of the slowest late write, with each that is faster


def majority(voters: tuple[str, ...], present: set[str]) -> bool:
    """Do the present members hold more than half of the votes?"""
    return 2 * len(present.intersection(voters)) > len(voters)


class Acceptor:
    """One member's votes. ``lease_s``: how long a grant binds it, by its own steady clock.

    ``write_s``: what a write of the register takes, by the slowest of the late ones.
    """

    def __init__(self, register: AcceptorStateFile, clock: Clock, lease_s: float) -> None:
        self.member = register.state.member
        self.lease_s = lease_s
        self.write_s = EXPECTED_WRITE_S
        self._clock = clock
        self._register = register
        # Grants are not stored: an earlier process may have given one just before it ended, to the record's primary,
        # as nobody else's epoch can begin while it runs.
        self._lease_until = clock.now() + lease_s if register.restored else clock.now()
        self._lease_holder = register.state.accepted.primary

    @property
    def state(self) -> AcceptorState:
        """What is stored."""
        return self._register.state

    @property
    def record(self) -> EpochRecord:
        """The record accepted last."""
        return self.state.accepted

    @property
    def lease_left(self) -> float:
        """Seconds for which a lease granted here may still be held by somebody."""
        return max(0.0, self._lease_until - self._clock.now())

    def bound_for(self, candidate: str) -> float:
        """Seconds for which a lease of another member than the candidate may run."""
        return 0.0 if self._lease_holder == candidate else self.lease_left

    def learn(self, record: EpochRecord) -> bool:
        """Take over a record that a majority has accepted; was it news?"""
        if record.epoch <= self.record.epoch:
            return False
        if record.epoch >= self.state.promised:
            self._save(record, record.epoch, record.primary)
        else:
            self._save(record, self.state.promised, self.state.promised_to)
        return True

    def prepare(self, request: Prepare, position: Position) -> Promise | PrepareRejected:
        """Promise the epoch, unless a higher one was promised or another member may hold the lease.

        ``position``: how far the copy beside this witness reaches. A repeat is one by the same process of the
        candidate, as each process has its own epoch on its disk before it asks anyone else for it.
        """
        repeated = request.epoch == self.state.promised and request.candidate == self.state.promised_to
        if self.bound_for(request.candidate) > 0 or (request.epoch <= self.state.promised and not repeated):
            return PrepareRejected(request.epoch, self.member, self.state.promised, self.lease_left, self.record)
        if not repeated:
            self._save(self.record, request.epoch, request.candidate)
        return Promise(request.epoch, self.member, self.record, position)

    def accept(self, record: EpochRecord) -> Accepted | None:
        """Store the record, unless a higher epoch or another candidate of the same one was promised."""
        promised_other = record.epoch == self.state.promised and record.primary != self.state.promised_to
        if record.epoch < self.state.promised or promised_other or record.epoch < self.record.epoch:
            return None
        if record != self.record:
            self._save(record, record.epoch, record.primary)
        return Accepted(record.epoch, self.member)

    def grant(self, request: LeaseRequest) -> bool:
        """Grant the lease of the accepted epoch to its primary, also while that one asks for its next epoch."""
        record = request.record
        passed_by = self.state.promised > record.epoch and self.state.promised_to != record.primary
        if record.epoch != self.record.epoch or passed_by:
            return False
        if self.member not in record.voters:
            return False
        self._lease_holder = record.primary
        self._lease_until = max(self._lease_until, self._clock.now() + self.lease_s)
        return True

    def release(self, epoch: int) -> None:
        """The primary of that epoch has given its lease back."""
        if epoch == self.record.epoch:
            self._lease_until = self._clock.now()

    def _save(self, accepted: EpochRecord, promised: int, promised_to: str) -> None:
        """Store the state, and only then go by it. Raises OSError."""
        begun = self._clock.now()
        self._register.save(AcceptorState(self.member, accepted, promised, promised_to))
        self.write_s = max(self._clock.now() - begun, self.write_s * WRITE_DECAY)


class Proposal:
    """One register round of a candidate, from its prepare to a majority's accepts."""

    def __init__(self, epoch: int, candidate: str, voters: tuple[str, ...]) -> None:
        self.epoch = epoch
        self.candidate = candidate
        self.base: EpochRecord | None = None
        self.record: EpochRecord | None = None
        self.promised: dict[str, Position] = {}
        self.accepted: set[str] = set()
        self._voters = voters

    @property
    def voters(self) -> tuple[str, ...]:
        """Members to ask: those known, those of the record that was found, those to come."""
        known = dict.fromkeys(self._voters)
        for record in (self.base, self.record):
            known.update(dict.fromkeys(record.voters if record else ()))
        return tuple(known)

    def promise(self, answer: Promise) -> bool:
        """Count a promise; True once the record may be chosen from ``base``."""
        if answer.epoch != self.epoch or self.record is not None:
            return False
        self.promised[answer.voter] = answer.position
        if self.base is None or answer.accepted.epoch > self.base.epoch:
            self.base = answer.accepted
        return majority(self.base.voters, set(self.promised))

    def accept(self, answer: Accepted) -> bool:
        """Count an accept; True once the record is decided."""
        if answer.epoch != self.epoch or self.record is None or self.base is None:
            return False
        self.accepted.add(answer.voter)
        old, new = self.base.voters, self.record.voters
        return majority(old, self.accepted) and majority(new, self.accepted)
