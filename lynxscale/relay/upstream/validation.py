"""Validates a new version of a list. Pure; it runs in slices because a list may have tens of thousands of endpoints.

The version's generation is checked first, then whether another list owns what it lists, then the guards. A failed check
rejects the complete version, because nothing in it can be trusted. If a guard requires approval, the list in force
stays as it is, except that drains are applied at once: they can only take work away from an endpoint.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from lynxscale.relay.conf.lexer import Fault
from lynxscale.relay.upstream.model import (
    ENTRIES_PER_SLICE,
    CandidateList,
    Endpoint,
    ListChanges,
    ListOutcome,
    ListVerdict,
    ShardedDict,
    SlicedWork,
)
from lynxscale.scheduling.events import Lifecycle

MAX_REASONS = 20  # reported per version; the rest is counted


@dataclass(frozen=True, slots=True)
class Guards:
    """Limits for changes that need no operator's approval. Shares refer to a destination's entries in force."""

    max_removed_share: float = 1.0  # share of the ready endpoints that one version may remove
    may_remove_last_endpoint: bool = True
    max_moved_share: float = 1.0  # share of the weight that one version may move between endpoints
    ask_approval: bool = True  # False: reject the version instead


@dataclass(frozen=True, slots=True)
class ActiveList:
    """The version of a list that is in force; ``version`` is None before the first."""

    version: int | None
    digest: str
    entries: Mapping[str, Endpoint]


NO_ACTIVE_LIST = ActiveList(None, "", {})


class OwnershipIndex:
    """Which list owns which ids, addresses and destinations."""

    def __init__(self) -> None:
        self.ids = ShardedDict()  # owning list by id
        self.addresses = ShardedDict()  # owning list and id by address
        self.destinations: dict[int, str] = {}  # owning list by number

    def replace(
        self, unit: str, old: Mapping[str, Endpoint], new: Mapping[str, Endpoint], destinations: Collection[int]
    ) -> SlicedWork[None]:
        """Replace the endpoints and destinations that a list owns."""
        for index, (id_, entry) in enumerate(old.items()):
            if not index % ENTRIES_PER_SLICE:
                yield
            if new.get(id_) is not entry:
                self.ids.discard(id_)
                self.addresses.discard(entry.address)
        for index, (id_, entry) in enumerate(new.items()):
            if not index % ENTRIES_PER_SLICE:
                yield
            if old.get(id_) is not entry:
                self.ids.put(id_, unit)
                self.addresses.put(entry.address, (unit, id_))
        for number in [number for number, owner in self.destinations.items() if owner == unit]:
            if number not in destinations:
                del self.destinations[number]
        self.destinations.update(dict.fromkeys(destinations, unit))


def compare(old: Mapping[str, Endpoint], new: Mapping[str, Endpoint]) -> SlicedWork[ListChanges]:
    """Return the changes from ``old`` to ``new``."""
    changes = ListChanges()
    for index, (id_, entry) in enumerate(new.items()):
        if not index % ENTRIES_PER_SLICE:
            yield
        before = old.get(id_)
        if before is entry or before == entry:
            continue
        if before is None:
            changes.added.append(id_)
        elif not entry.same_endpoint(before):
            changes.moved.append(id_)
        else:
            if entry.lifecycle != before.lifecycle:
                (changes.drained if entry.lifecycle == Lifecycle.DRAINING else changes.resumed).append(id_)
            if entry.weight != before.weight:
                changes.reweighted.append(id_)
    for index, id_ in enumerate(old):
        if not index % ENTRIES_PER_SLICE:
            yield
        if id_ not in new:
            changes.gone.append(id_)
    return changes


def ownership_conflicts(candidate: CandidateList, owners: OwnershipIndex) -> SlicedWork[list[Fault]]:
    """Return a fault for each destination, id and address of a version that another list owns."""
    faults, unit = [], candidate.unit
    for number in candidate.destinations:
        owner = owners.destinations.get(number, unit)
        if owner != unit:
            faults.append(Fault(unit, 0, f"destination {number}", f"want it in one file: {owner} has it"))
    for index, entry in enumerate(candidate.entries.values()):
        if not index % ENTRIES_PER_SLICE:
            yield
        owner = owners.ids.get(entry.id) or unit
        if owner != unit:
            faults.append(candidate.fault(entry.id, f"want an id of its own: {owner} has it"))
        owner, id_ = owners.addresses.get(entry.address) or (unit, "")
        if owner != unit:
            faults.append(candidate.fault(entry.id, f"want an address of its own: {id_} of {owner} is there"))
    return faults


def guard_faults(
    old: Mapping[str, Endpoint], candidate: CandidateList, changes: ListChanges, guards: Guards
) -> SlicedWork[list[Fault]]:
    """Return the changes that need approval. Drains do not count as removals: they are applied at once.

    A draining endpoint may be removed without approval, because nothing is sent to it any more.
    """
    ready, weight = yield from _ready_totals(old.values())
    remaining: Counter[int] = Counter()
    for index, entry in enumerate(candidate.entries.values()):
        if not index % ENTRIES_PER_SLICE:
            yield
        remaining[entry.destination] += 1
    removed, moved_weight = yield from _removed_and_moved(old, candidate, changes)
    faults = []
    for number, count in removed.items():
        if not guards.may_remove_last_endpoint and not remaining.get(number):
            faults.append(Fault(candidate.unit, 0, f"destination {number}", "its last endpoint would go"))
        elif count > guards.max_removed_share * ready[number]:
            text = f"{count} of {ready[number]} endpoints would go, most-removed is {guards.max_removed_share:g}"
            faults.append(Fault(candidate.unit, 0, f"destination {number}", text))
    for number, amount in moved_weight.items():
        if weight[number] and amount > guards.max_moved_share * weight[number]:
            share = amount / weight[number]
            text = f"{share:.2f} of its weight would move, most-moved is {guards.max_moved_share:g}"
            faults.append(Fault(candidate.unit, 0, f"destination {number}", text))
    return faults


def _ready_totals(entries: Iterable[Endpoint]) -> SlicedWork[tuple[dict[int, int], dict[int, float]]]:
    """The number of ready endpoints and their total weight, each by destination."""
    ready: dict[int, int] = {}
    weight: dict[int, float] = {}
    for index, entry in enumerate(entries):
        if not index % ENTRIES_PER_SLICE:
            yield
        if entry.lifecycle == Lifecycle.READY:
            ready[entry.destination] = ready.get(entry.destination, 0) + 1
            weight[entry.destination] = weight.get(entry.destination, 0.0) + entry.weight
    return ready, weight


def _removed_and_moved(
    old: Mapping[str, Endpoint], candidate: CandidateList, changes: ListChanges
) -> SlicedWork[tuple[dict[int, int], dict[int, float]]]:
    """How many ready endpoints a version removes and how much weight it moves, each by destination."""
    removed: dict[int, int] = {}
    moved_weight: dict[int, float] = {}
    for index, id_ in enumerate([*changes.gone, *changes.moved, *changes.reweighted]):
        if not index % ENTRIES_PER_SLICE:
            yield
        before, after = old[id_], candidate.entries.get(id_)
        if before.lifecycle != Lifecycle.READY:
            continue
        number = before.destination
        if after is None or not after.same_endpoint(before):
            removed[number] = removed.get(number, 0) + 1
            moved_weight[number] = moved_weight.get(number, 0.0) + before.weight
        else:
            moved_weight[number] = moved_weight.get(number, 0.0) + abs(after.weight - before.weight)
    return removed, moved_weight


def generation_faults(before: ActiveList, candidate: CandidateList) -> list[Fault]:
    """Return what is wrong with the generation of a version."""
    if before.version is None or candidate.version > before.version:
        return []
    if candidate.version < before.version:
        return [
            Fault(
                candidate.unit,
                0,
                f"generation {candidate.version}",
                f"want one above {before.version}, which is in force",
            )
        ]
    return [
        Fault(candidate.unit, 0, f"generation {candidate.version}", "want a new one: other bytes are in force under it")
    ]


def evaluate(
    before: ActiveList, candidate: CandidateList, owners: OwnershipIndex, guards: Guards, approved: Collection[str] = ()
) -> SlicedWork[ListVerdict]:
    """Return the verdict on a version. ``approved``: digests that an operator has approved."""
    if candidate.digest == before.digest:
        # The file went back to the version in force. Drains of a version that awaited approval are reverted.
        changes = yield from compare(before.entries, candidate.entries)
        return ListVerdict(
            candidate,
            ListOutcome.APPLIED if changes else ListOutcome.SAME,
            changes=changes,
            entries=candidate.entries if changes else dict(before.entries),
        )
    faults = generation_faults(before, candidate) + (yield from ownership_conflicts(candidate, owners))
    if faults:
        return ListVerdict(
            candidate, ListOutcome.REJECTED, _truncated(faults, candidate.unit), entries=dict(before.entries)
        )
    changes = yield from compare(before.entries, candidate.entries)
    if candidate.digest not in approved:
        guard_reasons = yield from guard_faults(before.entries, candidate, changes, guards)
        if guard_reasons:
            outcome = ListOutcome.AWAITING_APPROVAL if guards.ask_approval else ListOutcome.REJECTED
            return ListVerdict(
                candidate,
                outcome,
                _truncated(guard_reasons, candidate.unit),
                changes,
                with_drains(before.entries, changes),
            )
    return ListVerdict(candidate, ListOutcome.APPLIED, changes=changes, entries=candidate.entries)


def with_drains(old: Mapping[str, Endpoint], changes: ListChanges) -> dict[str, Endpoint]:
    """The list in force with only the drains of a version applied."""
    entries = dict(old)
    for id_ in changes.drained:
        entries[id_] = entries[id_]._replace(lifecycle=Lifecycle.DRAINING)
    return entries


def _truncated(faults: list[Fault], unit: str) -> list[Fault]:
    if len(faults) <= MAX_REASONS:
        return faults
    return [*faults[:MAX_REASONS], Fault(unit, 0, f"{len(faults) - MAX_REASONS} more", "as these")]
