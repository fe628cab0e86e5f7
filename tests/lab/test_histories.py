"""Random histories of simulated tiers with faults break no rule."""

import os
import subprocess
import sys

import pytest

from lab.tier.histories import History, play_range


@pytest.mark.parametrize("seed", range(1, 41))
def test_a_random_history_breaks_no_rule(seed):
    assert not History(seed).play(), seed


@pytest.mark.parametrize("seed", range(1, 25))
def test_a_history_with_unequal_disks_links_and_processors_breaks_no_rule(seed):
    assert not History(seed, varied=True).play(), seed


@pytest.mark.parametrize("seed", range(1, 17))
@pytest.mark.parametrize("varied", [False, True])
def test_a_history_with_endpoints_that_are_full_and_repeat_answers_late_breaks_no_rule(seed, varied):
    """Guards against review case 2: each of the seeds 1 to 24 found it before each attempt had its own connection."""
    assert not History(seed, varied, overloaded=True).play(), seed


def test_a_history_that_ends_early_counts_as_a_breach(monkeypatch):
    monkeypatch.setattr(History, "play", raise_assertion)
    reported_seeds: list[int] = []
    tally = play_range(1, 2, varied=False, on_breach=lambda seed, rules: reported_seeds.append(seed))
    assert tally.played == 2 and sorted(tally.broken) == reported_seeds == [1, 2]


def raise_assertion(history: History) -> None:
    """Replaces History.play by a history that finds no primary."""
    raise AssertionError("no primary in time")


@pytest.mark.parametrize("seed", [3, 25])
def test_a_history_is_determined_by_its_seed_for_every_hash_seed(seed):
    """Guards against iteration over sets: for these seeds, the order of sent messages once depended on it."""
    play = (
        f"from lab.tier.histories import History; h = History({seed}); h.play(); print(h.world.digest, h.world.steps)"
    )
    runs = {
        subprocess.run(
            [sys.executable, "-c", play],
            capture_output=True,
            text=True,
            check=True,
            env=os.environ | {"PYTHONHASHSEED": str(hash_seed)},
        ).stdout
        for hash_seed in (0, 1, 2)
    }
    assert len(runs) == 1, runs
