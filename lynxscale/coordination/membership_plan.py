"""Plans which members should vote and which replicas should be in sync, from what the primary knows of its peers.

One voter is added, replaced or removed at a time. Only the replicas of voters are in sync: only a voter may become
primary, and a replica that cannot be elected adds no fault tolerance. A departing voter keeps its vote, and its replica
stays in sync, until the remaining ones suffice: first its successor is added as an additional voter and catches up.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lynxscale.coordination.messages import EpochRecord, address_of
from lynxscale.coordination.peer_table import PeerView
from lynxscale.coordination.quorum import Quorum, is_majority

MIN_VOTERS = 3
# A voter that was unresponsive for less than this multiple of ``unresponsive_after`` is expected to respond again soon.
BRIEF_SILENCE_FACTOR = 4


def voters_wanted(tolerated: int) -> int:
    """The number of voters of which a majority remains when ``tolerated`` are lost."""
    return max(MIN_VOTERS, 2 * tolerated + 1)


@dataclass(frozen=True, slots=True)
class PlanInput:
    """Everything that a plan depends on.

    ``base_quorum``: the quorum that a round based on ``base`` needs, for all that the proposer knows. ``now`` and
    ``unresponsive_after``: seconds. ``caught_up``: members that hold everything that may be committed.
    ``lagging``: members that delay commits, although they may be responsive. ``behind``: members known to lack
    committed data, for instance because their files were damaged. ``retiring``: members on machines that are being
    retired.
    """

    base: EpochRecord
    base_quorum: Quorum
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
        """The number of voters of which a majority remains after the tolerated losses."""
        return voters_wanted(self.tolerated)

    @property
    def replicas_wanted(self) -> int:
        """The number of replicas of which one remains after the tolerated losses."""
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
        """Is the member not departing, and responsive or only briefly unresponsive, as during a large transfer?"""
        if member == self.primary:
            return True
        heard_recently = self._heard_within(member, BRIEF_SILENCE_FACTOR * self.unresponsive_after)
        return heard_recently and not self.departing(member)

    def replica_unavailable(self, member: str) -> bool:
        """Can the member's replica store nothing now, or does it lack committed data?"""
        return member in self.lagging or member in self.behind or not self.responsive(member)

    def leaving(self, member: str) -> bool:
        """Was the member's process asked to stop? It leaves as soon as it may, even if no member can replace it."""
        peer = self.peers.get(member)
        return peer is not None and peer.leaving

    def departing(self, member: str) -> bool:
        """Is the member about to leave, temporarily or permanently?"""
        return member in self.retiring or self.leaving(member)

    def staying(self, member: str) -> bool:
        """Is the member responsive and not departing?"""
        return self.responsive(member) and not self.departing(member)

    def successors(self) -> list[str]:
        """Members that could become voters, in a fixed order."""
        return [member for member in sorted(self.peers) if member not in self.base.voters and self.staying(member)]


@dataclass(frozen=True, slots=True)
class MembershipChange:
    """The in-sync members and the voters after a change."""

    in_sync: tuple[str, ...]
    voters: tuple[str, ...]


def plan_next_record(plan: PlanInput, epoch: int) -> EpochRecord:
    """The record to propose next; if nothing should change, it differs from the base only in the epoch.

    While a change of the voters may be undecided, they are not changed again.
    """
    previous_voters = plan.base_quorum.decided_voters
    change = None if plan.base_quorum.is_joint else _plan_voters(plan)
    if change is None:
        change = MembershipChange(_plan_in_sync(plan), plan.base.voters)
    return EpochRecord(epoch, plan.primary, change.in_sync, change.voters, previous_voters)


def _plan_voters(plan: PlanInput) -> MembershipChange | None:
    """The next change of the voters, None if they should stay as they are."""
    for find_change in (_replace_voter_with_lost_disk, _replace_unresponsive_voter, _add_voter, _remove_voter):
        change = find_change(plan)
        if change is not None:
            return change
    return None


def _without_voter(plan: PlanInput, member: str, successor: str | None) -> MembershipChange | None:
    """Remove a voter and its replica, replaced by the successor if any; None if too few replicas would remain."""
    in_sync = tuple(voter for voter in plan.base.in_sync if voter != member)
    if member in plan.base.in_sync and len(in_sync) < plan.replicas_wanted:
        return None
    voters = [successor if voter == member else voter for voter in plan.base.voters]
    return MembershipChange(in_sync, tuple(voter for voter in voters if voter is not None))


def _replace_voter_with_lost_disk(plan: PlanInput) -> MembershipChange | None:
    """Replace a voter by a member at the same address with a new incarnation: the voter has lost its disk."""
    for successor in plan.successors():
        for member in plan.base.voters:
            same_address = address_of(member) == address_of(successor)
            if same_address and member != plan.primary and not plan.responsive(member):
                return _without_voter(plan, member, successor)
    return None


def _replace_unresponsive_voter(plan: PlanInput) -> MembershipChange | None:
    """Replace an unresponsive voter by a responsive member."""
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
    """Add a voter if there are too few, or as the successor of a departing one."""
    successors = plan.successors()
    staying = [member for member in plan.base.voters if not plan.departing(member)]
    if successors and len(staying) < plan.voters_wanted:
        return MembershipChange(plan.base.in_sync, (*plan.base.voters, successors[0]))
    return None


def _remove_voter(plan: PlanInput) -> MembershipChange | None:
    """Remove a departing or surplus voter, once all voters that stay have caught up."""
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
    """Add voters that have caught up; drop unavailable and leaving ones as long as enough replicas remain."""
    voters = plan.base.voters
    in_sync = list(plan.base.in_sync)
    in_sync += [voter for voter in voters if voter not in in_sync and voter in plan.caught_up and plan.staying(voter)]
    catching_up = _catching_up(plan, in_sync)
    if sum(not plan.replica_unavailable(voter) for voter in in_sync) < plan.replicas_wanted:
        # A departing replica is better than too few replicas.
        available = [voter for voter in voters if voter in plan.caught_up and not plan.replica_unavailable(voter)]
        in_sync += [voter for voter in available if voter not in in_sync]
    for member in [voter for voter in in_sync if voter != plan.primary]:
        leaving = plan.leaving(member) and not catching_up
        if (plan.replica_unavailable(member) or leaving) and len(in_sync) > plan.replicas_wanted:
            in_sync.remove(member)
    return tuple(in_sync)


def _catching_up(plan: PlanInput, in_sync: Sequence[str]) -> bool:
    """Is a voter that stays not in sync yet? Until it is, no voter is removed."""
    return any(member not in in_sync for member in plan.base.voters if plan.expected_to_stay(member))


def can_remove(plan: PlanInput, member: str) -> bool:
    """Does nothing depend on a leaving member any more?

    Its replica must no longer be in sync. It may still be a voter if no member can replace it and the responsive
    voters that stay are a majority without it.
    """
    if member in plan.base.in_sync:
        return False
    if member not in plan.base.voters:
        return True
    replaceable = bool(plan.successors()) or _catching_up(plan, plan.base.in_sync)
    staying = {voter for voter in plan.base.voters if voter != member and plan.staying(voter)}
    return not replaceable and is_majority(plan.base.voters, staying)
