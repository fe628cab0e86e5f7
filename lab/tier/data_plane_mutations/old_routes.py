"""Mutations of what a relay does while its configuration may be old."""

from __future__ import annotations

from lab.tier.data_plane_mutations.names import (
    ATTEMPT,
    FORWARDING,
    HEADERS,
    LIMITS,
    ROUTER,
    ROUTES,
    SERVER,
    SERVICE,
    TREE,
    TURN_ADMISSION,
    WAITING,
)
from lab.tier.source_mutation import SourceMutation

OLD_ROUTES = (
    SourceMutation(
        "turn_on_an_unknown_route_is_refused_without_a_read",
        ROUTER,
        "        if request.head.get(headers.PREVIOUS_TURN) and not is_admitted(request, route):\n",
        "        if False:\n",
        ROUTES + "test_a_relay_whose_topics_were_just_confirmed_knows_no_more_than_its_table",
    ),
    SourceMutation(
        "read_version_is_not_waited_for",
        ROUTER,
        "        if self._configuration.version >= version:\n",
        "        if True:\n",
        ROUTES + "test_a_relay_that_wakes_never_answers_404_to_a_turn_on_a_route_added_meanwhile",
    ),
    SourceMutation(
        "read_without_a_reply_refuses_for_good",
        ROUTER,
        "                checked.reject()\n",
        "                checked.routed(self._route_by_proven_table(request, responder))\n",
        ROUTES + "test_a_relay_without_a_primary_answers_503_and_runs_no_turn_without_its_history",
    ),
    SourceMutation(
        "admission_states_no_version",
        ROUTER,
        "self._forward(request, responder, route, self._configuration.version)",
        "self._forward(request, responder, route, None)",
        ROUTES + "test_a_first_turn_on_a_route_that_is_retained_now_is_retained_by_a_relay_that_wakes",
    ),
    SourceMutation(
        "admission_states_a_version_that_is_not_in_use",
        ROUTER,
        "self._forward(request, responder, route, self._configuration.version)",
        "self._forward(request, responder, route, self._configuration.received_version)",
        ROUTES + "test_a_turn_is_not_admitted_by_a_version_that_its_relay_cannot_use",
    ),
    SourceMutation(
        "isolated_relay_refuses_unknown_routes_for_good",
        ROUTER,
        "        outdated = self._configuration.outdated\n",
        "        outdated = False\n",
        ROUTES + "test_an_isolated_relay_answers_an_unknown_route_503_and_serves_calls_on_known_ones",
    ),
    SourceMutation(
        "client_that_leaves_a_rerouted_turn_is_not_noticed",
        FORWARDING,
        "            self._rerouted.on_client_disconnected()\n",
        "            pass\n",
        ROUTES + "test_a_client_that_leaves_while_its_turn_waits_for_a_newer_configuration_is_not_served",
    ),
    SourceMutation(
        "connection_to_a_relay_that_wakes_stays_open",
        SERVICE,
        "        self._update_closing()  # the timer may not have run since the process was frozen\n",
        "",
        ROUTES + "test_an_isolated_relay_that_wakes_closes_the_connection_of_its_first_response",
    ),
    SourceMutation(
        "confirmation_counts_from_when_it_is_read",
        TREE,
        "self._request_sent_at(message) - message.age_s",
        "now - message.age_s",
        "tests/coordination/test_distribution_tree.py::"
        "test_a_confirmation_that_waited_for_a_frozen_relay_does_not_count_from_when_it_is_read",
    ),
    SourceMutation(
        "turn_keeps_the_retention_of_old_routes",
        TURN_ADMISSION,
        "            longest_s = max(request.retention_s, self._configuration.maxima().retention_s)\n",
        "            longest_s = request.retention_s\n",
        ROUTES + "test_a_turn_that_ends_under_a_newer_configuration_is_retained_for_as_long_as_that_says",
    ),
    SourceMutation(
        "repeated_admission_is_compared_again",
        TURN_ADMISSION,
        "self._is_older(request.configuration) and not self._programs.holds_reservation(request)",
        "self._is_older(request.configuration)",
        ROUTES + "test_a_turn_that_was_admitted_runs_though_its_route_is_gone_when_the_call_is_repeated",
    ),
    SourceMutation(
        "limits_that_may_be_outdated_refuse_for_good",
        SERVER,
        "            status = SERVICE_UNAVAILABLE\n",
        "            pass\n",
        LIMITS + "test_a_request_beyond_limits_that_may_be_outdated_is_answered_503",
    ),
    SourceMutation(
        "kept_connection_keeps_its_header_limit",
        SERVER,
        "            self._apply_header_limit()\n",
        "",
        LIMITS + "test_a_kept_connection_has_the_header_limit_that_is_in_force",
    ),
    SourceMutation(
        "wait_is_not_taken_off_the_deadline",
        HEADERS,
        "int(deadline_ms - 1000.0 * waited_s)",
        "int(deadline_ms)",
        WAITING + "test_an_endpoint_gets_only_the_time_that_is_left_after_the_wait",
    ),
    SourceMutation(
        "freeze_counts_as_latency",
        ATTEMPT,
        "return latency_ms if self._allowed_ms is None or latency_ms <= self._allowed_ms else None",
        "return latency_ms",
        "tests/dataplane/test_attempt.py::test_a_relay_that_was_frozen_amid_its_first_attempts_serves_again",
    ),
)
