"""Collective behaviour of a fleet: forty senders with the real module in simulated time, by fixed seeds."""

from dataclasses import replace

import pytest

from lab.fleet import Fleet, Setup

SEEDS = (1, 2, 3)


@pytest.mark.parametrize("seed", SEEDS)
def test_an_overloaded_limit_is_used_and_not_spent_on_refusals(seed):
    fleet = Fleet(seed, [45.0, 110.0], [70.0, 90.0])
    fleet.run(30_000.0)
    accepted, refused = fleet.sums(0, 5, 30)
    assert accepted >= 0.75 * 45 * 25 and refused <= 0.15 * accepted, (seed, accepted, refused)
    accepted, refused = fleet.sums(1, 5, 30)
    assert accepted >= 0.9 * 90 * 25 and refused <= 0.1 * accepted, (seed, accepted, refused)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_limit_that_falls_and_rises_is_followed(seed):
    fleet = Fleet(seed, [110.0], [90.0])
    fleet.run(8000.0)
    fleet.by_number[0].limit = 55.0
    fleet.run(17_000.0)
    fleet.by_number[0].limit = 110.0
    fleet.run(26_000.0)
    low, refused = fleet.sums(0, 11, 17)
    assert low >= 0.8 * 55 * 6 and refused <= 0.15 * low, (seed, low, refused)
    assert fleet.sums(0, 20, 26)[0] >= 0.9 * 90 * 6, seed


@pytest.mark.parametrize("seed", SEEDS)
def test_after_an_outage_a_destination_that_warms_up_is_not_overloaded_and_soon_serves_in_full(seed):
    fleet = Fleet(seed, [110.0], [90.0])
    destination = fleet.by_number[0]
    destination.down = (6000.0, 11_000.0)
    fleet.run(26_000.0)
    for begin in range(11, 20):
        calls = sum(destination.called[s] for s in range(begin, begin + 3))
        capacity = sum(destination.capacity(1000.0 * s) for s in range(begin, begin + 3))
        assert calls <= 2 * capacity, (seed, begin, calls, capacity)
    early = fleet.sums(0, 11, 16)[0]
    assert early >= 0.5 * sum(destination.capacity(1000.0 * s) for s in range(11, 16)), (seed, early)
    assert fleet.sums(0, 21, 26)[0] >= 0.85 * 90 * 5, seed


@pytest.mark.parametrize("seed", SEEDS)
def test_restarts_of_most_senders_do_not_overload_discovery(seed):
    fleet = Fleet(seed, [45.0, 110.0], [30.0, 90.0])
    fleet.run(8000.0)
    fleet.kill(0.7, 2000.0)
    fleet.run(30_000.0)
    request_times = [at for at in fleet.asked if at >= 8000.0]
    assert max(sum(at <= t < at + 1000 for t in request_times) for at in request_times) <= 26, seed
    without_list = [node.me for node in fleet.nodes[:28] if not any(10_000 <= t < 16_000 for t in fleet.told[node.me])]
    assert not without_list, (seed, without_list)


BUNDLING_SETUP = Setup(per_call=20, reports=False, spans=True, slots=7, held=100)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_deployment_of_the_second_kind_serves_bursts_in_few_calls(seed):
    """Three senders, limits of 4 and 12 calls a second, 20 messages a call, no load reports: most messages have to go
    in bundles."""
    fleet = Fleet(seed, [4.0, 12.0], [20.0, 25.0], senders=3, setup=BUNDLING_SETUP)
    for second in range(4, 28, 6):
        fleet.run(second * 1000.0)
        fleet.burst(0, 40)
    fleet.run(40_000.0)
    assert fleet.ends["delivered"] >= 0.9 * (fleet.offered - 60), (seed, fleet.ends, fleet.offered)
    for number in (0, 1):
        accepted, refused = fleet.sums(number, 0, 40)
        assert refused <= 0.35 * accepted, (seed, number, accepted, refused)
    unbundled = Fleet(seed, [4.0, 12.0], [20.0, 25.0], senders=3, setup=replace(BUNDLING_SETUP, per_call=1))
    unbundled.run(40_000.0)
    assert unbundled.ends["delivered"] < 0.6 * unbundled.offered, "delivered too much with one message a call"


def test_the_same_seed_gives_the_same_run():
    def run() -> tuple:
        fleet = Fleet(5, [20.0, 45.0], [25.0, 40.0])
        fleet.burst(0, 40)
        fleet.run(6000.0)
        return fleet.ends, fleet.sums(0, 0, 6), fleet.offered

    assert run() == run()
