"""The retry policy: when requests are sent again, and when attempts are abandoned."""

import pytest

from lab.tier.world import World
from lynxscale.configuration.model import Route
from lynxscale.dataplane import retry_policy
from lynxscale.dataplane.endpoint_state import EndpointState
from lynxscale.discovery.endpoint import Endpoint


def route(route_type: str, max_attempts: int, resumable: bool = False) -> Route:
    """A route of the given type with a timeout of 4000 ms."""
    return Route("r", "h", "/", route_type, 4000.0, max_attempts=max_attempts, resumable=resumable)


def endpoint_state() -> EndpointState:
    """A ready endpoint without attempts yet."""
    clock = World(1).machine("a:1").clock()
    return EndpointState(Endpoint("i-1", "s", "10.0.0.1:1", "z", 4, "ready"), clock, lambda address, connection: None)


@pytest.mark.parametrize(
    ("policy_route", "executions", "again"),
    [
        (route("safe", 2), 1, True),
        (route("safe", 2), 2, False),
        (route("unsafe", 9), 1, False),
        (route("streaming", 2), 1, False),
        (route("streaming", 2, resumable=True), 1, True),
    ],
)
def test_only_idempotent_requests_are_executed_again_and_within_max_attempts(policy_route, executions, again):
    assert retry_policy.may_execute_again(policy_route, executions, 1000.0) is again
    assert not retry_policy.may_execute_again(policy_route, executions, retry_policy.MIN_REMAINING_MS)


def test_the_last_attempt_of_a_route_is_not_restarted():
    assert retry_policy.may_restart(route("safe", 2), 0)
    assert not retry_policy.may_restart(route("safe", 2), 1)
    assert not retry_policy.may_restart(route("unsafe", 2), 0)


def test_a_restart_needs_a_token_and_time_for_two_usual_answers():
    endpoint = endpoint_state()
    endpoint.sample.median = 100.0
    assert retry_policy.restart_is_worthwhile(endpoint, 200.0)
    assert not retry_policy.restart_is_worthwhile(endpoint, 199.0)
    endpoint.restart_tokens = 0.9
    assert not retry_policy.restart_is_worthwhile(endpoint, 200.0)


def test_a_request_waits_for_a_share_of_the_time_that_is_left():
    assert retry_policy.queue_wait_s(1000.0, route("safe", 1)) == 0.25
    assert retry_policy.queue_wait_s(9000.0, route("safe", 1)) == 1.0


def test_nothing_is_sent_without_time_or_after_too_many_sends():
    assert retry_policy.may_send(retry_policy.MAX_SENDS - 1, retry_policy.MIN_REMAINING_MS)
    assert not retry_policy.may_send(retry_policy.MAX_SENDS, 1000.0)
    assert not retry_policy.may_send(0, retry_policy.MIN_REMAINING_MS - 0.1)
    endpoint = endpoint_state()
    endpoint.sample.median = 100.0
    assert retry_policy.can_answer_in_time(endpoint, 100.0)
    assert not retry_policy.can_answer_in_time(endpoint, 99.0)
