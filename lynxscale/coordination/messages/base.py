"""Base of all messages, and the values that several of them carry."""

from __future__ import annotations

import msgspec


def address_of(member: str) -> str:
    """The internal ``host:port`` of a member."""
    return member.partition("#")[0]


def member_id(address: str, incarnation: str) -> str:
    """The id of a member."""
    return f"{address}#{incarnation}"


class Message(msgspec.Struct, frozen=True, tag_field="type"):
    """Base of all messages."""


class Position(msgspec.Struct, frozen=True, array_like=True, order=True):
    """A place in the sequence of batches: the epoch that made the batch, and its index."""

    epoch: int
    index: int


class EpochRecord(msgspec.Struct, frozen=True):
    """What the voters store: who is primary in an epoch, who holds every acknowledged write, who may vote."""

    epoch: int
    primary: str
    in_sync: tuple[str, ...]
    voters: tuple[str, ...] = msgspec.field(name="witnesses")  # the stored and sent name
