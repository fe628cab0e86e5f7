"""Each mutation of the data plane is detected by the test that it names."""

import pytest

from lab.tier.data_plane_mutations import ALL
from lab.tier.source_mutation import SourceMutation, detects

MIN_MUTATIONS = 40


def test_the_catalogue_is_large_enough_and_its_names_are_unique():
    assert len(ALL) >= MIN_MUTATIONS
    assert len({mutation.name for mutation in ALL}) == len(ALL)


@pytest.mark.parametrize("mutation", ALL, ids=lambda mutation: mutation.name)
def test_the_original_occurs_once_in_the_source(mutation):
    assert mutation.apply(mutation.path.read_text()) != mutation.path.read_text()


@pytest.mark.parametrize("mutation", ALL, ids=lambda mutation: mutation.name)
def test_the_named_test_detects_the_mutation(mutation):
    assert detects(mutation)


def test_a_mutation_that_changes_nothing_is_not_detected():
    """Guards against tests that fail without a mutation, or do not exist: they must not count as a detection."""
    first = ALL[0]
    unchanged = SourceMutation(first.name, first.module, first.original, first.original + "\n", first.test)
    assert not detects(unchanged)
    missing = SourceMutation(first.name, first.module, first.original, first.replacement, first.test + "_gone")
    assert not detects(missing)
