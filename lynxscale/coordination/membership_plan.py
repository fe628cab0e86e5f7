"""Which members should vote and which replicas should be in sync, from the messages that the primary receives.

One voter is added, replaced or removed at a time. An in-sync replica belongs to a voter: only a voter may become
primary, and a replica that cannot be elected adds no fault tolerance. A departing voter keeps its vote, and its replica
stays in sync, until the remaining ones are enough: its successor is added beside it first, and has caught up.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lynxscale.coordination.messages import EpochRecord, address_of
from lynxscale.coordination.peer_table import PeerView
from lynxscale.coordination.quorum import is_majority

MIN_VOTERS = 3
BRIEF_SILENCE_FACTOR = 4  # a voter silent for less than so many times the usual may be back in a moment


def voters_wanted(tolerated: int) -> int:
    """Enough voters that the loss of ``tolerated`` leaves a majority."""
    return max(MIN_VOTERS, 2 * tolerated + 1)


@dataclass(frozen=True, slots=True)
class PlanInput:
    """All that a plan depends on.

    ``now`` and ``unresponsive_after``: seconds. ``caught_up``: members that hold all that may be committed.
    ``lagging``: members that hold up writes, although they may be responsive. ``behind``: members known to lack what
    is committed, as their files were damaged. ``retiring``: members on machines that are to be vacated.
    """

    base: EpochRecord
    primary: str
    now: float
    unresponsive_after: float
    tolerated: int
    peers: dict[str, PeerView]
    caught_up: set[str]
    lagging: set[str]
    behind: set[str]
    retiring: set[str]

    @property
    def voters_wanted(self) -> int:
        """Enough that the tolerated losses leave a majority."""
        return voters_wanted(self.tolerated)

    @property
    def replicas_wanted(self) -> int:
        """Enough that the tolerated losses leave one."""
        return self.tolerated + 1

    def _heard_within(self, member: str, seconds: float) -> bool:
        if member == self.primary:
            return True
        peer = self.peers.get(member)
        return peer is not None and self.now - peer.heard_at < seconds

    def responsive(self, member: str) -> bool:
        """Was a message of the member received within ``unresponsive_after`` seconds?"""
        return self._heard_within(member, self.unresponsive_after)

    def expected_to_stay(self, member: str) -> bool:
        """Is the member to stay, and responsive or only briefly silent, as behind a large message?"""
        if member == self.primary:
            return True
        lately = self._heard_within(member, BRIEF_SILENCE_FACTOR * self.unresponsive_after)
        return lately and not self.departing(member)

    def replica_unavailable(self, member: str) -> bool:
        """Can nothing be stored on the member's replica now, or does it lack what is committed?"""
        return member in self.lagging or member in self.behind or not self.responsive(member)

    def leaving(self, member: str) -> bool:
        """Was the member's process asked to stop? It leaves as soon as it may, even where no member can replace it."""
        peer = self.peers.get(member)
        return peer is not None and peer.leaving

    def departing(self, member: str) -> bool:
        """Is the member about to go, for a while or for good?"""
        return member in self.retiring or self.leaving(member)

    def staying(self, member: str) -> bool:
        """Is the member responsive, and to stay?"""
        return self.responsive(member) and not self.departing(member)

    def successors(self) -> list[str]:
        """Members that could become voters."""
        return [member for member in sorted(self.peers) if member not in self.base.voters and self.staying(member)]


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """The in-sync members and the voters that a change leads to."""

    in_sync: tuple[str, ...]
    voters: tuple[str, ...]


def plan_next_record(plan: PlanInput, epoch: int) -> EpochRecord:
    """The record to propose next; equal to the base but for the epoch where nothing is to change."""
    for find_change in (_replace_voter_with_lost_disk, _replace_unresponsive_voter, _add_voter, _remove_voter):
        change = find_change(plan)
        if change is not None:
            return EpochRecord(epoch, plan.primary, change.in_sync, change.voters)
    return EpochRecord(epoch, plan.primary, _plan_in_sync(plan), plan.base.voters)


