"""Which members should vote and which copies should be waited for, from what the primary hears of them."""

from __future__ import annotations

from dataclasses import dataclass

from lynxscale.coordination.messages import EpochRecord, address_of

FOUNDERS = 3


@dataclass(slots=True)
class PeerView:
    """What the primary hears of another member."""

    heard_at: float = -1e9
    node: str = ""
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class PlanInput:
    """All that a plan depends on. ``lagging``: members that hold up writes, although they may be heard of."""

    base: EpochRecord
    me: str
    now: float
    silent_after: float
    tolerated: int
    peers: dict[str, PeerView]
    caught_up: set[str]
    lagging: set[str]
    retiring: set[str]

    def present(self, member: str) -> bool:
        """Is the member there, to stay?"""
        if member == self.me:
            return True
        peer = self.peers.get(member)
        return peer is not None and not peer.leaving and self.now - peer.heard_at < self.silent_after

    @property
    def voters_wanted(self) -> int:
        """Enough that the tolerated losses leave a majority."""
        return max(FOUNDERS, 2 * self.tolerated + 1)


def plan_record(plan: PlanInput, epoch: int) -> EpochRecord:
    """The record that the primary wants next; equal to the base but for the epoch where nothing is to change."""
    witnesses = _plan_witnesses(plan)
    in_sync = _plan_in_sync(plan, witnesses)
    return EpochRecord(epoch, plan.me, in_sync, witnesses)


def _plan_witnesses(plan: PlanInput) -> tuple[str, ...]:
    witnesses = list(plan.base.witnesses)
    free = [one for one in sorted(plan.peers) if one not in witnesses and plan.present(one)]
    free = [one for one in free if one not in plan.retiring]
    for newcomer in list(free):
        # The same address with another incarnation: the earlier one has lost its disk.
        for place, one in enumerate(witnesses):
            if one != plan.me and address_of(one) == address_of(newcomer) and not plan.present(one):
                witnesses[place] = newcomer
                free.remove(newcomer)
                break
    for place, one in enumerate(witnesses):
        replaceable = one != plan.me and (not plan.present(one) or one in plan.retiring)
        if replaceable and free:
            witnesses[place] = free.pop(0)
    while free and len(witnesses) < plan.voters_wanted:
        witnesses.append(free.pop(0))
    for one in [one for one in witnesses if one in plan.retiring and one != plan.me]:
        if len(witnesses) > plan.voters_wanted:
            witnesses.remove(one)
    return tuple(witnesses)


def _plan_in_sync(plan: PlanInput, witnesses: tuple[str, ...]) -> tuple[str, ...]:
    """Caught-up voters join; who is silent or gone leaves, as long as enough copies remain."""
    in_sync = list(plan.base.in_sync)
    for one in witnesses:
        if one not in in_sync and one in plan.caught_up and plan.present(one):
            in_sync.append(one)
    for one in [one for one in in_sync if one != plan.me]:
        leaving = one not in witnesses or one in plan.lagging or not plan.present(one)
        if leaving and len(in_sync) > plan.tolerated + 1:
            in_sync.remove(one)
    return tuple(in_sync)
