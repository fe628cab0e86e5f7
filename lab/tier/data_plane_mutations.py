"""Mutations of the data plane that a named test must detect: ``python -m lab.tier.data_plane_mutations [NAME …]``.

Each changes a line or two of admission, queueing, the choice of an endpoint, attempts, restarts, streams, commits,
deadlines, disconnects, drain or shutdown. ``source_mutation`` applies them without changing a file.
"""

from __future__ import annotations

import sys
from concurrent.futures import ThreadPoolExecutor

from lab.tier.source_mutation import SourceMutation, detects

WORKERS = 4
FORWARDING = "lynxscale.dataplane.forwarding"
ATTEMPT = "lynxscale.dataplane.attempt"
TURNS = "lynxscale.dataplane.turns"
BALANCER = "lynxscale.dataplane.load_balancer"
ENDPOINT = "lynxscale.dataplane.endpoint_state"
QUEUE = "lynxscale.dataplane.slot_queue"
PENDING = "lynxscale.dataplane.pending_until_configured"
SERVICE = "lynxscale.dataplane.service"
STREAM = "lynxscale.dataplane.response_stream"
RETRIES = "lynxscale.dataplane.retry_policy"
POOL = "lynxscale.dataplane.connection_pool"
SHUTDOWN = "lynxscale.dataplane.process"

FAULTS = "tests/dataplane/test_request_faults.py::"
STATE = "tests/dataplane/test_endpoint_state.py::"
CHOICE = "tests/dataplane/test_load_balancer.py::"
LATE = "tests/dataplane/test_late_answers.py::"
WAITING = "tests/dataplane/test_pending_until_configured.py::"
RELAY = "tests/dataplane/test_service.py::"

