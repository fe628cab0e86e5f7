"""What forty senders do together that none of them does alone: the real module in simulated time, by fixed seeds."""

import pytest

from lab.fleet import Fleet

SEEDS = (1, 2, 3)


@pytest.mark.parametrize("seed", SEEDS)
def test_an_overloaded_limit_is_used_and_not_used_up_by_refusals(seed):
    fleet = Fleet(seed, [45.0, 110.0], [70.0, 90.0])
    fleet.run(30_000.0)
    taken, refused = fleet.sums(0, 5, 30)
    assert taken >= 0.75 * 45 * 25 and refused <= 0.15 * taken, (seed, taken, refused)
    taken, refused = fleet.sums(1, 5, 30)
    assert taken >= 0.9 * 90 * 25 and refused <= 0.1 * taken, (seed, taken, refused)


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
def test_after_an_outage_a_cold_destination_is_not_pushed_over_and_serves_in_full_soon(seed):
    fleet = Fleet(seed, [110.0], [90.0])
    place = fleet.by_number[0]
    place.down = (6000.0, 11_000.0)
    fleet.run(26_000.0)
    for begin in range(11, 20):
        called = sum(place.called[s] for s in range(begin, begin + 3))
        bears = sum(place.capacity(1000.0 * s) for s in range(begin, begin + 3))
        assert called <= 2 * bears, (seed, begin, called, bears)
    early = fleet.sums(0, 11, 16)[0]
    assert early >= 0.5 * sum(place.capacity(1000.0 * s) for s in range(11, 16)), (seed, early)
    assert fleet.sums(0, 21, 26)[0] >= 0.85 * 90 * 5, seed


@pytest.mark.parametrize("seed", SEEDS)
def test_restarts_of_most_do_not_overbook_discovery(seed):
    fleet = Fleet(seed, [45.0, 110.0], [30.0, 90.0])
    fleet.run(8000.0)
    fleet.kill(0.7, 2000.0)
    fleet.run(30_000.0)
    asked = [at for at in fleet.asked if at >= 8000.0]
    assert max(sum(at <= t < at + 1000 for t in asked) for at in asked) <= 26, seed
    late = [node.me for node in fleet.nodes[:28] if not any(10_000 <= t < 16_000 for t in fleet.told[node.me])]
    assert not late, (seed, late)


def test_one_seed_gives_one_run():
    def play() -> tuple:
        fleet = Fleet(5, [20.0, 45.0], [25.0, 40.0])
        fleet.clump(0, 40)
        fleet.run(6000.0)
        return fleet.ends, fleet.sums(0, 0, 6), fleet.offered
    assert play() == play()
