"""The failure rate of an endpoint."""

import pytest

from lab.tier.world import World
from lynxscale.dataplane.failure_rate import HALF_LIFE_S, NEWEST_WEIGHT, FailureRate


def test_the_rate_follows_the_newest_attempts_and_halves_with_its_half_life():
    world = World(1)
    rate = FailureRate(world.machine("a:1").clock())
    rate.observe(1.0)
    assert rate.current == NEWEST_WEIGHT
    rate.observe(0.0)
    assert rate.current == pytest.approx(NEWEST_WEIGHT * (1 - NEWEST_WEIGHT))
    before = rate.current
    world.run(world.time + HALF_LIFE_S)
    assert rate.current == pytest.approx(before / 2)
