"""The models of the tier satisfy their invariants in every order of events."""

from dataclasses import replace

import pytest

from lab.model_checker import MAX_STATES, InvariantViolation, explore
from lab.tier.models.catalogue import MODELS, Scope
from lab.tier.models.election import Election
from lab.tier.models.election_bounds import slow_write_bounds
from lab.tier.models.held_messages import HoldRule

PROMISE_USED = (  # a proposes its record by a promise that b had not stored when it restarted
    ("receives", ("b:1", "a:1")),
    ("receives", ("a:1", "a:1")),
    ("ends a write", "a:1"),
    ("becomes candidate", "c:1"),
)
GRANT_USED = (  # a holds the lease by a grant for a record that c had not stored when it restarted
    ("receives", ("c:1", "a:1")),
    ("restarts", "c:1"),
    ("time passes", ""),
    ("becomes candidate", "b:1"),
    ("ends a write", "b:1"),
)


@pytest.mark.parametrize("model", MODELS, ids=lambda model: model.name)
def test_no_order_of_events_violates_an_invariant(model):
    """Within the quick bounds; for the wide bounds, run ``python -m lab.tier.models``."""
    for bounds in model.bounds(Scope.QUICK):
        assert model.search(bounds, MAX_STATES, False) > 1


@pytest.mark.parametrize(
    ("rule", "number", "further_events", "violation"),
    [
        (HoldRule.ALL_LEAVE, 0, PROMISE_USED, "two records under epoch 1"),
        (HoldRule.GRANTS_LEAVE, 1, GRANT_USED, "holds the lease of epoch 2 while 3 is decided"),
    ],
)
def test_messages_that_do_not_wait_for_the_writes_they_depend_on_are_found(rule, number, further_events, violation):
    """A promise that leaves before it is stored, and a grant for a record that is not stored."""
    bounds = slow_write_bounds(rule)[number]
    bounds = replace(bounds, slow_events=(*bounds.slow_events, *further_events))
    with pytest.raises(InvariantViolation, match=violation):
        explore(lambda: Election(bounds))
