"""Simulated clusters, by seed: view changes, leases, slow disks, lost majorities."""

import pytest

from lab.cluster import simulate
from lab.cluster.world import SECOND, World
from lynxscale.relay.cluster.agreement_state import ViewStatus


@pytest.mark.parametrize("block", range(8))
def test_seeded_histories_keep_the_invariants(block):
    for seed in range(block * 5, block * 5 + 5):
        simulate.history(3 + seed % 5, seed, seconds=12)


def formed_cluster(count: int, seed: int) -> World:
    """A simulated cluster of ``count`` started nodes that have agreed on a view."""
    world = World(count, seed)
    for name in world.names:
        world.start(name)
    assert world.run_until_agreed(world.names, 20 * SECOND)
    return world


def test_a_killed_node_leaves_the_view_and_returns_as_a_new_generation():
    for seed in range(5):
        world = formed_cluster(5, seed)
        world.run(world.now + 5 * SECOND)
        world.kill("r3")
        assert world.run_until_agreed(["r1", "r2", "r4", "r5"], 8 * SECOND)
        world.start("r3")
        assert world.run_until_agreed(world.names, 8 * SECOND)
        assert world.machines["r3"].process.core.me.generation == 2


def test_an_acceptor_with_a_slow_disk_does_not_propose_meanwhile():
    """One of three nodes is killed, so both others have to vote, and each write to disk takes 1.1 to 1.3 s."""
    for seed in range(6):
        world = formed_cluster(3, seed)
        world.disk_us = (1_100_000, 1_300_000)
        world.run(world.now + 5 * SECOND)
        world.kill("r1")
        assert world.run_until_agreed(["r2", "r3"], 6.2 * SECOND), f"seed {seed}"


@pytest.mark.parametrize("count", [3, 5])
@pytest.mark.parametrize("sync,within", [(2.1, 9.3), (3.6, 13.0), (10.0, 45.0)])
def test_a_view_is_decided_on_disks_that_take_seconds(count, sync, within):
    """Each write takes that long, and some votes have to wait for another write in flight."""
    for seed in range(6):
        world = formed_cluster(count, seed)
        world.disk_us = (int(sync * 0.9 * SECOND), int(sync * 1.1 * SECOND))
        world.run(world.now + 8 * SECOND)
        world.kill("r1")
        assert world.run_until_agreed(world.names[1:], within * SECOND), f"seed {seed}"


def test_without_a_majority_there_is_no_new_view_and_no_node_acts():
    world = World(5, 3)
    for name in world.names:
        world.start(name)
    assert world.run_until_agreed(world.names, 20 * SECOND)
    number = world.machines["r1"].process.core.agreement.number
    for name in ("r3", "r4", "r5"):
        world.kill(name)
    world.run(world.now + 20 * SECOND)
    for name in ("r1", "r2"):
        core = world.machines[name].process.core
        assert core.agreement.number == number and core.agreement.status is ViewStatus.CUT_OFF