ADMISSION = (
    SourceMutation(
        "turn_whose_client_left_during_admission_is_never_closed",
        FORWARDING,
        "            turn.close(0)\n",
        "            pass\n",
        FAULTS + "test_a_client_that_leaves_during_admission_leaves_no_reservation",
    ),
    SourceMutation(
        "admission_without_reply_keeps_its_reservation",
        TURNS,
        "                self.close(0)\n",
        "",
        FAULTS + "test_an_admission_without_a_reply_is_503_and_released_later",
    ),
    SourceMutation(
        "admission_without_reply_is_not_answered",
        TURNS,
        "                listener.on_turn_rejected(SERVICE_UNAVAILABLE)\n",
        "",
        FAULTS + "test_an_admission_without_a_reply_is_503_and_released_later",
    ),
    SourceMutation(
        "every_rejected_turn_may_be_retried",
        FORWARDING,
        "RETRY_AFTER_S if status == SERVICE_UNAVAILABLE else None",
        "RETRY_AFTER_S",
        FAULTS + "test_a_rejected_admission_passes_its_status_on_without_a_time_to_retry_after",
    ),
    SourceMutation(
        "call_without_a_budget_is_a_turn",
        TURNS,
        "if not route.streaming or (budget is None and not route.retained):",
        "if not route.streaming:",
        FAULTS + "test_a_call_without_budget_or_retention_asks_the_primary_for_nothing",
    ),
    SourceMutation(
        "turn_without_a_budget_is_not_retained",
        TURNS,
        "(budget is None and not route.retained)",
        "budget is None",
        FAULTS + "test_a_retained_turn_without_a_budget_is_committed_before_its_end",
    ),
)
QUEUEING = (
    SourceMutation(
        "request_waits_for_a_slot_until_its_deadline",
        FORWARDING,
        "            self._queue_wait_timer = self._clock.call_later(wait_s, self._queue_wait_expired)\n",
        "            pass\n",
        FAULTS + "test_a_deadline_that_expires_before_anything_was_sent_is_503",
    ),
    SourceMutation(
        "request_that_ended_stays_in_the_queue",
        FORWARDING,
        "            self._balancer.queue.remove(self._service, self)\n",
        "",
        FAULTS + "test_a_request_waits_for_a_slot_for_its_share_of_the_time_and_leaves_the_queue_then",
    ),
    SourceMutation(
        "slot_of_an_ended_attempt_is_noticed_late",
        FORWARDING,
        "        self._attempt = None\n        self._balancer.queue.notify(self._service)\n        if outcome",
        "        self._attempt = None\n        if outcome",
        FAULTS + "test_a_released_slot_is_used_at_once[response]",
    ),
    SourceMutation(
        "slot_of_a_cancelled_attempt_is_noticed_late",
        FORWARDING,
        "        attempt.cancel()\n        self._attempt = None\n        self._balancer.queue.notify(self._service)\n",
        "        attempt.cancel()\n        self._attempt = None\n",
        FAULTS + "test_a_client_that_leaves_gives_its_slot_to_the_next_at_once",
    ),
    SourceMutation(
        "removed_waiter_is_called",
        QUEUE,
        "        self._queues.get(service, {}).pop(waiter, None)\n",
        "        pass\n",
        "tests/dataplane/test_slot_queue.py::test_a_waiter_that_was_removed_is_not_called",
    ),
    SourceMutation(
        "queue_looks_only_once",
        QUEUE,
        "        if any(self._queues.values()):\n",
        "        if False:\n",
        "tests/dataplane/test_slot_queue.py::test_without_a_notification_the_queue_looks_again_and_again",
    ),
    SourceMutation(
        "later_request_of_the_same_priority_goes_first",
        QUEUE,
        "(queue[one].priority, queue[one].sequence_number)",
        "(queue[one].priority, -queue[one].sequence_number)",
        "tests/dataplane/test_slot_queue.py::test_the_queue_is_served_by_priority_until_all_slots_are_taken",
    ),
    SourceMutation(
        "pending_request_whose_client_left_is_served",
        PENDING,
        "        self.waiting = False\n        if self.exchange is not None:",
        "        if self.exchange is not None:",
        WAITING + "test_a_client_that_leaves_is_not_served_and_one_that_leaves_later_ends_its_exchange",
    ),
    SourceMutation(
        "pending_request_that_was_served_is_rejected_later",
        PENDING,
        "                pending.waiting = False\n                pending.exchange",
        "                pending.exchange",
        WAITING + "test_a_request_that_was_served_is_not_rejected_later",
    ),
    SourceMutation(
        "pending_requests_are_not_bounded",
        PENDING,
        "if len(self._pending) >= MAX_PENDING:",
        "if False:",
        WAITING + "test_beyond_a_number_of_waiting_requests_each_is_rejected_at_once",
    ),
)
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
        "status < FIRST_REDIRECT_STATUS and head.get(headers.RESPONSE_SIGNATURE) is None",
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
STREAMS = (
    SourceMutation(
        "partial_event_is_continued_by_another_endpoint",
        STREAM,
        "        self.events.discard_partial()\n",
        "",
        FAULTS + "test_a_stream_that_ends_within_an_event_is_resumed_or_aborted",
    ),
    SourceMutation(
        "stream_that_ends_within_an_event_is_complete",
        FORWARDING,
        "            if self._response.events.within_event:\n"
        "                self._attempt_broken()\n"
        "            else:\n"
        "                self._stream_complete()\n",
        "            self._stream_complete()\n",
        FAULTS + "test_a_stream_that_ends_within_an_event_is_resumed_or_aborted",
    ),
    SourceMutation(
        "stream_that_cannot_continue_hangs",
        FORWARDING,
        "        if endpoint is None or self._remaining_ms < retry_policy.MIN_REMAINING_MS:\n"
        "            self._abort()\n",
        "        if endpoint is None or self._remaining_ms < retry_policy.MIN_REMAINING_MS:\n            pass\n",
        FAULTS + "test_a_stream_that_no_endpoint_can_continue_is_aborted_at_once",
    ),
    SourceMutation(
        "broken_stream_that_is_not_resumable_hangs",
        FORWARDING,
        "        elif self.state is RequestState.STREAMING:\n            self._abort()\n",
        "        elif self.state is RequestState.STREAMING:\n            pass\n",
        FAULTS + "test_a_stream_that_cannot_be_resumed_is_aborted_as_it_breaks_and_its_turn_is_closed",
    ),
    SourceMutation(
        "stream_without_events_has_no_head",
        FORWARDING,
        "        if self.state is RequestState.SENT:\n"
        "            self._response.start()\n        if self._turn is None",
        "        if self._turn is None",
        FAULTS + "test_a_stream_without_events_is_complete_and_empty",
    ),
)
COMMITS = (
    SourceMutation(
        "every_turn_with_a_budget_is_retained",
        FORWARDING,
        "if self._turn is None or not self._route.retained:",
        "if self._turn is None:",
        FAULTS + "test_a_turn_without_retention_retains_nothing",
    ),
    SourceMutation(
        "turn_that_is_not_committed_looks_complete",
        FORWARDING,
        "        if self.state is RequestState.COMMITTING:\n            self._abort()\n",
        "        if self.state is RequestState.COMMITTING:\n            self._end_stream()\n",
        FAULTS + "test_a_turn_that_no_primary_commits_in_time_is_aborted",
    ),
    SourceMutation(
        "commit_without_reply_is_not_noticed",
        TURNS,
        "                listener.on_commit_timeout()\n",
        "",
        FAULTS + "test_a_turn_that_no_primary_commits_in_time_is_aborted",
    ),
    SourceMutation(
        "committed_turn_is_closed_too",
        TURNS,
        "        self._closed = True\n        content = self._input + output",
        "        content = self._input + output",
        FAULTS + "test_a_committed_turn_is_ended_once",
    ),
    SourceMutation(
        "turn_is_not_closed_at_its_end",
        FORWARDING,
        "            self._close_turn()\n",
        "",
        FAULTS + "test_a_budget_without_retention_is_charged_with_what_was_generated",
    ),
)
ENDS = (
    SourceMutation(
        "deadline_leaves_its_attempt_running",
        FORWARDING,
        "            attempt.endpoint.on_deadline_expired()\n            self._cancel_attempt(attempt)\n",
        "            attempt.endpoint.on_deadline_expired()\n",
        FAULTS + "test_an_expired_deadline_ends_the_attempt_at_the_endpoint",
    ),
    SourceMutation(
        "deadline_says_nothing_of_the_endpoint",
        FORWARDING,
        "            attempt.endpoint.on_deadline_expired()\n",
        "",
        FAULTS + "test_an_expired_deadline_ends_the_attempt_at_the_endpoint",
    ),
    SourceMutation(
        "deadline_claims_that_nothing_was_executed",
        FORWARDING,
        "            self._cancel_attempt(attempt)\n            self._executions += 1\n        if self.state in",
        "            self._cancel_attempt(attempt)\n        if self.state in",
        FAULTS + "test_the_shorter_of_the_clients_and_the_routes_time_counts",
    ),
    SourceMutation(
        "clients_deadline_is_ignored",
        FORWARDING,
        "route.timeout_ms if client_ms is None else min(client_ms, route.timeout_ms)",
        "route.timeout_ms",
        FAULTS + "test_the_shorter_of_the_clients_and_the_routes_time_counts",
    ),
    SourceMutation(
        "attempt_that_ended_is_blamed_at_the_deadline",
        FORWARDING,
        "        self._attempt = None\n        self._balancer.queue.notify(self._service)\n        if outcome",
        "        self._balancer.queue.notify(self._service)\n        if outcome",
        FAULTS + "test_a_deadline_that_expires_during_the_commit_says_nothing_of_the_endpoint",
    ),
    SourceMutation(
        "attempt_of_a_client_that_left_runs_on",
        FORWARDING,
        "        if self._attempt is not None:\n            self._cancel_attempt(self._attempt)\n",
        "",
        "tests/dataplane/test_forwarding.py::test_a_disconnected_client_releases_its_endpoint_at_once",
    ),
    SourceMutation(
        "draining_endpoint_keeps_its_connections",
        ENDPOINT,
        "        self.ready = False\n        self.connections.close()\n",
        "        self.ready = False\n",
        STATE + "test_an_unavailable_endpoint_gets_nothing_and_keeps_no_connection",
    ),
    SourceMutation(
        "closed_pool_takes_connections_back",
        POOL,
        "        self._closed = True\n        for connection",
        "        for connection",
        "tests/dataplane/test_connection_pool.py::test_a_closed_pool_keeps_nothing_that_is_released_later",
    ),
    SourceMutation(
        "stopping_relay_is_ready",
        SERVICE,
        "return self._configured and not self.stopping and not self.isolated",
        "return self._configured and not self.isolated",
        RELAY + "test_the_readiness_address_tells_whether_the_relay_may_get_requests",
    ),
    SourceMutation(
        "isolated_relay_keeps_connections_open",
        SERVICE,
        "        self.limits.closing = isolated or self.stopping\n",
        "        self.limits.closing = self.stopping\n",
        RELAY + "test_an_isolated_relay_closes_connections_polls_by_itself_and_stops_once_it_is_not",
    ),
    SourceMutation(
        "relay_that_is_back_polls_on",
        SERVICE,
        "            self._endpoint_poller.stop()\n",
        "            pass\n",
        RELAY + "test_an_isolated_relay_closes_connections_polls_by_itself_and_stops_once_it_is_not",
    ),
    SourceMutation(
        "shutdown_does_not_wait_for_requests_in_flight",
        SHUTDOWN,
        "        if not any(connection.busy for connection in clients):\n            break\n",
        "        break\n",
        "tests/dataplane/test_shutdown.py::test_shutdown_waits_for_requests_in_flight",
    ),
    SourceMutation(
        "shutdown_stops_listening_at_once",
        SHUTDOWN,
        "    await asyncio.sleep(NOT_READY_PERIOD_S)\n    server.close()\n",
        "    server.close()\n    await asyncio.sleep(NOT_READY_PERIOD_S)\n",
        "tests/dataplane/test_shutdown.py::test_shutdown_listens_until_the_platform_sends_nobody_any_more",
    ),
    SourceMutation(
        "shutdown_has_no_end",
        SHUTDOWN,
        "    while loop.time() < deadline:\n",
        "    while True:\n",
        "tests/dataplane/test_shutdown.py::test_shutdown_ends_at_its_deadline",
    ),
    SourceMutation(
        "shutdown_keeps_idle_connections",
        SHUTDOWN,
        "            connection.close_if_idle()\n",
        "            pass\n",
        "tests/dataplane/test_shutdown.py::test_shutdown_closes_idle_connections",
    ),
)
ALL = (*ADMISSION, *QUEUEING, *CHOOSING, *ATTEMPTS, *RESTARTS, *STREAMS, *COMMITS, *ENDS)


def main() -> int:
    """Apply the mutations that the arguments name, or all. Exit code 1 if a test does not detect its mutation."""
    chosen = [mutation for mutation in ALL if len(sys.argv) == 1 or mutation.name in sys.argv[1:]]
    undetected = 0
    with ThreadPoolExecutor(WORKERS) as pool:
        for mutation, found in zip(chosen, pool.map(detects, chosen), strict=True):
            undetected += not found
            print(f"{mutation.name}: {'detected' if found else 'NOT DETECTED'} by {mutation.test}", flush=True)
    print(f"{len(chosen) - undetected} of {len(chosen)} detected")
    return int(undetected > 0)


if __name__ == "__main__":
    sys.exit(main())
