"""Mistakes in epochs, leases and the ids of voters."""

from __future__ import annotations

from lab.tier.mistakes.finders import Patches
from lynxscale.coordination import acceptor_state
from lynxscale.coordination.acceptor import Proposal, Witness, majority
from lynxscale.coordination.leadership import Leadership
from lynxscale.coordination.lease import LEASE_S, NEVER, HeldLease
from lynxscale.coordination.messages import EpochRecord, Prepare
from lynxscale.coordination.proposer import Proposer


def lease_is_never_checked() -> Patches:
    """A primary acts although its lease has ended."""

    return [(HeldLease, "held", property(lambda self: True)), (Leadership, "lost", property(lambda self: False))]


def promise_while_another_holds_a_lease() -> Patches:
    """A witness does not wait for the lease that it granted."""
    return [(Witness, "lease_left", property(lambda self: 0.0))]


def wiped_member_votes_as_before() -> Patches:
    """A member without its disk takes its former id."""

    def new_state(who: acceptor_state.MemberIdentity, first_start: bool, random) -> acceptor_state.RegisterState:  # noqa: ANN001
        founders = tuple(acceptor_state.founder_id(address) for address in sorted(who.seeds))
        founding = EpochRecord(0, "", founders, founders)
        return acceptor_state.RegisterState(acceptor_state.founder_id(who.address), founding)

    return [(acceptor_state, "_new_state", new_state)]


def epoch_is_used_twice() -> Patches:
    """A candidate asks the others before its own promise is on its disk (seen from reading)."""

    def propose(self: Proposer) -> None:
        epoch = self._next_epoch()
        self._open_epoch = epoch
        voters_asked = self._witness.record.witnesses
        self._proposal = Proposal(epoch, self._witness.member, voters_asked)
        self._send_all(voters_asked, Prepare(epoch, self._witness.member))

    return [(Proposer, "propose", propose)]


def restarted_witness_forgets_its_lease() -> Patches:
    """A process that starts promises at once, although the one before may have granted a lease."""

    def init(self: Witness, stored: acceptor_state.Register, clock, lease_s: float) -> None:  # noqa: ANN001
        original(self, stored, clock, lease_s)
        self._lease_until = clock.now()

    original = Witness.__init__
    return [(Witness, "__init__", init)]


def lease_runs_from_the_answer() -> Patches:
    """The holder counts its lease from when it was granted, not from when it was asked for."""

    def grant(self: HeldLease, number: int, member: str, witnesses: tuple[str, ...]) -> None:
        original(self, number, member, witnesses)
        if self._until > NEVER and number in self._granted and majority(witnesses, self._granted[number]):
            self._until = self._clock.now() + LEASE_S

    original = HeldLease.grant
    return [(HeldLease, "grant", grant)]
