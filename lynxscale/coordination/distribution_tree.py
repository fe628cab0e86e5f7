"""Distribution: versioned topics flow from the primary down a tree that the relays build among themselves.

Every relay computes its parent from the roster, itself a topic. A child asks its parent several times a second for
the topics that it lacks; a parent sends updates on at once. Every answer says how long ago the primary confirmed the
parent's versions, so a child detects a parent that is partitioned off, and asks the primary itself.

::

    state          next           when
    SEEKING        UNDER_PRIMARY  a control member names the primary
    UNDER_PRIMARY  UNDER_RELAY    the roster gives a parent
                   SEEKING        the primary does not answer
    UNDER_RELAY    UNDER_PRIMARY  the roster gives no parent, or the parent does not answer or is out of date
"""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

import msgspec

from lynxscale.coordination.messages import Attach, Message, Redirect, RosterEntry, TopicUpdate
from lynxscale.coordination.ports import Clock, Network
from lynxscale.coordination.relay_roster import ROSTER_TOPIC
from lynxscale.coordination.topic_publisher import Publisher

FANOUT = 4
ATTACH_INTERVAL_S = 0.25  # in a small tier
MAX_INTERVAL_FACTOR, FULL_RATE_RELAYS = 2.8, 32  # beyond so many relays each asks up to so many times less often
SEEK_INTERVAL_S = 0.08  # while no primary is known
PARENT_TIMEOUT_INTERVALS = 2.4  # without an answer for so many, another parent is asked
MAX_AGE_INTERVALS = 4.8  # a parent whose versions were confirmed longer ago is partitioned off itself
ISOLATED_AFTER_INTERVALS = 6.4  # without versions that a primary confirmed, a relay is isolated
PRIMARY_FALLBACK_S = 3.0  # after a fault of its parent, a relay stays with the primary so long
NEVER = -1e9  # seconds: a time before all that happens


def parent_of(roster: list[RosterEntry], address: str) -> str:
    """The address of a relay's parent; empty for the primary's own children and for relays not in the roster.

    Each zone has a tree of its own, a heap in the order of addresses, whose root is the primary's child: an update
    crosses into a zone once.
    """
    zone = next((entry.zone for entry in roster if entry.address == address), None)
    tree = sorted(entry.address for entry in roster if entry.zone == zone)
    index = tree.index(address) if address in tree else 0
    return tree[(index - 1) // FANOUT] if index > 0 else ""


class TreeState(Enum):
    """Which node a relay requests topics from."""

    SEEKING = "seeking"
    UNDER_PRIMARY = "under_primary"
    UNDER_RELAY = "under_relay"


class Subscriber:
    """A relay's place in the tree.

    ``contacts``: internal addresses of control members, to ask for the primary. ``on_topics(names)`` is called with the
    topics that have a newer version.
    """

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
        self.state = TreeState.SEEKING
        self.publisher = Publisher(address, clock, network)
        self.primary = ""
        self.epoch = 0
        self.contacts = list(contacts)
        self._zone = zone
        self._clock = clock
        self._network = network
        self._on_topics = on_topics
        self._parent = ""
        self._heard_at = clock.now()  # of the parent
        self._confirmed_at = NEVER
        self._fallback_until = NEVER
        self._next_contact = 0
        self._relay_count = 0
        clock.call_later(0.0, self._tick)

    @property
    def age_s(self) -> float:
        """Seconds since the primary confirmed the versions here."""
        return self._clock.now() - self._confirmed_at

    @property
    def roster(self) -> list[RosterEntry]:
        """All relays, as far as known here."""
        topic = self.publisher.topics.get(ROSTER_TOPIC)
        return msgspec.json.decode(topic.value, type=list[RosterEntry]) if topic else []

    @property
    def isolated(self) -> bool:
        """Whether no primary has confirmed the versions here for too long."""
        return self.age_s > ISOLATED_AFTER_INTERVALS * self._interval_s

    @property
    def _interval_s(self) -> float:
        """Seconds between two requests: a parent's cost grows with its children, not with the tier."""
        return ATTACH_INTERVAL_S * min(MAX_INTERVAL_FACTOR, max(1.0, self._relay_count / FULL_RATE_RELAYS))

    # Messages ----------------------------------------------------------------------------------------

    def receive(self, message: Message) -> bool:
        """Handle a message of the tree; False for messages of other kinds."""
        if isinstance(message, Attach):
            self.publisher.on_attach(message, self.primary, self.epoch, self.age_s)
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
        newer = self.publisher.update(message.topics)
        if self._confirms_all(message):
            self._confirmed_at = max(self._confirmed_at, now - message.age_s)
        if ROSTER_TOPIC in newer:
            self._relay_count = len(self.roster)
        if newer:
            self._on_topics(newer)
            self.publisher.push(self.primary, self.epoch, self.age_s)
            self._acknowledge(message.sender)
        if self.state is TreeState.SEEKING or newer:
            self._choose_parent()

    def _confirms_all(self, message: TopicUpdate) -> bool:
        """Whether the sender has no topic newer than here."""
        sender = message.known_versions
        return all(sender.get(name, version) <= version for name, version in self.publisher.versions().items())

    def _on_redirect(self, message: Redirect) -> None:
        if message.epoch >= self.epoch and message.primary:
            changed = message.primary != self.primary
            self.epoch, self.primary = message.epoch, message.primary
            if changed and self.state is not TreeState.UNDER_RELAY:
                self._become(TreeState.UNDER_PRIMARY, self.primary)
                self._attach()

    # Place in the tree -------------------------------------------------------------------------------

    def _tick(self) -> None:
        interval_s = SEEK_INTERVAL_S if self.state is TreeState.SEEKING else self._interval_s
        self._clock.call_later(interval_s, self._tick)
        now = self._clock.now()
        timed_out = now - self._heard_at > PARENT_TIMEOUT_INTERVALS * self._interval_s
        out_of_date = self.age_s > MAX_AGE_INTERVALS * self._interval_s
        if self.state is TreeState.UNDER_RELAY and (timed_out or out_of_date):
            self._fallback_until = now + PRIMARY_FALLBACK_S
            self._choose_parent()
        elif self.state is TreeState.UNDER_PRIMARY and timed_out:
            self._become(TreeState.SEEKING, "")
        elif self.state is TreeState.UNDER_PRIMARY and now > self._fallback_until:
            self._choose_parent()
        self._attach()

    def _choose_parent(self) -> None:
        """Take the parent that the roster gives, or the primary."""
        parent = parent_of(self.roster, self.address) if self._clock.now() > self._fallback_until else ""
        if parent and parent != self._parent:
            self._become(TreeState.UNDER_RELAY, parent)
        elif not parent and self.primary and self.primary != self._parent:
            self._become(TreeState.UNDER_PRIMARY, self.primary)

    def _become(self, state: TreeState, parent: str) -> None:
        """Change state and parent; no other method does."""
        self.state, self._parent = state, parent
        self._heard_at = self._clock.now()

    def _acknowledge(self, parent: str) -> None:
        """Report at once what was received, so that the newest may follow."""
        self._network.send(parent, Attach(self.address, self._zone, self.publisher.versions()))

    def _attach(self) -> None:
        target = self._parent
        if self.state is TreeState.SEEKING:
            self._next_contact = (self._next_contact + 1) % len(self.contacts)
            target = self.contacts[self._next_contact]
        self._network.send(target, Attach(self.address, self._zone, self.publisher.versions()))
