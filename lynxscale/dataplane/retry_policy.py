"""Decides when a request may be sent again, and when an attempt may be abandoned for another one. Does no I/O.

*Sends* count all attempts, including those that an endpoint rejected without executing them. *Executions* count the
attempts that may have been executed; a route's ``max-attempts`` limits them. A request that is not idempotent is
executed at most once.
"""

from __future__ import annotations

from lynxscale.configuration.model import Route
from lynxscale.dataplane.endpoint_state import EndpointState

MAX_SENDS = 6  # per request, including rejected attempts
MIN_REMAINING_MS = 5.0  # a request with less time left is not sent
MIN_REMAINING_MEDIANS = 1.0  # in median latencies of the endpoint; with less time left a timely response is unlikely
MIN_REMAINING_MEDIANS_TO_RESTART = 2.0
MIN_RESTART_TOKENS = 1.0
QUEUE_WAIT_SHARE = 0.25  # share of the remaining time after which a request without a slot is rejected


def may_send(sends: int, remaining_ms: float) -> bool:
    """Whether a request may be sent at all, regardless of the endpoint."""
    return remaining_ms >= MIN_REMAINING_MS and sends < MAX_SENDS


def can_answer_in_time(endpoint: EndpointState, remaining_ms: float) -> bool:
    """Whether the endpoint usually answers within the remaining time."""
    return endpoint.sample.median * MIN_REMAINING_MEDIANS <= remaining_ms


def may_execute_again(route: Route, executions: int, remaining_ms: float) -> bool:
    """Whether a request that may have been executed can be sent again."""
    return route.idempotent and executions < route.max_attempts and remaining_ms > MIN_REMAINING_MS


def may_restart(route: Route, executions: int) -> bool:
    """Whether the attempt after ``executions`` executions may be abandoned; the last one of a route may not."""
    return route.idempotent and executions + 1 < route.max_attempts


def restart_is_worthwhile(endpoint: EndpointState, remaining_ms: float) -> bool:
    """Whether the restart budget and the remaining time allow abandoning an attempt at the endpoint."""
    if endpoint.restart_tokens < MIN_RESTART_TOKENS:
        return False
    return remaining_ms >= MIN_REMAINING_MEDIANS_TO_RESTART * endpoint.sample.median


def queue_wait_s(remaining_ms: float, route: Route) -> float:
    """Return how many seconds a request may wait for a slot."""
    return QUEUE_WAIT_SHARE * min(remaining_ms, route.timeout_ms) / 1000.0