def _without_voter(plan: PlanInput, member: str, successor: str | None) -> MembershipChange | None:
    """Take a voter and its replica out, with a successor for its vote; None where too few replicas would be left."""
    in_sync = tuple(one for one in plan.base.in_sync if one != member)
    if member in plan.base.in_sync and len(in_sync) < plan.replicas_wanted:
        return None
    voters = [successor if one == member else one for one in plan.base.voters]
    return MembershipChange(in_sync, tuple(one for one in voters if one is not None))


def _replace_voter_with_lost_disk(plan: PlanInput) -> MembershipChange | None:
    """The same address with another incarnation: the earlier one has lost its disk."""
    for successor in plan.successors():
        for member in plan.base.voters:
            same_address = address_of(member) == address_of(successor)
            if same_address and member != plan.primary and not plan.responsive(member):
                return _without_voter(plan, member, successor)
    return None


def _replace_unresponsive_voter(plan: PlanInput) -> MembershipChange | None:
    """A vote that cannot be cast goes to a member that is there."""
    successors = plan.successors()
    if not successors:
        return None
    for member in plan.base.voters:
        if not plan.responsive(member):
            change = _without_voter(plan, member, successors[0])
            if change is not None:
                return change
    return None


def _add_voter(plan: PlanInput) -> MembershipChange | None:
    """A voter beside those that are there, or beside one that is to go."""
    successors = plan.successors()
    staying = [member for member in plan.base.voters if not plan.departing(member)]
    if successors and len(staying) < plan.voters_wanted:
        return MembershipChange(plan.base.in_sync, (*plan.base.voters, successors[0]))
    return None


def _remove_voter(plan: PlanInput) -> MembershipChange | None:
    """One that is to go, or one too many, once all others that are there have caught up."""
    if len(plan.base.voters) <= plan.voters_wanted or _catching_up(plan, plan.base.in_sync):
        return None
    removable = [member for member in plan.base.voters if member != plan.primary]
    departing = [member for member in removable if plan.departing(member)]
    unresponsive = [member for member in removable if not plan.responsive(member)]
    for member in (*departing, *unresponsive, *reversed(removable)):
        change = _without_voter(plan, member, None)
        if change is not None:
            return change
    return None


def _plan_in_sync(plan: PlanInput) -> tuple[str, ...]:
    """Add voters that caught up; drop silent, lagging and leaving ones, as long as enough replicas remain."""
    voters = plan.base.voters
    in_sync = list(plan.base.in_sync)
    in_sync += [one for one in voters if one not in in_sync and one in plan.caught_up and plan.staying(one)]
    catching_up = _catching_up(plan, in_sync)
    if sum(not plan.replica_unavailable(one) for one in in_sync) < plan.replicas_wanted:
        # Better a replica that is about to go than none.
        available = [one for one in voters if one in plan.caught_up and not plan.replica_unavailable(one)]
        in_sync += [one for one in available if one not in in_sync]
    for member in [one for one in in_sync if one != plan.primary]:
        leaving = plan.leaving(member) and not catching_up
        if (plan.replica_unavailable(member) or leaving) and len(in_sync) > plan.replicas_wanted:
            in_sync.remove(member)
    return tuple(in_sync)


def _catching_up(plan: PlanInput, in_sync: Sequence[str]) -> bool:
    """Is there a voter that stays and is not in sync yet? No departing voter is removed before it is."""
    return any(member not in in_sync for member in plan.base.voters if plan.expected_to_stay(member))


def can_remove(plan: PlanInput, member: str) -> bool:
    """Does nothing depend any more on a member that is to go?

    Its replica may not be in sync any more. It may still be named a voter where no member can replace it and the
    responsive voters that stay are a majority without it.
    """
    if member in plan.base.in_sync:
        return False
    if member not in plan.base.voters:
        return True
    replaceable = bool(plan.successors()) or _catching_up(plan, plan.base.in_sync)
    staying = {one for one in plan.base.voters if one != member and plan.staying(one)}
    return not replaceable and is_majority(plan.base.voters, staying)
