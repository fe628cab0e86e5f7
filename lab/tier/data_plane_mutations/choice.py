"""Mutations of the choice of an endpoint."""

from __future__ import annotations

from lab.tier.data_plane_mutations.names import BALANCER, CHOICE, ENDPOINT, STATE
from lab.tier.source_mutation import SourceMutation

CHOOSING = (
    SourceMutation(
        "ejection_takes_more_than_half",
        BALANCER,
        "return healthy if 2 * len(healthy) >= ready else candidates",
        "return healthy or candidates",
        CHOICE + "test_ejection_leaves_at_least_half_of_a_services_endpoints",
    ),
    SourceMutation(
        "ejection_counts_endpoints_with_room_only",
        BALANCER,
        "ready = sum(state.ready for state in self._by_service[service])",
        "ready = len(candidates)",
        CHOICE + "test_ejected_endpoints_count_against_all_ready_ones_not_only_those_with_room",
    ),
    SourceMutation(
        "endpoint_that_turns_ready_keeps_its_state",
        BALANCER,
        "known is None or (endpoint.state == READY and known.endpoint.state != READY)",
        "known is None",
        CHOICE + "test_an_endpoint_that_turns_ready_gets_requests_and_starts_with_a_window_of_one",
    ),
    SourceMutation(
        "endpoint_that_is_not_listed_any_more_gets_requests",
        BALANCER,
        "            self.states.pop(endpoint_id).mark_unavailable()\n",
        "            pass\n",
        CHOICE + "test_an_endpoint_that_leaves_the_list_gets_nothing_and_its_connections_are_closed",
    ),
    SourceMutation(
        "attempted_endpoint_is_chosen_again",
        BALANCER,
        "[state for state in candidates if state.endpoint.id not in attempted] or candidates",
        "candidates",
        CHOICE + "test_an_attempted_endpoint_is_chosen_again_only_where_there_is_no_other",
    ),
    SourceMutation(
        "other_zones_cost_nothing",
        BALANCER,
        "OTHER_ZONE_COST if state.endpoint.zone != self.zone else 0.0",
        "0.0",
        CHOICE + "test_calls_without_affinity_prefer_own_zone_idle_connections_low_load_and_fast_endpoints",
    ),
    SourceMutation(
        "kv_cache_of_others_is_ignored",
        ENDPOINT,
        "return self.tokens_in_flight + max(0.0, self.load - self.in_flight) * typical_tokens",
        "return self.tokens_in_flight",
        STATE + "test_the_kv_cache_counts_own_tokens_exactly_and_those_of_others_as_typical",
    ),
    SourceMutation(
        "reported_load_never_fades",
        ENDPOINT,
        "max(0.0, 1.0 - age / REPORTED_LOAD_LIFETIME_S)",
        "1.0",
        STATE + "test_the_load_of_others_is_what_was_reported_beyond_the_own_and_fades",
    ),
    SourceMutation(
        "rejection_leaves_the_window",
        ENDPOINT,
        "        self.window = max(1, self.window // 2)\n        self.cooldown_until",
        "        self.cooldown_until",
        STATE + "test_a_rejection_halves_the_window_and_begins_a_cooldown",
    ),
    SourceMutation(
        "success_leaves_the_row_of_failures",
        ENDPOINT,
        "        self._consecutive_failures = 0\n        self.failure_rate.observe(SUCCESS)",
        "        self.failure_rate.observe(SUCCESS)",
        STATE + "test_a_success_ends_a_row_of_failures",
    ),
    SourceMutation(
        "cooldown_is_not_bounded",
        ENDPOINT,
        "min(cooldown_s, MAX_FAILURE_COOLDOWN_S)",
        "cooldown_s",
        STATE + "test_failures_in_a_row_double_the_cooldown_up_to_its_bound",
    ),
)
