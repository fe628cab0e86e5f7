"""Mutations of what bounds the work and the memory that clients take."""

from __future__ import annotations

from lab.tier.data_plane_mutations.names import (
    CLIENT,
    CLIENT_TESTS,
    LIMITS,
    LISTENER,
    LISTENER_TESTS,
    LOOP_TURNS,
    MEMORY,
    SERVER,
    TURN_TESTS,
)
from lab.tier.source_mutation import SourceMutation

CROWDS = (
    SourceMutation(
        "spent_turn_is_exceeded",
        SERVER,
        "        if self._turns.available:\n",
        "        if True:\n",
        TURN_TESTS + "test_a_turn_of_many_connections_is_bounded_and_a_single_request_is_served_before_their_rest",
    ),
    SourceMutation(
        "used_up_slices_starve",
        LOOP_TURNS,
        "                self._rest.popleft()()  # even where the others have spent the turn\n",
        "                pass\n",
        TURN_TESTS + "test_what_has_used_up_a_slice_gets_a_turn_however_many_others_come",
    ),
    SourceMutation(
        "unparsed_bytes_do_not_count",
        SERVER,
        "kept = self._request_bytes + self._unparsed_bytes + ",
        "kept = self._request_bytes + ",
        LIMITS + "test_a_head_that_does_not_end_counts",
    ),
    SourceMutation(
        "requests_that_stand_still_keep_their_memory",
        MEMORY,
        "now - since >= STALLED_S",
        "False",
        LIMITS + "test_a_larger_request_is_served_before_smaller_ones_that_stand_still",
    ),
    SourceMutation(
        "requests_that_are_answered_give_way",
        SERVER,
        "self.state is ConnectionState.READING or self._reading_paused",
        "True",
        LIMITS + "test_a_request_that_is_answered_does_not_give_way",
    ),
    SourceMutation(
        "slow_readers_count_as_stalled",
        SERVER,
        "            self._unread_at = self._clock.now()\n            self._response_memory.hold(unread)\n",
        "            self._response_memory.hold(unread)\n",
        LIMITS + "test_a_slow_reader_that_reads_does_not_give_way_to_a_larger_response",
    ),
    SourceMutation(
        "arrived_request_is_closed_as_idle",
        LISTENER,
        "            if not connection.has_unread:\n",
        "            if True:\n",
        LISTENER_TESTS + "test_a_client_whose_request_has_arrived_does_not_give_its_place_to_a_new_one",
    ),
    SourceMutation(
        "response_in_pieces_is_parsed_at_once",
        CLIENT,
        "self._read(MAX_EVENTS_PER_TURN)",
        "self._read()",
        CLIENT_TESTS + "test_a_response_in_small_chunks_is_parsed_some_a_turn_and_not_received_faster",
    ),
)
