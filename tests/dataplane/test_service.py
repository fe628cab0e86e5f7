"""What a relay answers by itself."""

from lab.tier.simulated_tier import SimulatedTier
from lab.tier.world import World
from tests.simulated_tier import settled_tier


def test_no_route_is_404_and_no_configuration_is_503_after_a_wait():
    tier = settled_tier()
    assert tier.request("/nowhere/").status == 404
    empty = SimulatedTier(World(2))
    empty.world.run(2.0)
    answer = empty.request("/look/1")
    assert answer.status == 503
    assert float(answer.head.text(b"retry-after")) > 0
