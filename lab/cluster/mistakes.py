"""Faulty variants of the view agreement, which the checkers must detect.

Each is a subclass of ViewAgreement; ``inject`` turns an agreement that a process runs into one of them.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager
from typing import cast

from lynxscale.relay.cluster.instructions import PersistState, SendViewMessage, ViewInstruction
from lynxscale.relay.cluster.messages import NO_BALLOT, DurableState, LeaseRequest, Promise, ViewMessage
from lynxscale.relay.cluster.view_change import ViewAgreement


class FaultyViewAgreement(ViewAgreement):
    """A view agreement with one mistake. ``on_start`` is called when the process starts."""

    def on_start(self, now: int) -> None:
        """Hook for mistakes in the initial state."""

    @contextmanager
    def _with_durable(self, **fields: object) -> Iterator[None]:
        """Replace fields of the durable state within the block; changes that are made in it are discarded."""
        saved = self.durable
        self.durable = saved._replace(**fields)
        try:
            yield
        finally:
            self.durable = saved


class ForgetsVoteOnRestart(FaultyViewAgreement):
    """A restarted process forgets its votes."""

    def on_start(self, now: int) -> None:
        self.durable = self.durable._replace(promised=NO_BALLOT, ballot=NO_BALLOT, accepted=None)


class SendsVoteBeforePersisting(FaultyViewAgreement):
    """A vote is sent before it is on disk."""

    def _persist(self, durable: DurableState, *then: SendViewMessage) -> None:
        super()._persist(durable, *then)
        self._instructions[-1:] = [*then, PersistState(self.durable, ())]


class IgnoresGrantedLeases(FaultyViewAgreement):
    """A removal doesn't wait for the end of granted leases."""

    def _take_instructions(self, now: int) -> list[ViewInstruction]:
        self._granted_until.clear()
        return super()._take_instructions(now)


class HalfIsAQuorum(FaultyViewAgreement):
    """Half of the acceptors are enough for a decision."""

    def _is_quorum(self, names) -> bool:
        return 2 * len(set(names) & set(self._acceptors())) >= len(self._acceptors())


class BreaksOlderPromise(FaultyViewAgreement):
    """A lower ballot is accepted although a higher one was promised."""

    def _check_ballot(self, now, sender, ballot, message) -> bool:
        with self._with_durable(promised=NO_BALLOT):
            return super()._check_ballot(now, sender, ballot, message)


class IgnoresAcceptedChange(FaultyViewAgreement):
    """A proposer ignores changes that others have accepted before."""

    def receive(self, now, sender, identity, message: ViewMessage) -> list[ViewInstruction]:
        if isinstance(message, Promise):
            message = message._replace(ballot=NO_BALLOT, change=None)
        return super().receive(now, sender, identity, message)


class LeaseTooLong(FaultyViewAgreement):
    """A member acts for longer than its lease."""

    def lease_until(self, now: int) -> int:
        until = super().lease_until(now)
        return until and until + 3 * self.timing.lease


class NoRemovalDelayAfterStart(FaultyViewAgreement):
    """A process that has restarted doesn't wait for leases that it may have granted before."""

    def on_start(self, now: int) -> None:
        self._no_removal_until = now


class NoRemovalDelayAfterView(FaultyViewAgreement):
    """A removal is accepted at once after a view change, while nodes of the old view may still hold a lease."""

    def _install(self, now, view) -> None:
        super()._install(now, view)
        self._no_removal_until = now


class GrantsAfterAccepting(FaultyViewAgreement):
    """A node that has accepted the next view still grants leases of the current one."""

    def receive(self, now, sender, identity, message: ViewMessage) -> list[ViewInstruction]:
        if not isinstance(message, LeaseRequest):
            return super().receive(now, sender, identity, message)
        with self._with_durable(accepted=None):
            return super().receive(now, sender, identity, message)


class VotesBeforeExchanges(FaultyViewAgreement):
    """A restarted node votes before it has learned from the others what they know of its earlier votes."""

    def votes(self, now: int) -> bool:
        return super().votes(now) or (self.durable.votes and self.view is not None and self.me.name in self.view.names)


class IgnoresStateRollback(FaultyViewAgreement):
    """A node votes although others know of later writes than its durable state has."""

    def _state_rolled_back(self, write_count: int) -> None:
        self.durable = self.durable._replace(write_count=write_count)


class VotesAfterStateLoss(FaultyViewAgreement):
    """A node that has lost its durable state votes as soon as it has learned a view."""

    def _install(self, now, view) -> None:
        super()._install(now, view)
        self.durable = self.durable._replace(votes=True)
        self.exchanged_with = set(view.names)


class KeepsLeaseAfterAcceptingRemoval(FaultyViewAgreement):
    """A node that has accepted its own removal continues to act."""

    def lease_until(self, now: int) -> int:
        with self._with_durable(accepted=None):
            return super().lease_until(now)


ALL = (
    ForgetsVoteOnRestart,
    SendsVoteBeforePersisting,
    IgnoresGrantedLeases,
    HalfIsAQuorum,
    BreaksOlderPromise,
    IgnoresAcceptedChange,
    LeaseTooLong,
    NoRemovalDelayAfterStart,
    NoRemovalDelayAfterView,
    GrantsAfterAccepting,
    VotesBeforeExchanges,
    IgnoresStateRollback,
    VotesAfterStateLoss,
    KeepsLeaseAfterAcceptingRemoval,
)


def inject(kind: type[FaultyViewAgreement], agreement: ViewAgreement, now: int) -> None:
    """Make a running agreement make that mistake from now on."""
    agreement.__class__ = kind
    cast(FaultyViewAgreement, agreement).on_start(now)
