"""Recovery of a tier after all of its processes were killed."""

from lab.tier.simulated_tier import HOST
from tests.simulated_tier import settled_tier


def test_the_tier_resumes_after_every_process_was_killed_at_once():
    tier = settled_tier()
    assert tier.turn("p", 1000, request_id="t1", body=b"hello ").complete
    for host in tier.control_hosts:
        tier.kill_control(host, power=True)
    for host in tier.relay_hosts:
        tier.kill_relay(host)
    tier.world.run(tier.world.time + 0.7)
    for host in tier.control_hosts:
        tier.start_control(host)
    for host in tier.relay_hosts:
        tier.start_relay(host)
    started_at = tier.world.time
    assert tier.turn("p", 1000, request_id="t2", previous="t1").status == 200
    assert tier.world.time - started_at < 2.0
    assert HOST in tier.relays[tier.relay_hosts[0]].route_table.routes_by_host
