"""What a new version of a list means: pure decisions, in slices, as a list may have tens of thousands of entries.

A version passes the checks (against what other units own), then its number, then the guards. A check that fails rejects
it whole, as nothing in it can be believed. A guard that asks leaves the list in force as it is but for drains, which
can only take work away and pass at once.
"""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass

from lynxscale.relay.conf.lexer import Fault
from lynxscale.relay.upstream.model import SLICE, Candidate, Changes, Entry, Outcome, Shards, Slices, Verdict
from lynxscale.scheduling.events import Lifecycle

REASONS_MOST = 20  # told of one version; the rest is counted


@dataclass(frozen=True, slots=True)
class Guards:
    """What passes without a confirmation. Shares are of what a destination has in force."""

    most_removed: float = 1.0
    last_endpoint: bool = True  # a destination may lose its last one
    most_moved: float = 1.0  # of a destination's weight that changes its endpoint at once
    holds: bool = True  # ask for a confirmation; else reject


@dataclass(frozen=True, slots=True)
class InForce:
    """What is known of a unit: the version in force, None before the first."""

    version: int | None
    digest: str
    entries: Mapping[str, Entry]


NOTHING = InForce(None, "", {})


class Owners:
    """Who owns what, over all units: ids, addresses and destinations."""

    def __init__(self) -> None:
        self.ids = Shards()  # to the unit
        self.addresses = Shards()  # to the unit and the id
        self.destinations: dict[int, str] = {}

    def replace(
        self, unit: str, old: Mapping[str, Entry], new: Mapping[str, Entry], destinations: Collection[int]
    ) -> Slices[None]:
        """A unit's list is another from now on."""
        for place, (id_, entry) in enumerate(old.items()):
            if not place % SLICE:
                yield
            if new.get(id_) is not entry:
                self.ids.drop(id_)
                self.addresses.drop(entry.address)
        for place, (id_, entry) in enumerate(new.items()):
            if not place % SLICE:
                yield
            if old.get(id_) is not entry:
                self.ids.put(id_, unit)
                self.addresses.put(entry.address, (unit, id_))
        for number in [number for number, owner in self.destinations.items() if owner == unit]:
            if number not in destinations:
                del self.destinations[number]
        self.destinations.update(dict.fromkeys(destinations, unit))


def compare(old: Mapping[str, Entry], new: Mapping[str, Entry]) -> Slices[Changes]:
    """What is different."""
    found = Changes()
    for place, (id_, entry) in enumerate(new.items()):
        if not place % SLICE:
            yield
        before = old.get(id_)
        if before is entry or before == entry:
            continue
        if before is None:
            found.added.append(id_)
        elif not entry.same_place(before):
            found.moved.append(id_)
        else:
            if entry.lifecycle != before.lifecycle:
                (found.drained if entry.lifecycle == Lifecycle.DRAINING else found.resumed).append(id_)
            if entry.weight != before.weight:
                found.reweighted.append(id_)
    for place, id_ in enumerate(old):
        if not place % SLICE:
            yield
        if id_ not in new:
            found.gone.append(id_)
    return found


def conflicts(candidate: Candidate, owners: Owners) -> Slices[list[Fault]]:
    """What other units own already."""
    faults, unit = [], candidate.unit
    for number in candidate.destinations:
        owner = owners.destinations.get(number, unit)
        if owner != unit:
            faults.append(Fault(unit, 0, f"destination {number}", f"want it in one file: {owner} has it"))
    for place, entry in enumerate(candidate.entries.values()):
        if not place % SLICE:
            yield
        owner = owners.ids.get(entry.id) or unit
        if owner != unit:
            faults.append(candidate.fault(entry.id, f"want an id of its own: {owner} has it"))
        owner, id_ = owners.addresses.get(entry.address) or (unit, "")
        if owner != unit:
            faults.append(candidate.fault(entry.id, f"want an address of its own: {id_} of {owner} is there"))
    return faults


