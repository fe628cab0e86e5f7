"""Which members should vote and which copies should be waited for, from what the primary hears of them.

One voter is added, replaced or removed at a time. A copy that counts belongs to a voter: nobody else may stand, and a
copy that cannot stand saves nothing. A voter that is to go stays one, and its copy counts, until those that stay are
enough without it: its successor is added beside it first, and has caught up.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from lynxscale.coordination.acceptor import majority
from lynxscale.coordination.messages import EpochRecord, address_of

MIN_VOTERS = 3
BRIEF_SILENCE_FACTOR = 4  # a voter silent for less than so many times the usual may be back in a moment


@dataclass(slots=True)
class PeerView:
    """What the primary hears of another member. An empty ``node``: it was not heard in this lead."""

    heard_at: float = -1e9
    node: str = ""
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class PlanInput:
    """All that a plan depends on.

    ``lagging``: members that hold up writes, although they may be heard of. ``behind``: members known to lack what
    is committed, as their files were damaged. ``retiring``: members on machines that are to be emptied.
    """

    base: EpochRecord
    me: str
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
        return max(MIN_VOTERS, 2 * self.tolerated + 1)

    @property
    def replicas_wanted(self) -> int:
        """Enough that the tolerated losses leave one."""
        return self.tolerated + 1

    def present(self, member: str) -> bool:
        """Is the member heard of?"""
        if member == self.me:
            return True
        peer = self.peers.get(member)
        return peer is not None and self.now - peer.heard_at < self.unresponsive_after

    def expected(self, member: str) -> bool:
        """Is the member there to stay, or silent for a moment only, as behind a large message?"""
        if member == self.me:
            return True
        peer = self.peers.get(member)
        lately = peer is not None and self.now - peer.heard_at < BRIEF_SILENCE_FACTOR * self.unresponsive_after
        return lately and not self.departing(member)

    def lost(self, member: str) -> bool:
        """Is the member's copy one that nothing can be stored on, or that lacks what is committed?"""
        return member in self.lagging or member in self.behind or not self.present(member)

    def stopping(self, member: str) -> bool:
        """Was the member asked to stop? It goes as soon as it may, also where nobody can take its place."""
        peer = self.peers.get(member)
        return peer is not None and peer.leaving

    def departing(self, member: str) -> bool:
        """Is the member about to go, for a while or for good?"""
        return member in self.retiring or self.stopping(member)

    def stays(self, member: str) -> bool:
        """Is the member there, to stay?"""
        return self.present(member) and not self.departing(member)

    def successors(self) -> list[str]:
        """Members that could become voters."""
        return [one for one in sorted(self.peers) if one not in self.base.voters and self.stays(one)]


def plan_next_record(plan: PlanInput, epoch: int) -> EpochRecord:
    """The record that the primary wants next; equal to the base but for the epoch where nothing is to change."""
    base = plan.base
    for change in (_replace_voter_with_lost_disk, _replace_unresponsive_voter, _add_voter, _remove_voter):
        changed = change(plan)
        if changed is not None:
            in_sync, voters = changed
            return EpochRecord(epoch, plan.me, in_sync, voters)
    return EpochRecord(epoch, plan.me, _plan_in_sync(plan), base.voters)


Change = tuple[tuple[str, ...], tuple[str, ...]]


def _without_voter(plan: PlanInput, member: str, successor: str | None) -> Change | None:
    """In-sync set and voters without a member; None where too few copies would be left."""
    in_sync = tuple(one for one in plan.base.in_sync if one != member)
    if member in plan.base.in_sync and len(in_sync) < plan.replicas_wanted:
        return None
    voters = [successor if one == member else one for one in plan.base.voters]
    return in_sync, tuple(one for one in voters if one is not None)


def _replace_voter_with_lost_disk(plan: PlanInput) -> Change | None:
    """The same address with another incarnation: the earlier one has lost its disk."""
    for successor in plan.successors():
        for member in plan.base.voters:
            same = address_of(member) == address_of(successor)
            if same and member != plan.me and not plan.present(member):
                return _without_voter(plan, member, successor)
    return None


def _replace_unresponsive_voter(plan: PlanInput) -> Change | None:
    """A vote that cannot be cast goes to somebody who is there."""
    successors = plan.successors()
    if not successors:
        return None
    for member in plan.base.voters:
        if not plan.present(member):
            changed = _without_voter(plan, member, successors[0])
            if changed is not None:
                return changed
    return None


def _add_voter(plan: PlanInput) -> Change | None:
    """Somebody beside those that are there, or beside one that is to go."""
    successors = plan.successors()
    staying = [one for one in plan.base.voters if not plan.departing(one)]
    if successors and len(staying) < plan.voters_wanted:
        return plan.base.in_sync, (*plan.base.voters, successors[0])
    return None


def _remove_voter(plan: PlanInput) -> Change | None:
    """One that is to go, or one too many, once all the others that are there have caught up."""
    if len(plan.base.voters) <= plan.voters_wanted or _catching_up(plan, plan.base.in_sync):
        return None
    spare = [one for one in plan.base.voters if one != plan.me]
    departing = [one for one in spare if plan.departing(one)]
    silent = [one for one in spare if not plan.present(one)]
    for member in (*departing, *silent, *reversed(spare)):
        changed = _without_voter(plan, member, None)
        if changed is not None:
            return changed
    return None


def _plan_in_sync(plan: PlanInput) -> tuple[str, ...]:
    """Caught-up voters join; who is silent, late or about to stop leaves, as long as enough copies remain."""
    voters = plan.base.voters
    in_sync = list(plan.base.in_sync)
    in_sync += [one for one in voters if one not in in_sync and one in plan.caught_up and plan.stays(one)]
    catching_up = _catching_up(plan, in_sync)
    if sum(not plan.lost(one) for one in in_sync) < plan.replicas_wanted:
        # Better a copy that is about to go than none.
        in_sync += [one for one in voters if one not in in_sync and one in plan.caught_up and not plan.lost(one)]
    for one in [one for one in in_sync if one != plan.me]:
        stopping = plan.stopping(one) and not catching_up
        if (plan.lost(one) or stopping) and len(in_sync) > plan.replicas_wanted:
            in_sync.remove(one)
    return tuple(in_sync)


def _catching_up(plan: PlanInput, in_sync: Sequence[str]) -> bool:
    """Is there a voter that stays and is not in sync yet? A voter that goes is not let go before."""
    return any(one not in in_sync for one in plan.base.voters if plan.expected(one))


def can_remove(plan: PlanInput, member: str) -> bool:
    """Does nothing depend any more on a member that is to go?

    Its copy may not count any more. Its vote may still be named where nobody can take its place and those that are
    there, to stay, are a majority without it.
    """
    if member in plan.base.in_sync:
        return False
    if member not in plan.base.voters:
        return True
    replaceable = bool(plan.successors()) or _catching_up(plan, plan.base.in_sync)
    staying = {one for one in plan.base.voters if one != member and plan.stays(one)}
    return not replaceable and majority(plan.base.voters, staying)
