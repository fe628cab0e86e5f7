"""A few drawn histories of conversations; ``python -m lab.tier.turn_histories`` plays more."""

from collections import Counter

import pytest

from lab.tier.turn_histories import play

SEEDS = range(1, 6)


CACHED_RUN_SEED = 25  # a turn runs again under its id through another relay, and is continued through the first one
LOST_REPORTS_SEED = 523  # the events of a turn's last run are not reported, and it is resumed after one of them


@pytest.mark.parametrize("seed", [CACHED_RUN_SEED, LOST_REPORTS_SEED])
def test_a_history_in_which_a_turn_ran_twice_breaks_no_rule(seed):
    """Regression (docs/incidents/history-of-another-run.md): UNASKED, as the events of the other run were taken."""
    assert play(seed).broken == []


def test_a_few_drawn_histories_of_conversations_break_no_rule():
    """Guards against review cases 4 to 8: framing, resumed streams, numbers and hosts as written, pauses."""
    counts = Counter()
    for seed in SEEDS:
        history = play(seed)
        assert history.broken == [], seed
        counts += history.counts
    assert counts["turns"] > 200 and counts["resumed"] > 10, counts
