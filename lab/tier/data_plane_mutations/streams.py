"""Mutations of streams and commits of turns."""

from __future__ import annotations

from lab.tier.data_plane_mutations.names import (
    FAULTS,
    FORWARDING,
    FRAMING,
    HISTORY,
    RESUMED,
    RUNNING,
    RUNS,
    STREAM,
    TURNS,
)
from lab.tier.source_mutation import SourceMutation

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
        "turn_is_whole_by_the_endpoints_length",
        STREAM,
        "without_length(self._head.end_to_end())",
        "self._head.end_to_end()",
        FRAMING + "test_a_turn_is_never_whole_for_its_client_before_it_is_durable",
    ),
    SourceMutation(
        "resumed_turn_is_retained_without_the_earlier_events",
        TURNS,
        "self._input + self._events.earlier_output + output",
        "self._input + output",
        RESUMED + "test_a_turn_that_its_client_resumes_is_stored_with_the_events_before_the_cut",
    ),
    SourceMutation(
        "events_of_two_runs_are_guessed",
        RUNNING,
        "if not found or not found[-1] or any(events and events != found[-1] for events in found):",
        "if not found or not found[-1]:",
        RESUMED + "test_events_of_two_runs_that_differ_are_not_guessed",
    ),
    SourceMutation(
        "events_of_an_earlier_run_are_taken_where_those_of_the_last_one_are_lost",
        RUNNING,
        "if not found or not found[-1] or any(events and events != found[-1] for events in found):\n"
        "            raise EventsUnknownError(last_id)\n",
        "found = [events for events in found if events]\n"
        "        if not found or any(events != found[-1] for events in found):\n"
        "            raise EventsUnknownError(last_id)\n",
        RUNS + "test_a_run_whose_reports_were_lost_is_not_taken_for_an_earlier_one",
    ),
    SourceMutation(
        "late_end_of_an_earlier_run_overwrites_the_turn",
        HISTORY,
        "if run_id != latest_run and (stored is not None or latest_run is not None):",
        "if False:",
        RESUMED + "test_the_same_request_again_replaces_the_turn_and_a_late_end_of_its_first_run_does_not",
    ),
    SourceMutation(
        "history_of_another_run_of_the_turn_is_used",
        HISTORY,
        "if turn == cached and msgspec.json.decode(raw, type=StoredRun).run_id == cached_run:",
        "if turn == cached:",
        RESUMED + "test_a_turn_that_ran_again_is_continued_as_it_is_stored_also_by_the_relay_of_its_first_run",
    ),
    SourceMutation(
        "turn_that_another_one_continues_is_replaced",
        HISTORY,
        "if self._retention.has_children(key) or self._running.is_continued(request.request):",
        "if False:",
        RESUMED + "test_a_turn_that_another_one_continues_is_never_replaced",
    ),
    SourceMutation(
        "turn_is_run_though_its_primary_has_no_earlier_events",
        TURNS,
        "return bool(self._resume_after) and reply.earlier_events is msgspec.UNSET",
        "return False",
        RESUMED + "test_a_primary_that_does_not_know_resumption_gets_no_events_and_its_turns_are_not_resumed",
    ),
    SourceMutation(
        "client_without_chunks_gets_the_last_event_at_once",
        STREAM,
        "if self._route.retained and not self._responder.end_is_explicit:",
        "if False:",
        FRAMING + "test_a_client_without_chunks_gets_the_last_event_of_a_turn_once_it_is_durable",
    ),
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
        "                listener.on_commit_failed()\n",
        "",
        FAULTS + "test_a_turn_that_no_primary_commits_in_time_is_aborted",
    ),
    SourceMutation(
        "committed_turn_is_closed_too",
        TURNS,
        "        self._closed = True\n        content = self._input + self._events",
        "        content = self._input + self._events",
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
