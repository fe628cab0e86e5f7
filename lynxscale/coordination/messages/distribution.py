"""Messages between relays: topics down the distribution tree, and heartbeats around the ring.

``tag`` and ``msgspec.field(name=...)`` hold the names that are sent.
"""

from __future__ import annotations

import msgspec

from lynxscale.coordination.messages.base import Message


class Version(msgspec.Struct, frozen=True, array_like=True, order=True):
    """The version of a topic; versions are ordered by epoch, then by number."""

    epoch: int = 0
    number: int = 0


class Topic(msgspec.Struct, frozen=True):
    """A versioned JSON value that is distributed down the tree."""

    version: Version
    value: msgspec.Raw


class RosterEntry(msgspec.Struct, frozen=True, order=True):
    """One relay in the roster topic: its internal address and its zone."""

    address: str
    zone: str


class Attach(Message, frozen=True, tag="attach"):
    """A relay asks a parent for newer topics. Repeated requests keep the relay attached to that parent.

    ``sent_at``: the time of the sender's monotonic clock in seconds, which the parent's updates repeat.
    """

    sender: str
    zone: str
    known_versions: dict[str, Version] = msgspec.field(name="have")
    sent_at: float | msgspec.UnsetType = msgspec.UNSET


class TopicUpdate(Message, frozen=True, tag="update"):
    """Topics that the receiver lacks. ``age_s``: seconds since the primary confirmed the sender's versions.

    ``request_sent_at``: ``Attach.sent_at`` of the receiver's latest request; unset if that did not state it.
    """

    sender: str
    primary: str
    epoch: int
    age_s: float = msgspec.field(name="age")
    known_versions: dict[str, Version] = msgspec.field(name="have")
    topics: dict[str, Topic] = {}
    request_sent_at: float | msgspec.UnsetType = msgspec.UNSET


class Heartbeat(Message, frozen=True, tag="heartbeat"):
    """A relay reports to a monitor on the ring that it is running."""

    sender: str


class Suspicion(Message, frozen=True, tag="suspicion"):
    """A monitor reports that the heartbeats of a relay are overdue."""

    sender: str
    suspect: str
