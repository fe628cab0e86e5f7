"""Distribution of the configuration to relays that are restarted or lose their parent in the tree."""

from lab.tier.simulated_tier import INTERNAL_PORT, default_configuration
from tests.simulated_tier import settled_tier


def test_a_restarted_relay_never_serves_an_older_configuration():
    tier = settled_tier(relays=6)
    assert tier.push(default_configuration(7), 1).status == 200
    tier.world.run(tier.world.time + 1)
    for host in tier.relay_hosts:
        tier.kill_relay(host)
        relay = tier.start_relay(host)
        assert tier.world.run_until(lambda started=relay: started.ready, 3.0)
        assert relay.route_table.generation == 7


def test_a_relay_whose_parent_is_lost_gets_a_configuration_in_time():
    tier = settled_tier(relays=12)
    tier.world.run(tier.world.time + 2)
    parents = {relay.tree._parent for relay in tier.relays.values()}
    hosts_with_children = [host for host in tier.relay_hosts if f"{host}:{INTERNAL_PORT}" in parents]
    assert hosts_with_children, "no relay has children"
    tier.kill_relay(hosts_with_children[0])
    assert tier.push(default_configuration(4), 1).status == 200
    assert tier.world.run_until(lambda: all(r.route_table.generation == 4 for r in tier.relays.values()), 2.0)
