"""The topics of a node and the children that it sends them to. The primary and each relay have a publisher."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from lynxscale.coordination.messages import Attach, Topic, TopicUpdate, Version
from lynxscale.coordination.ports import Clock, Network

CHILD_EXPIRES_S = 2.0  # a child without a request for so long is dropped
RESEND_AFTER_S = 2.0  # a version that a child has not confirmed for so long is sent again


@dataclass(frozen=True, slots=True)
class SentVersion:
    """A version in flight to a child."""

    version: Version
    sent_at: float


@dataclass(slots=True)
class Child:
    """A relay below this node: the versions that it reported, and those sent since, by topic."""

    known_versions: dict[str, Version]
    seen_at: float
    sent: dict[str, SentVersion] = field(default_factory=dict)

    def needs(self, name: str, version: Version, now: float) -> bool:
        """Whether to send this version: not while an earlier one is unconfirmed, as it would queue up behind that."""
        known = self.known_versions.get(name, Version())
        sent = self.sent.get(name)
        unconfirmed = sent is not None and sent.version > known and now - sent.sent_at < RESEND_AFTER_S
        return known < version and not unconfirmed


class Publisher:
    """Keeps the newest version of each topic and sends it to the children.

    Parameters of its methods: ``primary`` confirmed the versions here in ``epoch``, ``age_s`` seconds ago.
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
        """Adopt the topics that are newer than the own versions, and return their names."""
        newer = [name for name, topic in topics.items() if self._is_newer(name, topic)]
        for name in newer:
            self.topics[name] = topics[name]
        return newer

    def discard(self, unwanted: Callable[[str], bool]) -> None:
        """Forget topics by name."""
        self.topics = {name: topic for name, topic in self.topics.items() if not unwanted(name)}

    def on_attach(self, request: Attach, primary: str, epoch: int, age_s: float) -> None:
        """Answer a child with what it lacks, perhaps nothing: the answer also confirms its versions."""
        now = self._clock.now()
        child = self.children.setdefault(request.sender, Child({}, now))
        child.known_versions, child.seen_at = request.known_versions, now
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
        self._network.send(address, TopicUpdate(self.address, primary, epoch, age_s, self.versions(), needed))
