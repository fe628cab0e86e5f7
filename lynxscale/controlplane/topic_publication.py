"""Topics that the primary publishes to relays: the configuration, the endpoint list, the members and the roster.

A topic's version is the primary's epoch and a number that increases within it; the configuration has its own version.
"""

from __future__ import annotations

import logging

import msgspec

from lynxscale.controlplane.newest_configuration import CurrentConfiguration
from lynxscale.coordination.member import ControlMember
from lynxscale.coordination.messages import Topic, Version, address_of
from lynxscale.coordination.ports import Clock
from lynxscale.coordination.relay_roster import ROSTER_TOPIC, Roster
from lynxscale.coordination.topic_publisher import Publisher
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.discovery.topics import (
    CONFIGURATION_TOPIC,
    ENDPOINTS_TOPIC,
    MEMBERS_TOPIC,
    is_stale_shard_topic,
    shard_count,
    shard_endpoints,
)

log = logging.getLogger(__name__)


class TopicPublication:
    """Publishes topics while its member is the primary; all topics are published again after each ``start``."""

    def __init__(self, member: ControlMember, publisher: Publisher, clock: Clock) -> None:
        self._member = member
        self._publisher = publisher
        self._clock = clock
        self.roster = Roster(clock, self._on_roster_change)
        self.endpoints: list[Endpoint] = []
        self._shards: dict[str, list[Endpoint]] = {}
        self._members: tuple[str, ...] = ()
        self._version_numbers: dict[str, int] = {}
        self._roster_changed = False

    def start(self) -> None:
        """Discard everything that this member published earlier; called when it becomes the primary."""
        self._publisher.topics, self._publisher.children = {}, {}
        self.roster = Roster(self._clock, self._on_roster_change)
        self.endpoints, self._shards, self._members = [], {}, ()
        self._version_numbers = {}

    def publish_configuration(self, current: CurrentConfiguration | None) -> None:
        """Publish the configuration in force, if there is one."""
        if current is not None:
            topic = Topic(Version(0, current.generation), msgspec.Raw(current.published))
            self._publisher.update({CONFIGURATION_TOPIC: topic})
        self._push()

    def publish_endpoints(self, endpoints: list[Endpoint]) -> None:
        """Publish the changed shards of the endpoint list."""
        if endpoints == self.endpoints or not self._member.leads():
            return
        log.info("event=endpoints count=%d", len(endpoints))
        self.endpoints = endpoints
        count = shard_count(len(endpoints))
        shards = shard_endpoints(endpoints, count)
        changed: dict[str, object] = {
            topic: shard for topic, shard in shards.items() if self._shards.get(topic) != shard
        }
        if len(shards) != len(self._shards):
            self._publisher.discard(lambda topic: is_stale_shard_topic(topic, count))
            changed[ENDPOINTS_TOPIC] = count
        self._shards = shards
        for topic, value in changed.items():
            self._set_topic(topic, value)
        self._push()

    def publish_membership(self) -> None:
        """Publish the control plane's members and the roster of relays if they have changed."""
        members = tuple(address_of(member) for member in self._member.record.voters)
        if members != self._members:
            self._members = members
            self._set_topic(MEMBERS_TOPIC, members)
            self._push()
        if self._roster_changed:
            self._roster_changed = False
            self._set_topic(ROSTER_TOPIC, self.roster.entries())
            self._push()

    def _on_roster_change(self) -> None:
        self._roster_changed = True

    def _set_topic(self, topic: str, value: object) -> None:
        number = self._version_numbers.get(topic, 0) + 1
        self._version_numbers[topic] = number
        version = Version(self._member.record.epoch, number)
        self._publisher.update({topic: Topic(version, msgspec.Raw(msgspec.json.encode(value)))})

    def _push(self) -> None:
        self._publisher.push(self._publisher.address, self._member.record.epoch, 0.0)
