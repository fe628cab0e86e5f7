"""Model of rounds that change the voters: promises and accepts in every order, with the production quorums and plans.

Messages may be delayed, reordered, repeated or lost, and any process may be killed and restarted at any step: a state
holds only what acceptors have stored and which messages were sent, and each event uses some of these. A proposer may
use any promises to its epoch. Whether it still knows that a record is decided is chosen freely, as a restart forgets
it. A member may adopt any proposed record, as from a heartbeat. Leases are left out, see ``election``.

Events are named after the messages: a voter promises an epoch to a candidate, a candidate proposes a record, a voter
accepts or adopts it.

Invariants: one record is proposed per epoch; every decided record is derived from all those decided in earlier epochs.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import combinations

from lab.model_checker import Event, InvariantViolation, describe_events, search
from lynxscale.coordination.eligibility import decide_candidacy
from lynxscale.coordination.membership_plan import PlanInput, plan_next_record
from lynxscale.coordination.messages import Accepted, EpochRecord, Promise
from lynxscale.coordination.peer_table import PeerView
from lynxscale.coordination.proposal import Proposal
from lynxscale.coordination.quorum import DecidedRecord, quorum_of
from lynxscale.coordination.version_files import INITIAL_POSITION

NOW_S, UNRESPONSIVE_AFTER_S, LONG_AGO_S = 100.0, 1.0, -1000.0


@dataclass(frozen=True)
class VoterChangeBounds:
    """The group and the rounds.

    ``rounds``: for each epoch, the members that may ask for it. ``unresponsive`` and ``retiring``: members of which a
    primary may believe so while it plans. ``adoptions``: how many adoptions may happen.
    """

    voters: str
    spares: str
    rounds: tuple[str, ...]
    unresponsive: str = ""
    retiring: str = ""
    adoptions: int = 0

    @property
    def members(self) -> tuple[str, ...]:
        """All member ids."""
        return tuple(_member(name) for name in self.voters + self.spares)


@dataclass(frozen=True)
class AcceptorView:
    """What one member has stored: the epoch and the candidate that it promised, and the epoch of its record."""

    promised: int
    promised_to: str
    accepted: int


@dataclass(frozen=True)
class Proposed:
    """A proposed record, and the epoch of the record that it is derived from."""

    record: EpochRecord
    base: int


@dataclass(frozen=True)
class State:
    """Everything stored or sent. ``promises``: epoch, candidate, voter and the epoch of the record it reported."""

    acceptors: tuple[AcceptorView, ...]
    promises: frozenset[tuple[int, str, str, int]]
    proposed: tuple[Proposed, ...]  # in order of their epochs; the first is the founders' record
    accepts: frozenset[tuple[int, str]]
    adoptions: int


class VoterChanges:
    """The transitions of the model within its bounds."""

    def __init__(self, bounds: VoterChangeBounds) -> None:
        self.bounds = bounds
        self.members = bounds.members
        voters = tuple(_member(name) for name in bounds.voters)
        self.founding = EpochRecord(0, voters[0], voters, voters, voters)
        self.unknown = EpochRecord(0, "", (), (), ())

    def first(self) -> State:
        """All founders have the founding record."""
        acceptors = tuple(AcceptorView(0, self.founding.primary, 0) for _ in self.members)
        return State(acceptors, frozenset(), (Proposed(self.founding, 0),), frozenset(), self.bounds.adoptions)

    def record(self, state: State, epoch: int, member: str) -> EpochRecord:
        """The record that a member stores as its ``accepted`` epoch; a spare starts without one."""
        if epoch == 0 and member not in self.founding.voters:
            return self.unknown
        return next(one.record for one in state.proposed if one.record.epoch == epoch)

    # Transitions -------------------------------------------------------------------------------------

    def successors(self, state: State) -> Iterator[tuple[Event, State]]:
        """All events that may happen next."""
        for index in range(len(self.members)):
            yield from self._promises(state, index)
            yield from self._accepts(state, index)
        for epoch, candidates in enumerate(self.bounds.rounds, start=1):
            for candidate in map(_member, candidates):
                yield from self._proposals(state, epoch, candidate)

    def _promises(self, state: State, index: int) -> Iterator[tuple[Event, State]]:
        voter, acceptor = self.members[index], state.acceptors[index]
        for epoch, names in enumerate(self.bounds.rounds, start=1):
            for candidate in map(_member, names):
                if epoch > acceptor.promised and self._is_asked(state, epoch, candidate, voter):
                    stored = replace(acceptor, promised=epoch, promised_to=candidate)
                    promise = (epoch, candidate, voter, acceptor.accepted)
                    changed = replace(self._stored(state, index, stored), promises=state.promises | {promise})
                    yield (voter, "promises", epoch, "to", candidate), changed

    def _is_asked(self, state: State, epoch: int, candidate: str, voter: str) -> bool:
        """Does the candidate ask for a promise, and may it still use that? It promises first itself."""
        if (epoch, candidate) in {(one.record.epoch, one.record.primary) for one in state.proposed}:
            return False
        if candidate == voter:
            return True
        reports = {promise[2]: promise[3] for promise in state.promises if promise[:2] == (epoch, candidate)}
        records = [self.record(state, accepted, member) for member, accepted in reports.items()]
        return candidate in reports and any(voter in quorum_of(record).members for record in records)

    def _accepts(self, state: State, index: int) -> Iterator[tuple[Event, State]]:
        voter, acceptor = self.members[index], state.acceptors[index]
        for one in state.proposed[1:]:
            record = one.record
            if record.epoch <= acceptor.accepted or voter not in quorum_of(record).members:
                continue
            promised_other = record.epoch == acceptor.promised and record.primary != acceptor.promised_to
            stored = AcceptorView(record.epoch, record.primary, record.epoch)
            if record.epoch >= acceptor.promised and not promised_other:
                changed = self._stored(state, index, stored)
                accepts = state.accepts | {(record.epoch, voter)}
                yield (voter, "accepts", record.epoch), replace(changed, accepts=accepts)
            if state.adoptions:
                if record.epoch < acceptor.promised:
                    stored = replace(acceptor, accepted=record.epoch)
                changed = replace(self._stored(state, index, stored), adoptions=state.adoptions - 1)
                yield (voter, "adopts", record.epoch), changed

    @staticmethod
    def _stored(state: State, index: int, acceptor: AcceptorView) -> State:
        acceptors = (*state.acceptors[:index], acceptor, *state.acceptors[index + 1 :])
        return replace(state, acceptors=acceptors)

    def _proposals(self, state: State, epoch: int, candidate: str) -> Iterator[tuple[Event, State]]:
        promises = sorted(promise for promise in state.promises if promise[:2] == (epoch, candidate))
        own = [promise for promise in promises if promise[2] == candidate]
        others = [promise for promise in promises if promise[2] != candidate]
        for count in range(len(others) + 1) if own else ():
            for used in combinations(others, count):
                for decided in (None, self._decided_by(state, candidate)):
                    proposal = self._proposal(state, epoch, candidate, (*own, *used), decided)
                    if proposal.may_choose:
                        yield from self._choices(state, proposal)

    def _proposal(
        self, state: State, epoch: int, candidate: str, promises: tuple, decided: DecidedRecord | None
    ) -> Proposal:
        known = self.record(state, promises[0][3], candidate)
        proposal = Proposal(epoch, candidate, known, decided)
        for _, _, voter, accepted in promises:
            proposal.promise(Promise(epoch, voter, self.record(state, accepted, voter), INITIAL_POSITION))
        return proposal

    def _choices(self, state: State, proposal: Proposal) -> Iterator[tuple[Event, State]]:
        base = proposal.base
        records = self._plans(proposal) if base.primary == proposal.candidate else self._candidacies(proposal)
        for record in records:
            proposed = sorted((*state.proposed, Proposed(record, base.epoch)), key=lambda one: one.record.epoch)
            voters = "".join(member[0] for member in record.voters)
            used = "".join(sorted(member[0] for member in proposal.promised))
            event = (proposal.candidate, "proposes", record.epoch, voters, "from", base.epoch, "by promises of", used)
            unused = frozenset(one for one in state.promises if one[:2] != (record.epoch, proposal.candidate))
            yield event, replace(state, proposed=tuple(proposed), promises=unused)

    def _candidacies(self, proposal: Proposal) -> Iterator[EpochRecord]:
        decision = decide_candidacy(proposal.candidate, INITIAL_POSITION, proposal, 0)
        if decision.record is not None:
            yield replace_in_sync(decision.record)

    def _plans(self, proposal: Proposal) -> Iterator[EpochRecord]:
        """The records that a primary may plan: nothing to change, or one member unresponsive or to be retired."""
        beliefs = [("", "")] + [(name, "") for name in self.bounds.unresponsive]
        beliefs += [("", name) for name in self.bounds.retiring]
        planned: dict[EpochRecord, None] = {}
        for unresponsive, retiring in beliefs:
            peers = {
                member: PeerView(LONG_AGO_S if member[0] == unresponsive else NOW_S, member)
                for member in self.members
                if member != proposal.candidate
            }
            plan = PlanInput(
                base=proposal.base,
                base_quorum=proposal.base_quorum,
                primary=proposal.candidate,
                now=NOW_S,
                unresponsive_after=UNRESPONSIVE_AFTER_S,
                tolerated=0,
                peers=peers,
                caught_up=set(self.members),
                lagging=set(),
                behind=set(),
                retiring={_member(retiring)} if retiring else set(),
            )
            planned[replace_in_sync(plan_next_record(plan, proposal.epoch))] = None
        yield from planned

    # Decided records ---------------------------------------------------------------------------------

    def decided(self, state: State) -> list[Proposed]:
        """The proposed records that a quorum has accepted, the founding one first."""
        return [one for one in state.proposed if one.record.epoch == 0 or self._is_decided(state, one)]

    def _decided_by(self, state: State, candidate: str) -> DecidedRecord | None:
        """The latest decided record that the member proposed itself, or None."""
        own = [one for one in self.decided(state)[1:] if one.record.primary == candidate]
        return DecidedRecord(own[-1].record) if own else None

    @staticmethod
    def _is_decided(state: State, one: Proposed) -> bool:
        proposal = Proposal(one.record.epoch, one.record.primary, one.record, None)
        proposal.record = one.record
        accepts = [proposal.accept(Accepted(epoch, voter)) for epoch, voter in state.accepts if epoch == proposal.epoch]
        return any(accepts)

    def check(self, state: State) -> State:
        """The state itself. Raises InvariantViolation."""
        bases = {one.record.epoch: one.base for one in state.proposed}
        if len(bases) < len(state.proposed):
            raise InvariantViolation("two records are proposed under one epoch")
        decided = [one.record.epoch for one in self.decided(state)]
        for earlier, later in zip(decided, decided[1:], strict=False):
            base = later
            while base > earlier:
                base = bases[base]
            if base != earlier:
                raise InvariantViolation(f"{later} is decided, not derived from {earlier}, which is decided too")
        return state


def replace_in_sync(record: EpochRecord) -> EpochRecord:
    """The record with all voters in sync: which replicas count is not part of this model."""
    return EpochRecord(record.epoch, record.primary, record.voters, record.voters, record.previous_voters)


def _member(name: str) -> str:
    return f"{name}:1#0"


def search_voter_changes(bounds: VoterChangeBounds, max_states: int, depth_first: bool = False) -> int:
    """The number of states. Raises InvariantViolation with the path, TooManyStatesError."""
    model = VoterChanges(bounds)
    return search(model.first(), model.successors, model.check, describe_events, max_states, depth_first)


BOUNDS = (
    VoterChangeBounds("abc", "d", ("a", "a", "c"), unresponsive="b"),
    VoterChangeBounds("abc", "d", ("a", "ac", "c"), unresponsive="b"),
    VoterChangeBounds("abc", "d", ("a", "a", "c"), retiring="b"),
    VoterChangeBounds("abcd", "", ("a", "a", "c"), retiring="b"),
    VoterChangeBounds("abc", "d", ("a", "a", "c"), unresponsive="b", adoptions=1),
    VoterChangeBounds("abc", "d", ("a", "ac", "ac"), unresponsive="b"),
    VoterChangeBounds("abcd", "e", ("a", "a", "c"), unresponsive="b"),
    VoterChangeBounds("abc", "de", ("a", "a", "c"), unresponsive="bc"),
)
