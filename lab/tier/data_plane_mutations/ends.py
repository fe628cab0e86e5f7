"""Mutations of deadlines, disconnects, drain and shutdown."""

from __future__ import annotations

from lab.tier.data_plane_mutations.names import ENDPOINT, FAULTS, FORWARDING, POOL, RELAY, SERVICE, SHUTDOWN, STATE
from lab.tier.source_mutation import SourceMutation

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
        "return self._configured and self.accepting and not self.stopping and not self.isolated",
        "return self._configured and self.accepting and not self.isolated",
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
