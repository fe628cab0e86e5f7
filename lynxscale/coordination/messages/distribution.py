"""Messages between relays: topics down the tree, and heartbeats round the ring."""

from __future__ import annotations

import msgspec

from lynxscale.coordination.messages.base import Message


class Version(msgspec.Struct, frozen=True, array_like=True, order=True):
    """Versions of one topic rise by epoch, then by number."""

    epoch: int = 0
    number: int = 0


class Topic(msgspec.Struct, frozen=True):
    """One versioned value that goes down the tree."""

    version: Version
    value: msgspec.Raw


class Attach(Message, frozen=True, tag="attach"):
    """A relay asks a parent for topics newer than its own; repeated, it keeps the place in the tree."""

    sender: str
    zone: str
    have: dict[str, Version]


class TopicUpdate(Message, frozen=True, tag="update"):
    """Topics that the receiver lacks. ``age`` is seconds since the primary vouched for these versions."""

    sender: str
    primary: str
    epoch: int
    age: float
    have: dict[str, Version]
    topics: dict[str, Topic] = {}


class Heartbeat(Message, frozen=True, tag="heartbeat"):
    """A relay tells a monitor on the ring that it runs."""

    sender: str


class Suspicion(Message, frozen=True, tag="suspicion"):
    """A monitor has not heard of the relay for too long."""

    sender: str
    suspect: str
