"""Mistakes put into the views on purpose: each checker has to find them, else it proves nothing.

Each is a class that takes the place of ``Views`` in a process: ``spoil`` makes one of it.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import cast

from lynxscale.relay.cluster.instructions import PersistState, SendViewMessage, ViewInstruction
from lynxscale.relay.cluster.messages import NO_BALLOT, DurableState, LeaseRequest, Promise, ViewMessage
from lynxscale.relay.cluster.view_change import ViewAgreement


class Spoilt(ViewAgreement):
    """``begin`` is called where a process starts."""

    def begin(self, now: int) -> None:
        """What is wrong from the start on."""

    @contextmanager
    def _unaware(self, **fields: object) -> Iterator[None]:
        """As if its memory had these fields instead, until the end of the block; what is kept in it is not."""
        kept = self.durable
        self.durable = kept._replace(**fields)
        try:
            yield
        finally:
            self.durable = kept


class VoteForgotten(Spoilt):
    """A vote does not outlive a restart."""

    def begin(self, now: int) -> None:
        self.durable = self.durable._replace(promised=NO_BALLOT, ballot=NO_BALLOT, accepted=None)


class SaidBeforeWritten(Spoilt):
    """A vote is said before it is on disk."""

    def _persist(self, durable: DurableState, *then: SendViewMessage) -> None:
        super()._persist(durable, *then)
        self._instructions[-1:] = [*then, PersistState(self.durable, ())]


class FenceNotLookedAt(Spoilt):
    """What was granted does not hold up a removal."""

    def _take_instructions(self, now: int) -> list[ViewInstruction]:
        self._granted_until.clear()
        return super()._take_instructions(now)


class HalfIsEnough(Spoilt):
    def _is_quorum(self, names) -> bool:
        return 2 * len(set(names) & set(self._acceptors())) >= len(self._acceptors())


class OlderPromiseBroken(Spoilt):
    """A lower ballot is voted for after a higher one was promised."""

    def _check_ballot(self, now, sender, ballot, message) -> bool:
        with self._unaware(promised=NO_BALLOT):
            return super()._check_ballot(now, sender, ballot, message)


class AcceptedIgnored(Spoilt):
    """What others have accepted before does not bind a proposer."""

    def receive(self, now, sender, identity, message: ViewMessage) -> list[ViewInstruction]:
        if isinstance(message, Promise):
            message = message._replace(ballot=NO_BALLOT, change=None)
        return super().receive(now, sender, identity, message)


class LeaseTooLong(Spoilt):
    def lease_until(self, now: int) -> int:
        until = super().lease_until(now)
        return until and until + 3 * self.timing.lease


class NoWaitAfterAStart(Spoilt):
    """A process that starts has forgotten what it granted, and does not wait until that has run out."""

    def begin(self, now: int) -> None:
        self._no_removal_until = now


class NoWaitAfterAView(Spoilt):
    """A removal is accepted at once after a view, though who has not heard of it may hold a lease of the one before."""

    def _install(self, now, view) -> None:
        super()._install(now, view)
        self._no_removal_until = now


class GrantsAfterAccepting(Spoilt):
    """Leases are granted by one who has accepted the next view."""

    def receive(self, now, sender, identity, message: ViewMessage) -> list[ViewInstruction]:
        if not isinstance(message, LeaseRequest):
            return super().receive(now, sender, identity, message)
        with self._unaware(accepted=None):
            return super().receive(now, sender, identity, message)


class VotesWithoutAsking(Spoilt):
    """Who has started does not ask the others what they remember of it."""

    def votes(self, now: int) -> bool:
        return super().votes(now) or (self.durable.votes and self.view is not None and self.me.name in self.view.names)


class LossNotMinded(Spoilt):
    """Others remember more of this node than it does, and it votes all the same."""

    def _state_rolled_back(self, write_count: int) -> None:
        self.durable = self.durable._replace(write_count=write_count)


class LostMemoryVotes(Spoilt):
    """Who has no memory votes as soon as it has learned a view."""

    def _install(self, now, view) -> None:
        super()._install(now, view)
        self.durable = self.durable._replace(votes=True)
        self.exchanged_with = set(view.names)


class LeaseKeptByAcceptor(Spoilt):
    """Who has accepted its own removal acts on."""

    def lease_until(self, now: int) -> int:
        with self._unaware(accepted=None):
            return super().lease_until(now)


ALL = (
    VoteForgotten,
    SaidBeforeWritten,
    FenceNotLookedAt,
    HalfIsEnough,
    OlderPromiseBroken,
    AcceptedIgnored,
    LeaseTooLong,
    NoWaitAfterAStart,
    NoWaitAfterAView,
    GrantsAfterAccepting,
    VotesWithoutAsking,
    LossNotMinded,
    LostMemoryVotes,
    LeaseKeptByAcceptor,
)


def spoil(kind: type[Spoilt], views: ViewAgreement, now: int) -> None:
    """From now on these views make that mistake."""
    views.__class__ = kind
    cast(Spoilt, views).begin(now)
