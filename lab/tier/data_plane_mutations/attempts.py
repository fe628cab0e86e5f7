"""Mutations of attempts at endpoints and restarts."""

from __future__ import annotations

from lab.tier.data_plane_mutations.names import ATTEMPT, ENDPOINT, FAULTS, FORWARDING, LATE, RETRIES, STATE
from lab.tier.source_mutation import SourceMutation

ATTEMPTS = (
    SourceMutation(
        "request_is_sent_again_on_its_connection",
        FORWARDING,
        "acquire(excluded=self._carriers)",
        "acquire()",
        LATE + "test_a_resumed_stream_does_not_repeat_events_from_a_late_copy_of_its_beginning",
    ),
    SourceMutation(
        "request_avoids_only_the_last_connection_that_carried_it",
        FORWARDING,
        "        self._carriers.add(connection)\n",
        "        self._carriers = {connection}\n",
        LATE + "test_each_attempt_of_a_request_has_a_connection_that_has_not_carried_it",
    ),
    SourceMutation(
        "unsigned_response_is_passed_on",
        ATTEMPT,
        "status < FIRST_REDIRECT and head.get(headers.RESPONSE_SIGNATURE) is None",
        "False",
        FAULTS + "test_a_response_without_signature_or_of_another_request_is_not_passed_on[signed]",
    ),
    SourceMutation(
        "response_to_another_request_is_passed_on",
        ATTEMPT,
        "if answered_id != self._request_id and (answered_id is not None or self._connection.used):",
        "if answered_id is None and self._connection.used:",
        FAULTS + "test_a_response_without_signature_or_of_another_request_is_not_passed_on[names_request]",
    ),
    SourceMutation(
        "connection_that_is_out_of_step_is_kept",
        ATTEMPT,
        "        self._connection.close()\n        self.endpoint.on_failure()\n",
        "        self.endpoint.on_failure()\n",
        "tests/dataplane/test_attempt.py::test_a_response_that_is_rejected_ends_its_connection",
    ),
    SourceMutation(
        "misdirected_request_leaves_the_endpoint_ready",
        ATTEMPT,
        "                self.endpoint.mark_unavailable()\n",
        "                pass\n",
        FAULTS + "test_an_address_with_another_endpoint_gets_no_second_request",
    ),
    SourceMutation(
        "load_report_is_ignored",
        ATTEMPT,
        "            self.endpoint.on_load_report(load)\n",
        "            pass\n",
        FAULTS + "test_a_reported_load_is_taken_in",
    ),
    SourceMutation(
        "server_error_counts_as_success",
        ATTEMPT,
        "            self.endpoint.on_error_response()\n",
        "            pass\n",
        FAULTS + "test_a_server_error_of_a_safe_call_is_retried_and_that_of_an_unsafe_one_passed_on",
    ),
    SourceMutation(
        "cancelled_attempt_keeps_its_slot",
        ATTEMPT,
        "            self._listener = None\n            self._release()\n",
        "            self._listener = None\n",
        FAULTS + "test_an_expired_deadline_ends_the_attempt_at_the_endpoint",
    ),
    SourceMutation(
        "cancelled_attempt_runs_on_at_the_endpoint",
        ATTEMPT,
        "            self._release()\n            self._connection.close()\n",
        "            self._release()\n",
        FAULTS + "test_an_expired_deadline_ends_the_attempt_at_the_endpoint",
    ),
    SourceMutation(
        "kv_cache_tokens_of_an_attempt_are_never_released",
        ATTEMPT,
        "        self.endpoint.tokens_in_flight -= self._max_tokens\n",
        "",
        "tests/dataplane/test_attempt.py::test_an_attempt_gives_its_slot_and_its_tokens_back",
    ),
    SourceMutation(
        "unsafe_call_is_sent_again",
        RETRIES,
        "return route.idempotent and executions < route.max_attempts and remaining_ms > MIN_REMAINING_MS",
        "return executions < 2 and remaining_ms > MIN_REMAINING_MS",
        "tests/dataplane/test_forwarding.py::test_an_unsafe_call_that_may_have_executed_is_not_retried_and_gets_502",
    ),
    SourceMutation(
        "call_that_no_endpoint_answers_in_time_waits",
        FORWARDING,
        "            self._send(endpoint)\n        else:\n            self._give_up()\n",
        "            self._send(endpoint)\n",
        FAULTS + "test_a_request_that_no_endpoint_answers_in_the_time_left_is_rejected_at_once",
    ),
)
RESTARTS = (
    SourceMutation(
        "restart_takes_no_token",
        FORWARDING,
        "        attempt.endpoint.on_restart()\n",
        "",
        FAULTS + "test_a_restart_ends_the_abandoned_attempt_and_takes_a_restart_token",
    ),
    SourceMutation(
        "restarted_attempt_runs_on",
        FORWARDING,
        "        self._cancel_attempt(attempt)\n        self._executions += 1\n        self._dispatch()\n",
        "        self._executions += 1\n        self._dispatch()\n",
        FAULTS + "test_a_restart_ends_the_abandoned_attempt_and_takes_a_restart_token",
    ),
    SourceMutation(
        "restarted_attempt_is_no_execution",
        FORWARDING,
        "        self._cancel_attempt(attempt)\n        self._executions += 1\n        self._dispatch()\n",
        "        self._cancel_attempt(attempt)\n        self._dispatch()\n",
        FAULTS + "test_a_restarted_call_counts_both_executions",
    ),
    SourceMutation(
        "restarted_call_that_gives_up_claims_no_execution",
        FORWARDING,
        "        if self._executions:\n            self._respond(relay_response(BAD_GATEWAY))\n        else:",
        "        if True:",
        FAULTS + "test_a_restarted_call_that_finds_no_other_endpoint_is_502",
    ),
    SourceMutation(
        "restart_tokens_never_come_back",
        ENDPOINT,
        "min(MAX_RESTART_TOKENS, self.restart_tokens + RESTART_TOKENS_PER_SUCCESS)",
        "self.restart_tokens",
        STATE + "test_a_restart_takes_a_token_that_successes_give_back",
    ),
)
