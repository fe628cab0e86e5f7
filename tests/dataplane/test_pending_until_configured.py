"""Requests that arrive before the configuration."""

from lab.tier.simulated_tier import SimulatedTier, default_configuration
from lab.tier.world import World


def test_a_request_before_the_first_configuration_is_served_once_that_arrives():
    tier = SimulatedTier(World(3))
    tier.world.run(1.5)
    answer, _ = tier.start_request("/look/1")
    tier.world.run(tier.world.time + 0.1)
    assert tier.push(default_configuration(), 0).status == 200
    assert tier.world.run_until(lambda: answer.ended, 2.0)
    assert answer.status == 200
