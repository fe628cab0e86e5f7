"""Model checking of view agreement: the checkers find injected mistakes, and no violation in the unchanged code."""

import pytest

from lab.cluster import check, explore, mistakes, simulate
from lab.model_checker import InvariantViolation


def _extend_lease(core):
    until = core.agreement.lease_until
    core.agreement.lease_until = lambda now: until(now) and until(now) + 3_000_000


# By mistake: index of the scenario whose exhaustive search finds it.
SCENARIO_BY_MISTAKE = {
    mistakes.IgnoresAcceptedChange: 0,
    mistakes.HalfIsAQuorum: 1,
    mistakes.BreaksOlderPromise: 2,
    mistakes.ForgetsVoteOnRestart: 2,
    mistakes.SendsVoteBeforePersisting: 2,
    mistakes.IgnoresStateRollback: 3,
    mistakes.VotesBeforeExchanges: 3,
    mistakes.VotesAfterStateLoss: 3,
    mistakes.IgnoresGrantedLeases: 4,
    mistakes.LeaseTooLong: 5,
    mistakes.KeepsLeaseAfterAcceptingRemoval: 4,
    mistakes.GrantsAfterAccepting: 5,
    mistakes.NoRemovalDelayAfterStart: 6,
    mistakes.NoRemovalDelayAfterView: 7,
}


@pytest.mark.parametrize("mistake", mistakes.ALL)
def test_the_model_checker_finds_injected_mistakes(mistake):
    with pytest.raises(InvariantViolation, match="view 2 is|acts in"):
        check.Check(check.SCENARIOS[SCENARIO_BY_MISTAKE[mistake]], mistake).run()


@pytest.mark.parametrize("scenario", check.QUICK, ids=lambda scenario: scenario.name)
def test_no_order_of_events_breaks_an_invariant(scenario):
    searched = check.Check(scenario)
    print(searched.run(), "states")
    assert len(searched.views) > 1  # otherwise no view was decided, and the search proves nothing


@pytest.mark.parametrize("mistake", [mistakes.HalfIsAQuorum, mistakes.LeaseTooLong, mistakes.NoRemovalDelayAfterView])
def test_random_walks_find_injected_mistakes(mistake):
    def inject(agreement):
        mistakes.inject(mistake, agreement, 0)

    assert found_by(lambda seed: explore.walk(3 + seed % 3, seed, mistake=inject), 1500).startswith("walk ")


def test_simulated_histories_find_a_lease_that_is_too_long():
    play = lambda seed: simulate.history(3 + seed % 5, seed, seconds=12, mistake=_extend_lease)  # noqa: E731
    assert found_by(play, 400).startswith("seed ")


def found_by(play, max_seeds: int) -> str:
    """The message of the first violation among ``max_seeds`` seeds."""
    for seed in range(max_seeds):
        try:
            play(seed)
        except InvariantViolation as violation:
            return str(violation)
    return "nothing was found"


@pytest.mark.parametrize("block", range(4))
def test_random_walks_keep_the_invariants(block):
    decided = sum(max(explore.walk(3 + seed % 3, seed).decided) - 1 for seed in range(block * 100, block * 100 + 100))
    assert decided > 40  # otherwise the walks prove nothing
