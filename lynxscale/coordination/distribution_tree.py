"""Distribution of versioned topics from the primary to all relays, down a tree that the relays form themselves.

Every relay computes its parent from the roster, which is itself a topic. A child asks its parent several times a second
for the topics that it lacks; a parent forwards updates immediately. Every answer says how long ago the primary
confirmed the parent's versions, so a child detects a parent that is partitioned from the primary, and then attaches to
the primary directly.

A confirmation counts from when its request was sent, not from when the answer is read: an answer may have waited for a
process that was frozen. It bounds the age of the topics, and proves nothing about the present: the primary may have
acknowledged a newer version since.

::

    state          next           when
    SEEKING        UNDER_PRIMARY  a control member redirects to the primary
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
ATTACH_INTERVAL_S = 0.25  # interval between a child's requests, with up to ``FULL_RATE_RELAYS`` relays
# With more relays the interval grows in proportion to their number, up to ``MAX_INTERVAL_FACTOR`` times.
MAX_INTERVAL_FACTOR, FULL_RATE_RELAYS = 2.8, 32
SEEK_INTERVAL_S = 0.08  # interval between requests while no primary is known
PARENT_TIMEOUT_INTERVALS = 2.4  # attach intervals without an answer after which a relay changes its parent
MAX_AGE_INTERVALS = 4.8  # attach intervals since the last confirmation after which a parent counts as partitioned
ISOLATED_AFTER_INTERVALS = 6.4  # attach intervals since the last confirmation after which a relay is isolated
PRIMARY_FALLBACK_S = 3.0  # how long a relay stays with the primary after its parent failed
NEVER = -1e9  # seconds: earlier than every event


def parent_of(roster: list[RosterEntry], address: str) -> str:
    """The address of a relay's parent; empty for the primary's direct children and for relays not in the roster.

    Each zone has a separate tree: a heap of the relays sorted by address, whose root is a child of the primary. So an
    update crosses into each zone only once.
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
    """A relay's position in the tree.

    ``contacts``: internal addresses of control members that are asked for the primary. ``on_topics(names)`` is called
    with the names of topics that have a newer version.
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
        self._heard_at = clock.now()  # time of the last message from the parent
        self._confirmed_at = NEVER
        self._fallback_until = NEVER
        self._contact_index = 0
        self._relay_count = 0
        clock.call_later(0.0, self._tick)

    @property
    def age_s(self) -> float:
        """An upper bound of the seconds since the primary last confirmed this relay's versions."""
        return self._clock.now() - self._confirmed_at

    @property
    def roster(self) -> list[RosterEntry]:
        """All relays known to this relay."""
        topic = self.publisher.topics.get(ROSTER_TOPIC)
        return msgspec.json.decode(topic.value, type=list[RosterEntry]) if topic else []

    @property
    def isolated(self) -> bool:
        """Whether the primary has not confirmed this relay's versions for too long."""
        return self.age_s > ISOLATED_AFTER_INTERVALS * self._interval_s

    @property
    def _interval_s(self) -> float:
        """Seconds between two requests, longer in a large tier.

        A parent's load grows with the number of its children, not with the size of the tier.
        """
        return ATTACH_INTERVAL_S * min(MAX_INTERVAL_FACTOR, max(1.0, self._relay_count / FULL_RATE_RELAYS))

    # Messages ----------------------------------------------------------------------------------------

    def receive(self, message: Message) -> bool:
        """Handle a message of the distribution tree; False for messages of other types."""
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
            self._confirmed_at = max(self._confirmed_at, self._request_sent_at(message) - message.age_s)
        if ROSTER_TOPIC in newer:
            self._relay_count = len(self.roster)
        if newer:
            self._on_topics(newer)
            self.publisher.push(self.primary, self.epoch, self.age_s)
            self._request_from(message.sender)  # reports the received versions, so that newer ones may be sent
        if self.state is TreeState.SEEKING or newer:
            self._choose_parent()

    def _request_sent_at(self, message: TopicUpdate) -> float:
        """When the request was sent that the update answers; now if the sender does not repeat that."""
        now = self._clock.now()
        return now if message.request_sent_at is msgspec.UNSET else min(now, message.request_sent_at)

    def _confirms_all(self, message: TopicUpdate) -> bool:
        """Whether the sender has no newer version of any topic held here."""
        sender = message.known_versions
        return all(sender.get(name, version) <= version for name, version in self.publisher.versions().items())

    def _on_redirect(self, message: Redirect) -> None:
        if message.epoch >= self.epoch and message.primary:
            changed = message.primary != self.primary
            self.epoch, self.primary = message.epoch, message.primary
            if changed and self.state is not TreeState.UNDER_RELAY:
                self._become(TreeState.UNDER_PRIMARY, self.primary)
                self._attach()

    # Position in the tree ----------------------------------------------------------------------------

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
        """Attach to the parent that the roster gives, or to the primary."""
        parent = parent_of(self.roster, self.address) if self._clock.now() > self._fallback_until else ""
        if parent and parent != self._parent:
            self._become(TreeState.UNDER_RELAY, parent)
        elif not parent and self.primary and self.primary != self._parent:
            self._become(TreeState.UNDER_PRIMARY, self.primary)

    def _become(self, state: TreeState, parent: str) -> None:
        """Change the state and the parent; no other method changes them."""
        self.state, self._parent = state, parent
        self._heard_at = self._clock.now()

    def ask_primary(self) -> None:
        """Ask the primary for topics, besides the parent: it holds newer ones than those received."""
        if self.primary and self.primary != self._parent:
            self._request_from(self.primary)
        self._attach()

    def _attach(self) -> None:
        target = self._parent
        if self.state is TreeState.SEEKING:
            self._contact_index = (self._contact_index + 1) % len(self.contacts)
            target = self.contacts[self._contact_index]
        self._request_from(target)

    def _request_from(self, target: str) -> None:
        versions = self.publisher.versions()
        self._network.send(target, Attach(self.address, self._zone, versions, self._clock.now()))
