"""All mistakes, each with who has to find it."""

from __future__ import annotations

from lab.tier.mutations import epochs, operator_changes, replication, turns
from lab.tier.mutations.detectors import Mutation, by_histories, by_search

ALL = (
    *(
        Mutation(put_in, by_histories())
        for put_in in (
            replication.acknowledged_before_stored,
            replication.one_copy_is_enough,
            epochs.lease_is_never_checked,
            epochs.wiped_member_votes_as_before,
            turns.turn_is_durable_later,
            turns.reservation_is_forgotten,
            turns.settled_at_nothing,
            turns.chain_lacks_its_oldest,
            turns.cached_history_is_taken_for_any_chain,
            turns.unsafe_call_is_sent_again,
            turns.promise_after_a_run,
            operator_changes.orders_are_not_remembered,
            replication.late_batches_are_skipped,
            replication.whole_state_lacks_the_last_batch,
            replication.damaged_files_lead,
        )
    ),
    Mutation(replication.leaving_member_goes_at_once, by_search("admission")),
    Mutation(replication.one_copy_is_left, by_search("admission")),
    Mutation(replication.vote_goes_and_copy_stays, by_search("admission")),
    Mutation(replication.copy_counts_before_it_confirmed, by_histories()),
    Mutation(epochs.promise_while_another_holds_a_lease, by_search("election", (2,), depth_first=True)),
    Mutation(epochs.restarted_witness_forgets_its_lease, by_search("election", (3,), depth_first=True)),
    Mutation(epochs.lease_runs_from_the_answer, by_search("election", (2,), depth_first=True)),
    Mutation(operator_changes.resend_is_judged_by_its_number, by_search("operators")),
    Mutation(operator_changes.resend_is_refused, by_search("operators")),
    Mutation(operator_changes.update_goes_by_any_version, by_search("operators")),
    Mutation(operator_changes.refusal_rests_on_what_is_undecided, by_search("operators")),
    Mutation(replication.snapshot_is_mixed_of_two, by_search("transfer")),
    Mutation(replication.batches_between_parts_are_lost, by_search("transfer")),
    Mutation(turns.given_up_dial_was_not_sent, by_search("calls")),
    Mutation(turns.nameless_answer_is_the_own, by_search("calls")),
    Mutation(turns.any_refusal_is_the_own, by_search("calls")),
)
# Not found by histories or searches; each has a test of its own (tests/test_tier_group.py, test_tier_checks.py,
# test_tier_control_safety.py). An epoch used twice was searched for within the bounds made for it (election.BOUNDS[4]).
UNFOUND = (operator_changes.versions_may_fall, replication.undo_is_left_out, epochs.epoch_is_used_twice)
