"""Counts the replies of one Paxos round: promises, then accepts."""

from __future__ import annotations

import msgspec

from lynxscale.coordination.messages import Accepted, EpochRecord, Position, PrepareRejected, Promise
from lynxscale.coordination.quorum import DecidedRecord, Quorum, quorum_of


class Proposal:
    """One round of a proposer, from the prepare requests until a quorum has accepted.

    ``known``: the record that the candidate accepted last, ``decided``: the latest one that it knows to be decided.

    ``record``: the proposed record, None before it is chosen. ``promised``: the replica position of each voter that
    promised.
    """

    def __init__(self, epoch: int, candidate: str, known: EpochRecord, decided: DecidedRecord | None) -> None:
        self.epoch = epoch
        self.candidate = candidate
        self._known = known
        self._decided = decided
        self._base: EpochRecord | None = None
        self.record: EpochRecord | None = None
        self.promised: dict[str, Position] = {}
        self.rejected: set[str] = set()
        self.accepted: set[str] = set()

    @property
    def base(self) -> EpochRecord:
        """The latest record reported by a promise. Raises LookupError before the first promise."""
        if self._base is None:
            raise LookupError("no promise has been counted yet")
        return self._base

    @property
    def base_quorum(self) -> Quorum:
        """The quorum that must promise, so that the round finds every record that may be decided."""
        if self._decided is not None and self._decided.record.epoch == self.base.epoch:
            return quorum_of(self._decided)
        return quorum_of(self.base)

    @property
    def voters(self) -> tuple[str, ...]:
        """Members to ask: those whose votes the known record, the base or the proposed record need."""
        known = dict.fromkeys(quorum_of(self._known).members)
        for record in (self._base, self.record):
            known.update(dict.fromkeys(quorum_of(record).members if record else ()))
        return tuple(known)

    def promise(self, answer: Promise) -> bool:
        """Count a promise; True once the record to propose may be derived from ``base``."""
        if answer.epoch != self.epoch or self.record is not None:
            return False
        self.promised[answer.voter] = answer.position
        if self._base is None or self._is_better_base(answer.accepted, self._base):
            self._base = answer.accepted
        return self.may_choose

    @staticmethod
    def _is_better_base(reported: EpochRecord, base: EpochRecord) -> bool:
        """Is the record later, or the same one from a member whose program stores the previous voters too?"""
        completed = base.previous_voters is msgspec.UNSET and reported.previous_voters is not msgspec.UNSET
        return reported.epoch > base.epoch or (reported.epoch == base.epoch and completed)

    @property
    def may_choose(self) -> bool:
        """Have a quorum of the base, and the candidate itself, promised?"""
        return self.candidate in self.promised and self.base_quorum.is_reached(set(self.promised))

    @property
    def all_promised(self) -> bool:
        """Has every voter of the base promised?"""
        return set(self.base_quorum.members) <= set(self.promised)

    def reject(self, answer: PrepareRejected) -> bool:
        """Count a rejection; True while a quorum may still promise."""
        self.rejected.add(answer.voter)
        quorum = quorum_of(self._known)
        return quorum.is_reached(set(quorum.members) - self.rejected)

    def accept(self, answer: Accepted) -> DecidedRecord | None:
        """Count an accept; returns the record once it is decided."""
        if answer.epoch != self.epoch or self.record is None:
            return None
        self.accepted.add(answer.voter)
        return DecidedRecord(self.record) if quorum_of(self.record).is_reached(self.accepted) else None
