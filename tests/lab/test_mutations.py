"""Random histories and searches of models detect mutations of the tier."""

import pytest

from lab.tier import mutations

QUICKLY_DETECTED = (
    "lease_is_never_checked",
    "turn_is_charged_nothing",
    "history_lacks_its_oldest_turns",
    "cached_history_is_used_for_any_chain",
    "unsafe_call_is_retried",
    "promise_in_advance_is_given_at_once",
    "promise_while_another_holds_a_lease",
    "restarted_voter_forgets_its_grant",
    "lease_starts_at_the_grant",
    "leaving_member_stops_at_once",
    "single_replica_is_left",
    "replaced_voter_stays_in_sync",
    "retry_is_judged_by_its_generation",
    "retry_is_rejected",
    "update_ignores_its_base_version",
    "rejection_precedes_the_commit",
    "snapshot_mixes_two_positions",
    "batches_between_chunks_are_lost",
    "timed_out_connect_counts_as_unsent",
    "request_is_sent_again_on_its_connection",
    "response_without_id_is_accepted",
    "foreign_rejection_is_accepted",
)


@pytest.mark.parametrize(
    "mutation", [one for one in mutations.ALL if one.name in QUICKLY_DETECTED], ids=lambda one: one.name
)
def test_a_mutation_is_detected(mutation):
    """A quick selection; for all mutations and more histories, run ``python -m lab.tier.mutations``."""
    assert mutations.detect(mutation, max_histories=20)
