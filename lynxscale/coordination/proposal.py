"""Counts the replies of one Paxos round: promises, then accepts, from majorities of the old and the new voters."""

from __future__ import annotations

from lynxscale.coordination.messages import Accepted, EpochRecord, Position, PrepareRejected, Promise
from lynxscale.coordination.quorum import is_majority


class Proposal:
    """One round of a proposer, from the prepare requests until a majority has accepted.

    ``record``: the proposed record, None before it is chosen. ``promised``: the replica position of each voter that
    promised.
    """

    def __init__(self, epoch: int, candidate: str, voters: tuple[str, ...]) -> None:
        self.epoch = epoch
        self.candidate = candidate
        self._base: EpochRecord | None = None
        self.record: EpochRecord | None = None
        self.promised: dict[str, Position] = {}
        self.rejected: set[str] = set()
        self.accepted: set[str] = set()
        self._voters = voters

    @property
    def base(self) -> EpochRecord:
        """The latest record reported by a promise. Raises LookupError before the first promise."""
        if self._base is None:
            raise LookupError("no promise has been counted yet")
        return self._base

    @property
    def voters(self) -> tuple[str, ...]:
        """Members to ask: the voters known at the start, those of the base and those of the proposed record."""
        known = dict.fromkeys(self._voters)
        for record in (self._base, self.record):
            known.update(dict.fromkeys(record.voters if record else ()))
        return tuple(known)

    def promise(self, answer: Promise) -> bool:
        """Count a promise; True once the record to propose may be derived from ``base``."""
        if answer.epoch != self.epoch or self.record is not None:
            return False
        self.promised[answer.voter] = answer.position
        if self._base is None or answer.accepted.epoch > self._base.epoch:
            self._base = answer.accepted
        return self.may_choose

    @property
    def may_choose(self) -> bool:
        """Have a majority of the base's voters, and the candidate itself, promised?"""
        return self.candidate in self.promised and is_majority(self.base.voters, set(self.promised))

    @property
    def all_promised(self) -> bool:
        """Has every voter of the base promised?"""
        return set(self.base.voters) <= set(self.promised)

    def reject(self, answer: PrepareRejected) -> bool:
        """Count a rejection; True while a majority of the voters may still promise."""
        self.rejected.add(answer.voter)
        return is_majority(self._voters, set(self._voters) - self.rejected)

    def accept(self, answer: Accepted) -> bool:
        """Count an accept; True once the record is decided."""
        if answer.epoch != self.epoch or self.record is None or self._base is None:
            return False
        self.accepted.add(answer.voter)
        old, new = self.base.voters, self.record.voters
        return is_majority(old, self.accepted) and is_majority(new, self.accepted)
