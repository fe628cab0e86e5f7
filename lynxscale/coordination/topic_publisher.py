"""Publishes a node's topics to its children in the distribution tree; the primary and every relay have a publisher."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from msgspec import UNSET, UnsetType

from lynxscale.coordination.messages import Attach, Topic, TopicUpdate, Version
from lynxscale.coordination.ports import Clock, Network

CHILD_EXPIRES_S = 2.0  # a child that sent no request for this long is dropped
RESEND_AFTER_S = 2.0  # a version that a child has not confirmed for this long is sent again


@dataclass(frozen=True, slots=True)
class SentVersion:
    """The version of a topic that was sent to a child last."""

    version: Version
    sent_at: float


@dataclass(slots=True)
class Child:
    """A relay attached to this node: the versions that it reported and those sent to it, by topic.

    ``request_sent_at``: ``Attach.sent_at`` of its latest request.
    """

    known_versions: dict[str, Version]
    seen_at: float
    request_sent_at: float | UnsetType = UNSET
    sent: dict[str, SentVersion] = field(default_factory=dict)

    def needs(self, name: str, version: Version, now: float) -> bool:
        """Whether to send this version. False while one is unconfirmed: on a slow link it would only queue up."""
        known = self.known_versions.get(name, Version())
        sent = self.sent.get(name)
        unconfirmed = sent is not None and sent.version > known and now - sent.sent_at < RESEND_AFTER_S
        return known < version and not unconfirmed


class Publisher:
    """Keeps the newest version of each topic and sends it to the children.

    Method parameters: ``primary``, in ``epoch``, confirmed this node's versions ``age_s`` seconds ago.
    """

    def __init__(self, address: str, clock: Clock, network: Network) -> None:
        self.address = address
        self.topics: dict[str, Topic] = {}
        self.children: dict[str, Child] = {}
        self._clock = clock
        self._network = network

    def versions(self) -> dict[str, Version]:
        """The version of each topic."""
        return {name: topic.version for name, topic in self.topics.items()}

    def update(self, topics: dict[str, Topic]) -> list[str]:
        """Adopt the topics that are newer than those held, and return their names."""
        newer = [name for name, topic in topics.items() if self._is_newer(name, topic)]
        for name in newer:
            # Copied, as a decoded value is a view that keeps the message alive, with all other topics in it.
            self.topics[name] = Topic(topics[name].version, topics[name].value.copy())
        return newer

    def discard(self, unwanted: Callable[[str], bool]) -> None:
        """Remove the topics whose name is ``unwanted``."""
        self.topics = {name: topic for name, topic in self.topics.items() if not unwanted(name)}

    def on_attach(self, request: Attach, primary: str, epoch: int, age_s: float) -> None:
        """Answer a child with the topics that it lacks. Even an empty answer confirms the child's versions."""
        now = self._clock.now()
        child = self.children.setdefault(request.sender, Child({}, now))
        child.known_versions, child.seen_at = request.known_versions, now
        child.request_sent_at = request.sent_at
        self._send(request.sender, child, primary, epoch, age_s)

    def push(self, primary: str, epoch: int, age_s: float) -> None:
        """Send every child the topics that it lacks, and drop children whose requests have stopped."""
        now = self._clock.now()
        oldest = now - CHILD_EXPIRES_S
        self.children = {address: child for address, child in self.children.items() if child.seen_at >= oldest}
        for address, child in self.children.items():
            if any(child.needs(name, topic.version, now) for name, topic in self.topics.items()):
                self._send(address, child, primary, epoch, age_s)

    def _is_newer(self, name: str, topic: Topic) -> bool:
        own = self.topics.get(name)
        return own is None or own.version < topic.version

    def _send(self, address: str, child: Child, primary: str, epoch: int, age_s: float) -> None:
        now = self._clock.now()
        needed = {name: topic for name, topic in self.topics.items() if child.needs(name, topic.version, now)}
        child.sent |= {name: SentVersion(topic.version, now) for name, topic in needed.items()}
        versions = self.versions()
        update = TopicUpdate(self.address, primary, epoch, age_s, versions, needed, child.request_sent_at)
        self._network.send(address, update)
