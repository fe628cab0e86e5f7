"""Random histories of whole tiers with faults break no rule."""

import pytest

from lab.tier.histories import History


@pytest.mark.parametrize("seed", range(1, 41))
def test_a_random_history_breaks_no_rule(seed):
    assert not History(seed).play(), seed
