"""Histories of route changes at relays that are frozen or cut off break no rule; what their checker finds."""

import os
import subprocess
import sys

import pytest

from lab.tier.changing_routes import ChangingRoute, JudgedTurn, lost_turns
from lab.tier.configuration_grammar import ConfigurationGrammar
from lab.tier.route_histories import RouteHistory
from lynxscale.controlplane import configuration_check

SEEDS = (*range(1, 41), 132)
VARIED_SEEDS = range(41, 51)


@pytest.mark.parametrize("seed", SEEDS)
def test_a_history_of_route_changes_breaks_no_rule(seed):
    """Guards against review case 3, which most of these seeds find, and (132) a freeze that was taken for latency."""
    assert not RouteHistory(seed).play(), seed


@pytest.mark.parametrize("seed", VARIED_SEEDS)
def test_a_history_of_route_changes_that_are_written_in_drawn_ways_breaks_no_rule(seed):
    """Guards against review cases 6 and 8, and faulty configurations that are acknowledged."""
    assert not RouteHistory(seed, varied=True).play(), seed


def test_a_faulty_change_that_is_acknowledged_is_reported(monkeypatch):
    """What the judge tells if the check lets a fault pass; such a history went on for ever before."""
    monkeypatch.setattr(configuration_check, "_duplicate_match_findings", lambda routes: iter(()))
    monkeypatch.setattr(ConfigurationGrammar, "with_fault", ConfigurationGrammar.with_repeated_match)
    broken = RouteHistory(41, varied=True).play()
    assert broken["faulty_change_acknowledged"] and broken["change_not_acknowledged"], broken


def test_a_history_is_determined_by_its_seed_for_every_hash_seed():
    play = (
        "from lab.tier.route_histories import RouteHistory; h = RouteHistory(3); h.play(); "
        "print(h.world.digest, h.world.steps)"
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


def judged(previous: str = "t1", status: int = 404, removed_at: float = 100.0) -> JudgedTurn:
    """A turn that ended at 10 s."""
    route = ChangingRoute("route-1", retained=True, retained_at=1.0, removed_at=removed_at)
    return JudgedTurn("t2", route, "relay-1", previous, status, 9.0, 10.0)


@pytest.mark.parametrize(
    ("turn", "lost"),
    [
        (judged(), True),
        (judged(status=410), True),
        (judged(status=503), False),
        (judged(status=0), False),
        (judged(previous=""), False),
        (judged(removed_at=9.5), False),
    ],
)
def test_a_turn_is_lost_if_its_previous_was_whole_and_its_route_is_there(turn, lost):
    assert bool(list(lost_turns([turn]))) == lost
