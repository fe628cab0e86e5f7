"""Views as values, what nodes say to each other about them, and what follows from a view and a step alone.

These types stand in frames and in the file of a node's memory, field by field; msgspec holds them to their ranges.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Annotated, NamedTuple

from msgspec import Meta

from lynxscale.relay.cluster.membership_table import Identity, Name, NoName, Number


class View(NamedTuple):
    """``lineage``: drawn once, when a cluster begins; views of another one have nothing to do with ours. Members in
    the order of their names."""

    number: Number
    lineage: Number
    members: tuple[Identity, ...]

    @property
    def names(self) -> tuple[str, ...]:
        return tuple(member.name for member in self.members)

    def identity_of(self, name: str) -> Identity | None:
        return next((member for member in self.members if member.name == name), None)

    @property
    def digest(self) -> int:
        text = f"{self.number} {self.lineage} " + " ".join(
            f"{member.name}/{member.generation}/{member.boot}" for member in self.members
        )
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest()) >> 1


class MembershipChange(NamedTuple):
    """From one view to the next: ``gone`` by name, ``come`` new or in place of an earlier life. The first has no view
    before it and carries the ``lineage``."""

    removed: Annotated[tuple[Name, ...], Meta(max_length=256)]
    added: Annotated[tuple[Identity, ...], Meta(max_length=256)]
    lineage: Number = 0


class Ballot(NamedTuple):
    """A try to decide; the higher one goes before. No process uses a round twice; ``boot`` tells processes apart."""

    round: Number
    by: NoName
    boot: Number


NO_BALLOT = Ballot(0, "", 0)


class DurableState(NamedTuple):
    """What must not be forgotten. ``mark`` counts what was kept and then said: others remember the highest that they
    have heard, as ``heard`` has it of them. ``votes``: this memory is whole."""

    view: View | None = None
    promised: Ballot = NO_BALLOT
    ballot: Ballot = NO_BALLOT  # of what was accepted
    accepted: MembershipChange | None = None
    write_count: Number = 0
    votes: bool = True
    heard: Annotated[tuple[tuple[Name, Number], ...], Meta(max_length=256)] = ()


# What nodes say -------------------------------------------------------------------------------------


class Prepare(NamedTuple):
    """``step``: what is to be asked for; ``bound``: others have accepted it before, so that it may be decided already
    and cannot be left again."""

    number: Number  # of the view that is to be decided
    base: Number  # digest of the one before; 0 for the first
    round: Number
    change: MembershipChange
    previously_accepted: bool


class Promise(NamedTuple):
    """``wait``: µs until the sender could accept the step that it was asked about."""

    number: Number
    to: Ballot
    ballot: Ballot  # of what has been accepted
    change: MembershipChange | None
    wait: Number


class Accept(NamedTuple):
    """The fields of the ``Prepare`` before it."""

    number: Number
    base: Number
    round: Number
    change: MembershipChange
    previously_accepted: bool


class Accepted(NamedTuple):
    number: Number
    to: Ballot


class Reject(NamedTuple):
    """``why`` is ``lease`` where it may be asked once more; else not for this ballot."""

    number: Number
    to: Ballot
    promised: Number  # round
    reason: Annotated[str, Meta(max_length=20)]


class Decided(NamedTuple):
    number: Number
    base: Number
    change: MembershipChange


class LeaseRequest(NamedTuple):
    number: Number
    digest: Number
    token: Number


class LeaseGrant(NamedTuple):
    number: Number
    token: Number


class LeaseRelease(NamedTuple):
    """Gives up what was granted: the sender acts no more in that life."""

    number: Number


ViewMessage = Prepare | Promise | Accept | Accepted | Reject | Decided | LeaseRequest | LeaseGrant | LeaseRelease


# What follows -----------------------------------------------------------------------------------------


def quorum(view: View, committee: frozenset[str]) -> Callable[[Iterable[str]], bool]:
    """Do these names decide in this view? More than half of its members, and more than half of its committee."""
    members = frozenset(view.names)

    def decides(names: Iterable[str]) -> bool:
        there = members & set(names)
        return 2 * len(there) > len(members) and 2 * len(there & committee) > len(committee)

    return decides


def committee_of(view: View, most: int) -> frozenset[str]:
    """Whom leases are asked of: all, or in a large view as many as ``most`` by the hash of their names."""
    if len(view.members) <= most:
        return frozenset(view.names)
    by_hash = sorted(view.names, key=lambda name: blake2b(f"{view.lineage} {name}".encode(), digest_size=8).digest())
    return frozenset(by_hash[:most])


def after(view: View | None, change: MembershipChange) -> View:
    """The view that a step leads to."""
    if view is None:
        return View(1, change.lineage, tuple(sorted(change.added)))
    left = {member.name: member for member in view.members if member.name not in change.removed}
    left |= {member.name: member for member in change.added}
    return View(view.number + 1, view.lineage, tuple(left[name] for name in sorted(left)))


def removed(view: View | None, change: MembershipChange) -> list[Identity]:
    """The lives that are in the view and not in the one after."""
    if view is None:
        return []
    coming = set(change.added)
    replaced = {member.name for member in change.added}
    return [
        member
        for member in view.members
        if member not in coming and (member.name in change.removed or member.name in replaced)
    ]
