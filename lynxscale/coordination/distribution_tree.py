"""Distribution: versioned topics flow from the primary down a tree that the relays build among themselves.

Every relay computes its parent from the roster, itself a topic. A child asks its parent several times a second for
what it lacks; a parent sends news on at once. Every answer tells how long ago the primary vouched for the versions,
so a child notices a parent that is cut off, and asks the primary itself.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from lynxscale.coordination.messages import Attach, Message, Redirect, Topic, TopicUpdate, Version
from lynxscale.coordination.ports import Clock, Network

FANOUT = 4
ATTACH_EVERY_S = 0.25  # in a small tier
MOST_STRETCH, STRETCH_BEYOND = 2.8, 32  # beyond so many relays each asks up to so many times less often
SEEK_EVERY_S = 0.08  # while no primary is known
CHILD_EXPIRES_S = 2.0
RESEND_AFTER_S = 2.0  # what a child has not confirmed
SILENT_INTERVALS = 2.4  # without an answer for so many, another parent is asked
OLDEST_INTERVALS = 4.8  # a parent whose versions were vouched for longer ago is cut off itself
ALONE_INTERVALS = 6.4  # without a word that a primary vouched for, a relay is alone
ROOT_FOR_S = 3.0  # after trouble with its place in the tree, a relay stays with the primary so long
ROSTER = "roster"


class RosterEntry(msgspec.Struct, frozen=True, order=True):
    """One relay of the roster."""

    address: str
    zone: str


def parent_of(roster: list[RosterEntry], address: str) -> str:
    """The parent's address by the place in the roster; empty for the primary's own children and unknown relays.

    Each zone has a tree of its own, whose root is the primary's child: news crosses into a zone once.
    """
    zone = next((entry.zone for entry in roster if entry.address == address), None)
    places = sorted(entry.address for entry in roster if entry.zone == zone)
    place = places.index(address) if address in places else 0
    return places[(place - 1) // FANOUT] if place > 0 else ""


@dataclass(frozen=True, slots=True)
class Sent:
    """A version that is on its way."""

    version: Version
    at: float


@dataclass(slots=True)
class Child:
    """A relay below this node: what it told that it has, and what was sent since."""

    have: dict[str, Version]
    seen_at: float
    sent: dict[str, Sent] = field(default_factory=dict)

    def wants(self, name: str, version: Version, now: float) -> bool:
        """Is it to be sent this version? Not while it has yet to confirm an earlier one: that would queue up behind."""
        have = self.have.get(name, Version())
        sent = self.sent.get(name)
        unconfirmed = sent is not None and sent.version > have and now - sent.at < RESEND_AFTER_S
        return have < version and not unconfirmed


class Publisher:
    """The topics of a node, and the children that want them. The primary and each relay have one."""

    def __init__(self, address: str, clock: Clock, network: Network) -> None:
        self.address = address
        self.topics: dict[str, Topic] = {}
        self.children: dict[str, Child] = {}
        self._clock = clock
        self._network = network

    def versions(self) -> dict[str, Version]:
        """The version of each topic."""
        return {name: topic.version for name, topic in self.topics.items()}

    def take(self, topics: dict[str, Topic]) -> list[str]:
        """Keep what is newer than the own version; the names of these topics."""
        newer = [name for name, topic in topics.items() if self._is_newer(name, topic)]
        for name in newer:
            self.topics[name] = topics[name]
        return newer

    def drop(self, unwanted: Callable[[str], bool]) -> None:
        """Forget topics by name."""
        self.topics = {name: topic for name, topic in self.topics.items() if not unwanted(name)}

    def attach(self, request: Attach, primary: str, epoch: int, age: float) -> None:
        """Answer a child."""
        now = self._clock.now()
        child = self.children.setdefault(request.sender, Child({}, now))
        child.have, child.seen_at = request.have, now
        self._send(request.sender, child, primary, epoch, age)

    def push(self, primary: str, epoch: int, age: float) -> None:
        """Send every child what it lacks, and forget children that ask no more."""
        now = self._clock.now()
        oldest = now - CHILD_EXPIRES_S
        self.children = {one: child for one, child in self.children.items() if child.seen_at >= oldest}
        for one, child in self.children.items():
            if any(child.wants(name, topic.version, now) for name, topic in self.topics.items()):
                self._send(one, child, primary, epoch, age)

    def _is_newer(self, name: str, topic: Topic) -> bool:
        own = self.topics.get(name)
        return own is None or own.version < topic.version

    def _send(self, address: str, child: Child, primary: str, epoch: int, age: float) -> None:
        now = self._clock.now()
        lacking = {name: topic for name, topic in self.topics.items() if child.wants(name, topic.version, now)}
        child.sent |= {name: Sent(topic.version, now) for name, topic in lacking.items()}
        self._network.send(address, TopicUpdate(self.address, primary, epoch, age, self.versions(), lacking))


class Place(Enum):
    """Where a relay stands in the tree."""

    SEEKING = "seeking"
    UNDER_PRIMARY = "under_primary"
    UNDER_RELAY = "under_relay"


class Subscriber:
    """A relay's place in the tree. ``contacts``: internal addresses of control members, to ask for the primary."""

    def __init__(
        self,
        address: str,
        zone: str,
        contacts: tuple[str, ...],
        clock: Clock,
        network: Network,
        on_topics: Callable[[list[str]], None],
    ) -> None:
        self.address = address
        self.place = Place.SEEKING
        self.publisher = Publisher(address, clock, network)
        self.primary = ""
        self.epoch = 0
        self.contacts = list(contacts)
        self._zone = zone
        self._clock = clock
        self._network = network
        self._on_topics = on_topics
        self._parent = ""
        self._heard_at = clock.now()
        self._vouched_at = -1e9
        self._root_until = -1e9
        self._next_contact = 0
        self._relays = 0
        clock.call_later(0.0, self._tick)

    @property
    def age(self) -> float:
        """Seconds since the primary vouched for the versions held here."""
        return self._clock.now() - self._vouched_at

    @property
    def roster(self) -> list[RosterEntry]:
        """All relays, as far as known here."""
        topic = self.publisher.topics.get(ROSTER)
        return msgspec.json.decode(topic.value, type=list[RosterEntry]) if topic else []

    @property
    def alone(self) -> bool:
        """Has no primary vouched for what is held here for long?"""
        return self.age > ALONE_INTERVALS * self._interval

    @property
    def _interval(self) -> float:
        """Seconds between two questions: a parent's cost grows with its children, not with the tier."""
        return ATTACH_EVERY_S * min(MOST_STRETCH, max(1.0, self._relays / STRETCH_BEYOND))

    def receive(self, message: Message) -> bool:
        """Handle a message of the tree; False where it is of another kind."""
        if isinstance(message, Attach):
            self.publisher.attach(message, self.primary, self.epoch, self.age)
        elif isinstance(message, TopicUpdate):
            self._on_update(message)
        elif isinstance(message, Redirect):
            self._on_redirect(message)
        else:
            return False
        return True

    def _on_update(self, message: TopicUpdate) -> None:
        now = self._clock.now()
        if message.epoch >= self.epoch:
            self.epoch = message.epoch
            self.primary = message.primary or self.primary
        if message.sender == self._parent:
            self._heard_at = now
        newer = self.publisher.take(message.topics)
        if all(message.have.get(name, version) <= version for name, version in self.publisher.versions().items()):
            self._vouched_at = max(self._vouched_at, now - message.age)
        if ROSTER in newer:
            self._relays = len(self.roster)
        if newer:
            self._on_topics(newer)
            self.publisher.push(self.primary, self.epoch, self.age)
            self._confirm(message.sender)
        if self.place is Place.SEEKING or newer:
            self._settle()

    def _on_redirect(self, message: Redirect) -> None:
        if message.epoch >= self.epoch and message.primary:
            moved = message.primary != self.primary
            self.epoch, self.primary = message.epoch, message.primary
            if moved and self.place is not Place.UNDER_RELAY:
                self._move(Place.UNDER_PRIMARY, self.primary)
                self._attach()

    def _tick(self) -> None:
        every = SEEK_EVERY_S if self.place is Place.SEEKING else self._interval
        self._clock.call_later(every, self._tick)
        now = self._clock.now()
        silent = now - self._heard_at > SILENT_INTERVALS * self._interval
        if self.place is Place.UNDER_RELAY and (silent or self.age > OLDEST_INTERVALS * self._interval):
            self._root_until = now + ROOT_FOR_S
            self._settle()
        elif self.place is Place.UNDER_PRIMARY and silent:
            self._move(Place.SEEKING, "")
        elif self.place is Place.UNDER_PRIMARY and now > self._root_until:
            self._settle()
        self._attach()

    def _settle(self) -> None:
        """Take the place that the roster gives."""
        parent = parent_of(self.roster, self.address) if self._clock.now() > self._root_until else ""
        if parent and parent != self._parent:
            self._move(Place.UNDER_RELAY, parent)
        elif not parent and self.primary and self.primary != self._parent:
            self._move(Place.UNDER_PRIMARY, self.primary)

    def _move(self, place: Place, parent: str) -> None:
        """The one change of place."""
        self.place, self._parent = place, parent
        self._heard_at = self._clock.now()

    def _confirm(self, parent: str) -> None:
        """Tell at once what has come, so that the newest may follow."""
        self._network.send(parent, Attach(self.address, self._zone, self.publisher.versions()))

    def _attach(self) -> None:
        target = self._parent
        if self.place is Place.SEEKING:
            self._next_contact = (self._next_contact + 1) % len(self.contacts)
            target = self.contacts[self._next_contact]
        self._network.send(target, Attach(self.address, self._zone, self.publisher.versions()))
