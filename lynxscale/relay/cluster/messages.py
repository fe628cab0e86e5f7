"""Views, membership changes, the messages of view agreement, and pure functions of them.

These types are encoded in frames and in the files of durable state, field by field; msgspec validates their ranges.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from hashlib import blake2b
from typing import Annotated, NamedTuple

from msgspec import Meta

from lynxscale.relay.cluster.membership_table import Identity, Name, Number, OptionalName


class View(NamedTuple):
    """An agreed membership; members are sorted by name. ``lineage`` is drawn at random when a cluster forms; a view of
    another lineage belongs to another cluster."""

    number: Number
    lineage: Number
    members: tuple[Identity, ...]

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the members, sorted."""
        return tuple(member.name for member in self.members)

    def identity_of(self, name: str) -> Identity | None:
        """The member of that name; None if there is none."""
        return next((member for member in self.members if member.name == name), None)

    @property
    def digest(self) -> int:
        """Hash of the complete view, 63 bits."""
        text = f"{self.number} {self.lineage} " + " ".join(
            f"{member.name}/{member.generation}/{member.boot}" for member in self.members
        )
        return int.from_bytes(blake2b(text.encode(), digest_size=8).digest()) >> 1


class MembershipChange(NamedTuple):
    """The difference between a view and the next: nodes ``removed``, and processes ``added``, which are new or replace
    an earlier generation. ``lineage`` is set only in the change that forms the first view."""

    removed: Annotated[tuple[Name, ...], Meta(max_length=256)]
    added: Annotated[tuple[Identity, ...], Meta(max_length=256)]
    lineage: Number = 0


class Ballot(NamedTuple):
    """A Paxos proposal number; the higher one takes precedence. No process uses a round twice, and ``boot``
    distinguishes the processes of a node."""

    round: Number
    by: OptionalName
    boot: Number


NO_BALLOT = Ballot(0, "", 0)


class DurableState(NamedTuple):
    """A node's state on disk. ``write_count`` counts the writes that messages depended on. Each node stores the
    highest count seen from each peer in ``peer_write_counts``; by it, a peer detects that its disk was rolled back.
    ``votes``: the state is complete, and the node may vote."""

    view: View | None = None
    promised: Ballot = NO_BALLOT
    ballot: Ballot = NO_BALLOT  # ballot of the accepted change
    accepted: MembershipChange | None = None
    write_count: Number = 0
    votes: bool = True
    peer_write_counts: Annotated[tuple[tuple[Name, Number], ...], Meta(max_length=256)] = ()


# Messages -------------------------------------------------------------------------------------------


class Prepare(NamedTuple):
    """Paxos phase 1. ``change`` is the change to propose. ``previously_accepted``: some acceptor has accepted it
    before, so it may be decided already and cannot be abandoned."""

    number: Number  # number of the view to be decided
    base: Number  # digest of the view before it; 0 for the first view
    round: Number
    change: MembershipChange
    previously_accepted: bool


class Promise(NamedTuple):
    """Answers ``Prepare``. ``wait``: time (µs) until the leases granted by the sender allow it to accept the change."""

    number: Number
    to: Ballot
    ballot: Ballot  # ballot of the accepted change; NO_BALLOT if there is none
    change: MembershipChange | None
    wait: Number


class Accept(NamedTuple):
    """Paxos phase 2: requests acceptance of the change. Its fields are those of the preceding ``Prepare``."""

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
    """Rejects a ``Prepare`` or ``Accept``. Reason ``lease``: retry later; any other is final for this ballot."""

    number: Number
    to: Ballot
    promised: Number  # round of the promised ballot
    reason: Annotated[str, Meta(max_length=20)]


class Decided(NamedTuple):
    """Announces that a quorum has accepted this change."""

    number: Number
    base: Number
    change: MembershipChange


class LeaseRequest(NamedTuple):
    """Requests a lease in the view of that number and digest; ``token`` identifies the request and thus its time."""

    number: Number
    digest: Number
    token: Number


class LeaseGrant(NamedTuple):
    """Grants the lease that was requested with ``token``."""

    number: Number
    token: Number


class LeaseRelease(NamedTuple):
    """Releases a lease: the sending process no longer acts."""

    number: Number


ViewMessage = Prepare | Promise | Accept | Accepted | Reject | Decided | LeaseRequest | LeaseGrant | LeaseRelease


# Functions of views and changes -----------------------------------------------------------------------


def quorum(view: View, committee: frozenset[str]) -> Callable[[Iterable[str]], bool]:
    """Return a predicate: whether names contain a majority of the view's members and one of its committee."""
    members = frozenset(view.names)

    def is_quorum(names: Iterable[str]) -> bool:
        present = members & set(names)
        return 2 * len(present) > len(members) and 2 * len(present & committee) > len(committee)

    return is_quorum


def committee_of(view: View, max_size: int) -> frozenset[str]:
    """Members that grant leases: all, or in a larger view ``max_size`` of them, selected by the hash of their names."""
    if len(view.members) <= max_size:
        return frozenset(view.names)
    by_hash = sorted(view.names, key=lambda name: blake2b(f"{view.lineage} {name}".encode(), digest_size=8).digest())
    return frozenset(by_hash[:max_size])


def next_view(view: View | None, change: MembershipChange) -> View:
    """The view that results from applying a change."""
    if view is None:
        return View(1, change.lineage, tuple(sorted(change.added)))
    members = {member.name: member for member in view.members if member.name not in change.removed}
    members |= {member.name: member for member in change.added}
    return View(view.number + 1, view.lineage, tuple(members[name] for name in sorted(members)))


def removed_members(view: View | None, change: MembershipChange) -> list[Identity]:
    """Members of the view whose process is not in the next view."""
    if view is None:
        return []
    added = set(change.added)
    replaced = {member.name for member in change.added}
    return [
        member
        for member in view.members
        if member not in added and (member.name in change.removed or member.name in replaced)
    ]
