"""The simulated cluster with the CPU time of its nodes measured, as the cluster's bench uses it."""

from lab.bench_cluster import simulated


def test_a_simulated_cluster_measures_the_cpu_time_of_its_nodes():
    """Guards against an AttributeError: the list of measured methods once named some that no longer exist."""
    world = simulated(3, 1, 0.0, 2, measure=True)
    assert world.cpu_s > 0 and world.bytes > 0
