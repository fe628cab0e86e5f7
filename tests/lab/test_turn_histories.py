"""A few drawn histories of conversations; ``python -m lab.tier.turn_histories`` plays more."""

from collections import Counter

from lab.tier.turn_histories import play

SEEDS = range(1, 6)


def test_a_few_drawn_histories_of_conversations_break_no_rule():
    """Guards against review cases 4 to 8: framing, resumed streams, numbers and hosts as written, pauses."""
    counts = Counter()
    for seed in SEEDS:
        history = play(seed)
        assert history.broken == [], seed
        counts += history.counts
    assert counts["turns"] > 200 and counts["resumed"] > 10, counts
