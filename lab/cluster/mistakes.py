"""Mistakes put into the views on purpose: each checker has to find them, else it proves nothing.

Each is a class that takes the place of ``Views`` in a process: ``spoil`` makes one of it.
"""

from __future__ import annotations

from collections.abc import Iterator
from contextlib import contextmanager

from lynxscale.relay.cluster.messages import NONE, Kept, LeaseAsk, Promise, Word
from lynxscale.relay.cluster.view_change import Order, Persist, Say, Views


class Spoilt(Views):
    """``begin`` is called where a process starts."""

    def begin(self, now: int) -> None:
        """What is wrong from the start on."""

    @contextmanager
    def _unaware(self, **fields: object) -> Iterator[None]:
        """As if its memory had these fields instead, until the end of the block; what is kept in it is not."""
        kept = self.kept
        self.kept = kept._replace(**fields)
        try:
            yield
        finally:
            self.kept = kept


class VoteForgotten(Spoilt):
    """A vote does not outlive a restart."""

    def begin(self, now: int) -> None:
        self.kept = self.kept._replace(promised=NONE, ballot=NONE, accepted=None)


class SaidBeforeWritten(Spoilt):
    """A vote is said before it is on disk."""

    def _keep(self, kept: Kept, *then: Say) -> None:
        super()._keep(kept, *then)
        self._out[-1:] = [*then, Persist(self.kept, ())]


class FenceNotLookedAt(Spoilt):
    """What was granted does not hold up a removal."""

    def _done(self, now: int) -> list[Order]:
        self._granted.clear()
        return super()._done(now)


class HalfIsEnough(Spoilt):
    def _decides(self, names) -> bool:
        return 2 * len(set(names) & set(self._acceptors())) >= len(self._acceptors())


class OlderPromiseBroken(Spoilt):
    """A lower ballot is voted for after a higher one was promised."""

    def _fit(self, now, frm, ballot, word) -> bool:
        with self._unaware(promised=NONE):
            return super()._fit(now, frm, ballot, word)


class AcceptedIgnored(Spoilt):
    """What others have accepted before does not bind a proposer."""

    def heard(self, now, frm, who, word: Word) -> list[Order]:
        if isinstance(word, Promise):
            word = word._replace(ballot=NONE, step=None)
        return super().heard(now, frm, who, word)


class LeaseTooLong(Spoilt):
    def lease_until(self, now: int) -> int:
        until = super().lease_until(now)
        return until and until + 3 * self.terms.lease


class NoWaitAfterAStart(Spoilt):
    """A process that starts has forgotten what it granted, and does not wait until that has run out."""

    def begin(self, now: int) -> None:
        self._quiet_until = now


class NoWaitAfterAView(Spoilt):
    """A removal is accepted at once after a view, though who has not heard of it may hold a lease of the one before."""

    def _install(self, now, view) -> None:
        super()._install(now, view)
        self._quiet_until = now


class GrantsAfterAccepting(Spoilt):
    """Leases are granted by one who has accepted the next view."""

    def heard(self, now, frm, who, word: Word) -> list[Order]:
        if not isinstance(word, LeaseAsk):
            return super().heard(now, frm, who, word)
        with self._unaware(accepted=None):
            return super().heard(now, frm, who, word)


class VotesWithoutAsking(Spoilt):
    """Who has started does not ask the others what they remember of it."""

    def votes(self, now: int) -> bool:
        return super().votes(now) or (self.kept.votes and self.view is not None and self.me.name in self.view.names)


class LossNotMinded(Spoilt):
    """Others remember more of this node than it does, and it votes all the same."""

    def _went_back(self, mark: int) -> None:
        self.kept = self.kept._replace(mark=mark)


class LostMemoryVotes(Spoilt):
    """Who has no memory votes as soon as it has learned a view."""

    def _install(self, now, view) -> None:
        super()._install(now, view)
        self.kept = self.kept._replace(votes=True)
        self.checked = set(view.names)


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


def spoil(kind: type[Spoilt], views: Views, now: int) -> None:
    """From now on these views make that mistake."""
    views.__class__ = kind
    views.begin(now)
