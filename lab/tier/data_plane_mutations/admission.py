"""Mutations of admission of turns and queueing."""

from __future__ import annotations

from lab.tier.data_plane_mutations.names import (
    FAULTS,
    FORWARDING,
    HISTORY,
    PENDING,
    QUEUE,
    RETENTION,
    TURN_ADMISSION,
    TURNS,
    WAITING,
)
from lab.tier.source_mutation import SourceMutation

ADMISSION = (
    SourceMutation(
        "admission_does_not_hold_the_turn_that_it_continues",
        TURN_ADMISSION,
        "        self._hold_previous(request)\n",
        "",
        RETENTION + "test_a_turn_that_runs_while_the_one_that_it_continues_expires_keeps_its_chain",
    ),
    SourceMutation(
        "new_primary_holds_turns_no_longer_than_they_are_retained",
        TURN_ADMISSION,
        "max(record.retention_s, longest_turn_s)",
        "record.retention_s",
        RETENTION + "test_a_turn_that_a_primary_before_admitted_keeps_its_chain",
    ),
    SourceMutation(
        "turn_is_retained_though_its_previous_one_is_gone",
        HISTORY,
        "if request.previous and turn_key(request.previous) not in self._values:",
        "if False:",
        RETENTION + "test_a_turn_whose_previous_one_is_gone_at_its_end_is_not_answered_whole",
    ),
    SourceMutation(
        "turn_whose_client_left_during_admission_is_never_closed",
        FORWARDING,
        "            turn.close(0)\n            return\n",
        "            return\n",
        FAULTS + "test_a_client_that_leaves_during_admission_leaves_no_reservation",
    ),
    SourceMutation(
        "history_without_memory_keeps_its_reservation",
        FORWARDING,
        "            turn.close(0)\n            self._respond(",
        "            self._respond(",
        "tests/dataplane/test_slow_readers.py::test_a_history_without_memory_is_refused_and_its_reservation_released",
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
        "    return route.retained or request.head.number(headers.BUDGET) is not None\n",
        "    return True\n",
        FAULTS + "test_a_call_without_budget_or_retention_asks_the_primary_for_nothing",
    ),
    SourceMutation(
        "turn_without_a_budget_is_not_retained",
        TURNS,
        "    return route.retained or request.head.number(headers.BUDGET) is not None\n",
        "    return request.head.number(headers.BUDGET) is not None\n",
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
        "                pending.waiting = False\n                request =",
        "                request =",
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
