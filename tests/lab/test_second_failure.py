"""A second failure amid a change of the group loses nothing acknowledged."""

import pytest

from lab.tier import second_failure


@pytest.mark.parametrize("size", second_failure.SIZES, ids=str)
@pytest.mark.parametrize("change", second_failure.CHANGES, ids=lambda change: change.name)
def test_a_second_failure_amid_a_change_loses_nothing(size, change):
    """All steps: python -m lab.tier.second_failure."""
    assert not list(second_failure.problems(size, change, every=101))


@pytest.mark.parametrize("size", second_failure.SIZES, ids=str)
@pytest.mark.parametrize("change", second_failure.TWO_CHANGES, ids=lambda change: change.name)
def test_a_further_failure_amid_two_changes_at_once_loses_nothing(size, change):
    assert not list(second_failure.problems(size, change, every=151))
