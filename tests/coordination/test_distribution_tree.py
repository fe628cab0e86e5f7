"""The shape of the distribution tree, and the age of what its nodes know."""

import msgspec
import pytest

from lab.tier.simulated_tier import INTERNAL_PORT
from lab.tier.world import World
from lynxscale.coordination.distribution_tree import FANOUT, Subscriber, parent_of
from lynxscale.coordination.messages import Attach, Message, RosterEntry, Topic, TopicUpdate, Version
from lynxscale.coordination.topic_publisher import Publisher
from tests.simulated_tier import settled_tier


@pytest.mark.parametrize("count", [2, 8, 64, 320])
def test_the_tree_reaches_every_relay(count):
    roster = [RosterEntry(f"10.0.{n // 250}.{n % 250}:1", "z") for n in range(count)]
    addresses = [entry.address for entry in roster]
    children: dict[str, int] = {}
    for address in addresses:
        depth, node = 0, address
        while node := parent_of(roster, node):
            depth += 1
        assert depth <= 5
        children[parent_of(roster, address)] = children.get(parent_of(roster, address), 0) + 1
    assert max(children.values()) <= FANOUT


def test_an_update_crosses_into_each_zone_once():
    """Regression: a single tree across all zones caused nearly half of the traffic between zones."""
    zones = ("a", "b", "c", "d")
    roster = [RosterEntry(f"10.{n % 4}.0.{n}:1", zones[n % 4]) for n in range(59)]
    zone_of = {entry.address: entry.zone for entry in roster}
    parents = {entry.address: parent_of(roster, entry.address) for entry in roster}
    assert sum(not parent for parent in parents.values()) == len(zones)
    assert all(zone_of[child] == zone_of[parent] for child, parent in parents.items() if parent)
    assert parent_of(roster, "10.9.9.9:1") == ""


def test_a_confirmation_that_waited_for_a_frozen_relay_does_not_count_from_when_it_is_read():
    """Regression: a relay that woke took a confirmation of before the freeze for one of now, and was ready."""
    tier = settled_tier()
    host = tier.relay_hosts[0]
    relay = tier.relays[host]
    address = f"{host}:{INTERNAL_PORT}"
    sent_at: list[float] = []
    deliver = tier.world.deliver

    def watch(source: str, target: str, message: Message) -> None:
        if isinstance(message, TopicUpdate) and target == address:
            sent_at.append(tier.world.time)
        deliver(source, target, message)

    tier.world.deliver = watch
    assert tier.world.run_until(lambda: bool(sent_at), 2.0)
    tier.world.machine(address).freeze(5.0)
    tier.world.run(tier.world.time + 5.0001)  # the update is read; answers to later requests take longer
    assert relay.tree.age_s > 4.9 and relay.isolated and not relay.ready


@pytest.mark.parametrize("states_the_time", [True, False])
def test_a_confirmation_counts_from_the_request_that_it_answers_if_the_sender_repeats_its_time(states_the_time):
    world = World(1)
    machine = world.machine("child:1")
    subscriber = Subscriber("child:1", "z", ("a:1",), machine.clock(), machine.network(), lambda names: None)
    world.run(10.0)
    request_sent_at = 7.0 if states_the_time else msgspec.UNSET
    subscriber.receive(TopicUpdate("a:1", "a:1", 1, 0.5, {}, {}, request_sent_at))
    assert subscriber.age_s == pytest.approx(3.5 if states_the_time else 0.5)


def test_a_parent_repeats_the_time_of_the_latest_request_in_every_update():
    machine = World(3).machine("a:1")
    sent: list[TopicUpdate] = []

    class RecordingNetwork:
        def send(self, address: str, message: Message) -> None:
            sent.append(message)

    publisher = Publisher("a:1", machine.clock(), RecordingNetwork())
    publisher.on_attach(Attach("child:1", "z", {}, 3.0), "a:1", 1, 0.0)
    publisher.on_attach(Attach("child:1", "z", {}, 4.0), "a:1", 1, 0.0)
    publisher.update({"config": Topic(Version(0, 1), msgspec.Raw(b"1"))})
    publisher.push("a:1", 1, 0.0)
    assert [update.request_sent_at for update in sent] == [3.0, 4.0, 4.0]
