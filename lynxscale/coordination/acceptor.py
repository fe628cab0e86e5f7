"""The Paxos acceptor of each voting member: the epochs it promised and accepted, and the leases it grants.

A round has two phases, as in CASPaxos (Rystsov, arXiv:1802.07000): a quorum promises an epoch and reports the record
that it accepted last, then a quorum accepts a record that is derived from the latest of these. ``quorum`` says of which
voters a majority is needed. Only the latest record is stored, not a log of records.
"""

from __future__ import annotations

from dataclasses import dataclass

from lynxscale.coordination.acceptor_state import AcceptorState, AcceptorStateFile
from lynxscale.coordination.lease import MAX_ADVANCE_S
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
from lynxscale.coordination.quorum import quorum_of

EXPECTED_WRITE_S = 0.03  # write latency assumed before the first write
WRITE_DECAY = 0.8  # each faster write multiplies ``write_s`` by this factor


@dataclass(frozen=True, slots=True)
class DeferredPromise:
    """The promise is durable, but must not be sent before the granted lease ends in ``wait_s`` seconds."""

    wait_s: float


class Acceptor:
    """The promises, accepted record and lease grants of one voting member.

    ``lease_s``: seconds for which a grant binds this acceptor, by its own monotonic clock.

    ``advance_s``: during the last ``advance_s`` seconds of a lease that it granted, the acceptor already stores a
    promise to another candidate, and sends it as the lease ends. This only shortens a failover: no promise is sent
    while the lease may run.

    ``write_s``: estimated seconds per write of the durable state, a decaying maximum of recent writes.
    """

    def __init__(
        self, state_file: AcceptorStateFile, clock: Clock, lease_s: float, advance_s: float = MAX_ADVANCE_S
    ) -> None:
        self.member = state_file.state.member
        self.lease_s = lease_s
        self.advance_s = advance_s
        self.write_s = EXPECTED_WRITE_S
        self._clock = clock
        self._state_file = state_file
        # Grants are not stored. An earlier process may have granted a lease just before it ended; only the recorded
        # primary can hold it, because no other member's epoch begins while a lease runs.
        self._lease_until = clock.now() + lease_s if state_file.restored else clock.now()
        self._lease_holder = state_file.state.accepted.primary

    @property
    def state(self) -> AcceptorState:
        """The durable state."""
        return self._state_file.state

    @property
    def record(self) -> EpochRecord:
        """The epoch record that was accepted or adopted last. Nothing says whether it is decided."""
        return self.state.accepted

    @property
    def lease_left(self) -> float:
        """Seconds for which a lease granted by this acceptor may still be valid, 0 for none."""
        return max(0.0, self._lease_until - self._clock.now())

    def lease_left_for_other(self, candidate: str) -> float:
        """Seconds for which a lease held by a member other than the candidate may still run."""
        return 0.0 if self._lease_holder == candidate else self.lease_left

    def adopt(self, record: EpochRecord) -> bool:
        """Store a record that another member reported; False if it is not later than the stored one.

        It may be undecided. An adoption is reported by later promises, but never counts as an accept.
        """
        if record.epoch <= self.record.epoch:
            return False
        if record.epoch >= self.state.promised:
            self._save(record, record.epoch, record.primary)
        else:
            self._save(record, self.state.promised, self.state.promised_to)
        return True

    def advance_wait_s(self, candidate: str) -> float:
        """Seconds until a promise to the candidate may be stored; 0 or less if it may be stored now."""
        return self.lease_left_for_other(candidate) - self.advance_s

    def prepare(self, request: Prepare, position: Position) -> Promise | DeferredPromise | PrepareRejected:
        """Promise the epoch, unless a higher one was promised or another member may hold the lease.

        In the last ``advance_s`` seconds of that lease the promise is stored, and the candidate's request has to be
        handled again once the lease has ended.

        ``position``: the durable position of this member's replica. A repeated request comes from the same process of
        the candidate: a candidate stores its own promise before it asks other voters, so a restarted one asks for a
        later epoch.
        """
        repeated = request.epoch == self.state.promised and request.candidate == self.state.promised_to
        if self.advance_wait_s(request.candidate) > 0 or (request.epoch <= self.state.promised and not repeated):
            return PrepareRejected(request.epoch, self.member, self.state.promised, self.lease_left, self.record)
        if not repeated:
            self._save(self.record, request.epoch, request.candidate)
        # Recomputed because the lease may have ended during the write.
        wait_s = self.lease_left_for_other(request.candidate)
        if wait_s > 0:
            return DeferredPromise(wait_s)
        return Promise(request.epoch, self.member, self.record, position)

    def accept(self, record: EpochRecord) -> Accepted | None:
        """Store the record, unless a higher epoch was promised, or the same epoch to another candidate."""
        promised_other = record.epoch == self.state.promised and record.primary != self.state.promised_to
        if record.epoch < self.state.promised or promised_other or record.epoch < self.record.epoch:
            return None
        if record != self.record:
            self._save(record, record.epoch, record.primary)
        self._bind_lease(record.primary)
        return Accepted(record.epoch, self.member)

    def grant(self, request: LeaseRequest) -> bool:
        """Grant the lease of the accepted epoch to its primary, even after promising that primary its next epoch."""
        record = request.record
        superseded = self.state.promised > record.epoch and self.state.promised_to != record.primary
        if record.epoch != self.record.epoch or superseded:
            return False
        if self.member not in quorum_of(self.record).members:
            return False
        self._bind_lease(record.primary)
        return True

    def _bind_lease(self, primary: str) -> None:
        """Promise no other candidate for ``lease_s``.

        An accept binds as a grant does: the lease that the primary holds from its earlier epoch was granted by the
        voters of that epoch, and the next candidate may need none of them.
        """
        self._lease_holder = primary
        self._lease_until = max(self._lease_until, self._clock.now() + self.lease_s)

    def release(self, epoch: int) -> None:
        """End the granted lease: the primary of that epoch has released it."""
        if epoch == self.record.epoch:
            self._lease_until = self._clock.now()

    def rewrite(self) -> None:
        """Store the state again because one of its files is damaged. Raises OSError."""
        self._state_file.save(self.state)

    def _save(self, accepted: EpochRecord, promised: int, promised_to: str) -> None:
        """Make a new state durable, then effective. Raises OSError."""
        started_at = self._clock.now()
        self._state_file.save(AcceptorState(self.member, accepted, promised, promised_to))
        self.write_s = max(self._clock.now() - started_at, self.write_s * WRITE_DECAY)
