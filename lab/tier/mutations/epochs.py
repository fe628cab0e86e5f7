"""Mutations of epochs, leases and the ids of voters."""

from __future__ import annotations

from lab.tier.mutations.detectors import Patches
from lynxscale.coordination import acceptor_state
from lynxscale.coordination.acceptor import Acceptor, DeferredPromise
from lynxscale.coordination.leadership import Leadership
from lynxscale.coordination.lease import LEASE_S, NEVER, LeaderLease
from lynxscale.coordination.messages import EpochRecord, Position, Prepare, PrepareRejected, Promise
from lynxscale.coordination.proposal import Proposal
from lynxscale.coordination.proposer import Proposer
from lynxscale.coordination.quorum import Quorum


def lease_is_never_checked() -> Patches:
    """A primary continues to act after its lease has ended."""

    return [(LeaderLease, "valid", property(lambda self: True)), (Leadership, "lost", property(lambda self: False))]


def promise_while_another_holds_a_lease() -> Patches:
    """A voter promises without waiting for the end of the lease that it granted."""
    return [(Acceptor, "lease_left", property(lambda self: 0.0))]


def promise_in_advance_is_given_at_once() -> Patches:
    """A promise that is stored shortly before the end of a lease is sent before that end."""

    def prepare(self: Acceptor, request: Prepare, position: Position) -> Promise | DeferredPromise | PrepareRejected:
        answer = original(self, request, position)
        if isinstance(answer, DeferredPromise):
            return Promise(request.epoch, self.member, self.record, position)
        return answer

    original = Acceptor.prepare
    return [(Acceptor, "prepare", prepare)]


def wiped_member_votes_as_before() -> Patches:
    """A member that lost its disk starts with its former id."""

    def new_state(who: acceptor_state.MemberIdentity, first_start: bool, random) -> acceptor_state.AcceptorState:  # noqa: ANN001
        founders = tuple(acceptor_state.founder_id(address) for address in sorted(who.seeds))
        founding = EpochRecord(0, "", founders, founders)
        return acceptor_state.AcceptorState(acceptor_state.founder_id(who.address), founding)

    return [(acceptor_state, "_new_state", new_state)]


def epoch_is_used_twice() -> Patches:
    """A candidate sends its prepare requests before its own promise is stored (a fault found by code review)."""

    def propose(self: Proposer) -> None:
        epoch = self._next_epoch()
        self._open_epoch = epoch
        voters_asked = self._acceptor.record.voters
        self._proposal = Proposal(epoch, self._acceptor.member, self._acceptor.record, None)
        self._send_all(voters_asked, Prepare(epoch, self._acceptor.member))

    return [(Proposer, "propose", propose)]


def restarted_voter_forgets_its_grant() -> Patches:
    """A restarted process promises immediately, although its predecessor may have granted a lease."""

    def init(self: Acceptor, stored: acceptor_state.AcceptorStateFile, clock, *durations: float) -> None:  # noqa: ANN001
        original(self, stored, clock, *durations)
        self._lease_until = clock.now()

    original = Acceptor.__init__
    return [(Acceptor, "__init__", init)]


def lease_starts_at_the_grant() -> Patches:
    """The holder's lease starts when it is granted, instead of when it was requested."""

    def on_grant(self: LeaderLease, number: int, member: str, quorum: Quorum) -> None:
        original(self, number, member, quorum)
        if self._until > NEVER and quorum.is_reached(self._granted.get(number, set())):
            self._until = self._clock.now() + LEASE_S

    original = LeaderLease.on_grant
    return [(LeaderLease, "on_grant", on_grant)]