def guarded(old: Mapping[str, Entry], candidate: Candidate, changes: Changes, guards: Guards) -> Slices[list[Fault]]:
    """What a guard asks about. Drains never count as a removal: they pass at once.

    An endpoint that was draining may go without a question, as nothing is sent there any more.
    """
    ready: dict[int, int] = {}
    weight: dict[int, float] = {}
    for place, entry in enumerate(old.values()):
        if not place % SLICE:
            yield
        if entry.lifecycle == Lifecycle.READY:
            ready[entry.destination] = ready.get(entry.destination, 0) + 1
            weight[entry.destination] = weight.get(entry.destination, 0.0) + entry.weight
    left: dict[int, int] = {}
    for place, entry in enumerate(candidate.entries.values()):
        if not place % SLICE:
            yield
        left[entry.destination] = left.get(entry.destination, 0) + 1
    removed: dict[int, int] = {}
    shifted: dict[int, float] = {}
    for place, id_ in enumerate([*changes.gone, *changes.moved, *changes.reweighted]):
        if not place % SLICE:
            yield
        before, after = old[id_], candidate.entries.get(id_)
        if before.lifecycle != Lifecycle.READY:
            continue
        number = before.destination
        if after is None or not after.same_place(before):
            removed[number] = removed.get(number, 0) + 1
            shifted[number] = shifted.get(number, 0.0) + before.weight
        else:
            shifted[number] = shifted.get(number, 0.0) + abs(after.weight - before.weight)
    faults = []
    for number, count in removed.items():
        if not guards.last_endpoint and not left.get(number):
            faults.append(Fault(candidate.unit, 0, f"destination {number}", "its last endpoint would go"))
        elif count > guards.most_removed * ready[number]:
            faults.append(
                Fault(
                    candidate.unit,
                    0,
                    f"destination {number}",
                    f"{count} of {ready[number]} endpoints would go, most-removed is {guards.most_removed:g}",
                )
            )
    for number, amount in shifted.items():
        if weight[number] and amount > guards.most_moved * weight[number]:
            faults.append(
                Fault(
                    candidate.unit,
                    0,
                    f"destination {number}",
                    f"{amount / weight[number]:.2f} of its weight would move, most-moved is {guards.most_moved:g}",
                )
            )
    return faults


def numbered(before: InForce, candidate: Candidate) -> list[Fault]:
    """What is wrong with a version's generation."""
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


def judge(
    before: InForce, candidate: Candidate, owners: Owners, guards: Guards, approved: Collection[str] = ()
) -> Slices[Verdict]:
    """The verdict on a version. ``approved``: digests that an operator has confirmed."""
    if candidate.digest == before.digest:
        # Drains of a version that was held are in force besides: the file's return takes them back.
        changes = yield from compare(before.entries, candidate.entries)
        return Verdict(
            candidate,
            Outcome.APPLIED if changes else Outcome.SAME,
            changes=changes,
            entries=candidate.entries if changes else dict(before.entries),
        )
    faults = numbered(before, candidate) + (yield from conflicts(candidate, owners))
    if faults:
        return Verdict(candidate, Outcome.REJECTED, _few(faults, candidate.unit), entries=dict(before.entries))
    changes = yield from compare(before.entries, candidate.entries)
    if candidate.digest not in approved:
        asked = yield from guarded(before.entries, candidate, changes, guards)
        if asked:
            outcome = Outcome.HELD if guards.holds else Outcome.REJECTED
            return Verdict(candidate, outcome, _few(asked, candidate.unit), changes, drained(before.entries, changes))
    return Verdict(candidate, Outcome.APPLIED, changes=changes, entries=candidate.entries)


def drained(old: Mapping[str, Entry], changes: Changes) -> dict[str, Entry]:
    """The list in force with a version's drains alone."""
    entries = dict(old)
    for id_ in changes.drained:
        entries[id_] = entries[id_]._replace(lifecycle=Lifecycle.DRAINING)
    return entries


def _few(faults: list[Fault], unit: str) -> list[Fault]:
    if len(faults) <= REASONS_MOST:
        return faults
    return [*faults[:REASONS_MOST], Fault(unit, 0, f"{len(faults) - REASONS_MOST} more", "as these")]
