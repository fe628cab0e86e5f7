"""The base class of all messages, and structures that several messages contain."""

from __future__ import annotations

import msgspec


def address_of(member: str) -> str:
    """The internal ``host:port`` in a member id."""
    return member.partition("#")[0]


def member_id(address: str, incarnation: str) -> str:
    """Build a member id; a node that lost its disk rejoins with a new incarnation."""
    return f"{address}#{incarnation}"


class Message(msgspec.Struct, frozen=True, tag_field="type"):
    """Base class of all messages; the ``type`` field holds the tag of the subclass."""


class Position(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A position in the sequence of batches: the epoch that made the batch, and its index."""

    epoch: int
    index: int


class EpochRecord(msgspec.Struct, frozen=True):
    """The record that the voters decide for one epoch.

    ``primary``: member id of the primary. ``in_sync``: members whose replicas hold every acknowledged write.
    ``voters``: members that promise and accept; stored and sent as ``witnesses``. ``previous_voters``: the voters of
    the decided record that this one succeeds. Unset in records of programs that did not store them: these count as
    records that changed no voters, as those programs counted them.
    """

    epoch: int
    primary: str
    in_sync: tuple[str, ...]
    voters: tuple[str, ...] = msgspec.field(name="witnesses")
    previous_voters: tuple[str, ...] | msgspec.UnsetType = msgspec.UNSET
