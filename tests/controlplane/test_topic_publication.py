"""Topics that the primary publishes to relays: shards of the endpoint list, the configuration and the roster."""

import msgspec
import pytest

from lab.tier.simulated_tier import SimulatedTier, default_configuration
from lab.tier.world import World
from lynxscale.discovery.topics import ENDPOINT_SHARD_PREFIX, shard_count
from tests.simulated_tier import settled_tier


def test_a_long_endpoint_list_is_sharded_and_a_change_costs_one_shard():
    tier = SimulatedTier(World(6)).start_serving()
    template = tier.platform.listed[0]
    for number in range(350):
        tier.platform.listed.append(msgspec.structs.replace(template, id=f"x{number}", address=f"10.9.0.{number}:1"))
    tier.world.run(tier.world.time + 2.0)
    relay = tier.relays[tier.relay_hosts[0]]
    assert len(relay.balancer.states) == 354
    before = dict(relay.tree.publisher.versions())
    assert sum(name.startswith(ENDPOINT_SHARD_PREFIX) for name in before) == shard_count(354) == 4
    del tier.platform.listed[-1]
    tier.world.run(tier.world.time + 2.0)
    assert len(relay.balancer.states) == 353
    changed = [name for name, version in relay.tree.publisher.versions().items() if before.get(name) != version]
    assert len(changed) == 1


def test_a_configuration_reaches_all_relays_within_a_third_of_its_bound():
    tier = settled_tier(relays=12)
    changed = default_configuration(5)
    changed["routes"][0]["path-prefix"] = "/moved/"
    assert tier.push(changed, 1).status == 200
    acknowledged_at = tier.world.time
    assert tier.world.run_until(lambda: all(r.route_table.generation == 5 for r in tier.relays.values()), 2.0)
    assert tier.world.time - acknowledged_at < 2.0 / 3


@pytest.mark.parametrize("relays", [8, 24])
def test_a_lost_relay_is_removed_from_the_roster_and_no_other_is(relays):
    tier = settled_tier(relays=relays)
    tier.world.run(tier.world.time + 2)
    lost = tier.relay_hosts[2]
    tier.kill_relay(lost)
    tier.world.run(tier.world.time + 6)
    listed = [entry.address.partition(":")[0] for entry in tier.primary().publication.roster.entries()]
    assert sorted(listed) == sorted(host for host in tier.relay_hosts if host != lost)
