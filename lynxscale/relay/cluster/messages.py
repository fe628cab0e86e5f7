"""Views as values, the messages of view agreement, and what follows from a view and a change alone.

These types stand in frames and in the file of a node's memory, field by field; msgspec holds them to their ranges.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Annotated, NamedTuple

from msgspec import Meta

from lynxscale.relay.cluster.membership_table import Identity, Name, NoName, Number


class View(NamedTuple):
    """An agreed membership. ``lineage``: drawn at random when a cluster forms; views of another lineage are foreign.
    Members in the order of their names."""

    number: Number
    lineage: Number
    members: tuple[Identity, ...]

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the members, sorted."""
        return tuple(member.name for member in self.members)

    def identity_of(self, name: str) -> Identity | None:
        """The member of that name; None where there is none."""
        return next((member for member in self.members if member.name == name), None)

    @property
    def digest(self) -> int:
        """63 bits of a hash of the whole view."""
        text = f"{self.number} {self.lineage} " + " ".join(
            f"{member.name}/{member.generation}/{member.boot}" for member in self.members
        )
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest()) >> 1


class MembershipChange(NamedTuple):
    """From one view to the next: ``removed`` by name, ``added`` new or in place of an earlier generation. The first
    view has none before it and its change carries the ``lineage``."""

    removed: Annotated[tuple[Name, ...], Meta(max_length=256)]
    added: Annotated[tuple[Identity, ...], Meta(max_length=256)]
    lineage: Number = 0


class Ballot(NamedTuple):
    """A Paxos proposal number; the higher one takes precedence. No process uses a round twice; ``boot`` separates
    processes."""

    round: Number
    by: NoName
    boot: Number


NO_BALLOT = Ballot(0, "", 0)


class DurableState(NamedTuple):
    """A node's state on disk. ``write_count`` counts the writes that messages depended on: others remember the highest
    that they have seen, as ``peer_write_counts`` has it of them, so that a rolled-back disk is noticed. ``votes``: the
    state is complete, and the node may vote."""

    view: View | None = None
    promised: Ballot = NO_BALLOT
    ballot: Ballot = NO_BALLOT  # of what was accepted
    accepted: MembershipChange | None = None
    write_count: Number = 0
    votes: bool = True
    peer_write_counts: Annotated[tuple[tuple[Name, Number], ...], Meta(max_length=256)] = ()


# What nodes say -------------------------------------------------------------------------------------


class Prepare(NamedTuple):
    """Paxos phase 1. ``change``: to be proposed; ``previously_accepted``: some acceptor has accepted it, so that it may
    be decided already and cannot be abandoned."""

    number: Number  # of the view that is to be decided
    base: Number  # digest of the one before; 0 for the first
    round: Number
    change: MembershipChange
    previously_accepted: bool


class Promise(NamedTuple):
    """``wait``: µs until the sender could accept the change, because of leases it granted."""

    number: Number
    to: Ballot
    ballot: Ballot  # of what has been accepted
    change: MembershipChange | None
    wait: Number


class Accept(NamedTuple):
    """Paxos phase 2: the fields of the ``Prepare`` before it."""

    number: Number
    base: Number
    round: Number
    change: MembershipChange
    previously_accepted: bool


class Accepted(NamedTuple):
    """The sender has accepted the change of that ballot."""

    number: Number
    to: Ballot


class Reject(NamedTuple):
    """``reason`` ``lease``: the sender may be asked again; any other is final for this ballot."""

    number: Number
    to: Ballot
    promised: Number  # round
    reason: Annotated[str, Meta(max_length=20)]


class Decided(NamedTuple):
    """A quorum has accepted this change."""

    number: Number
    base: Number
    change: MembershipChange


class LeaseRequest(NamedTuple):
    """Asks for a lease in the view of that number and digest; ``token`` identifies the time of asking."""

    number: Number
    digest: Number
    token: Number


class LeaseGrant(NamedTuple):
    """Grants the lease that was asked for under ``token``."""

    number: Number
    token: Number


class LeaseRelease(NamedTuple):
    """Gives up a lease: the sender's process acts no more."""

    number: Number


ViewMessage = Prepare | Promise | Accept | Accepted | Reject | Decided | LeaseRequest | LeaseGrant | LeaseRelease


# What follows -----------------------------------------------------------------------------------------


def quorum(view: View, committee: frozenset[str]) -> Callable[[Iterable[str]], bool]:
    """A predicate: do these names decide in this view? More than half of its members and of its committee."""
    members = frozenset(view.names)

    def decides(names: Iterable[str]) -> bool:
        there = members & set(names)
        return 2 * len(there) > len(members) and 2 * len(there & committee) > len(committee)

    return decides


def committee_of(view: View, most: int) -> frozenset[str]:
    """Members that grant leases: all, or in a large view ``most`` of them by the hash of their names."""
    if len(view.members) <= most:
        return frozenset(view.names)
    by_hash = sorted(view.names, key=lambda name: blake2b(f"{view.lineage} {name}".encode(), digest_size=8).digest())
    return frozenset(by_hash[:most])


def after(view: View | None, change: MembershipChange) -> View:
    """The view that a change leads to."""
    if view is None:
        return View(1, change.lineage, tuple(sorted(change.added)))
    left = {member.name: member for member in view.members if member.name not in change.removed}
    left |= {member.name: member for member in change.added}
    return View(view.number + 1, view.lineage, tuple(left[name] for name in sorted(left)))


def removed(view: View | None, change: MembershipChange) -> list[Identity]:
    """Members (as processes) of the view that are not in the next one."""
    if view is None:
        return []
    coming = set(change.added)
    replaced = {member.name for member in change.added}
    return [
        member
        for member in view.members
        if member not in coming and (member.name in change.removed or member.name in replaced)
    ]
