"""When a request may be sent again, and when an attempt may be abandoned for another one. Decides without I/O.

Two counts matter. *Sends* are all attempts, also those that an endpoint rejected without executing them; *executions*
are the attempts that may have been executed, which a route's ``max-attempts`` limits. A request that is not idempotent
is executed once at most.
"""

from __future__ import annotations

from lynxscale.dataplane.endpoint_state import EndpointState
from lynxscale.dataplane.routing import Route

MAX_SENDS = 6  # of one request, rejections included
MIN_REMAINING_MS = 5.0  # with less time left nothing is sent
MIN_REMAINING_MEDIANS = 1.0  # nor with less than an endpoint's median latency (design)
MIN_REMAINING_MEDIANS_TO_RESTART = 2.0
RESTART_TOKEN = 1.0
QUEUE_WAIT_SHARE = 0.25  # of the remaining time: a request that finds no slot is rejected after it


def may_send(sends: int, remaining_ms: float) -> bool:
    """May a request be sent, to whichever endpoint?"""
    return remaining_ms >= MIN_REMAINING_MS and sends < MAX_SENDS


def can_answer_in_time(endpoint: EndpointState, remaining_ms: float) -> bool:
    """Does the endpoint usually answer within the remaining time?"""
    return endpoint.sample.median * MIN_REMAINING_MEDIANS <= remaining_ms


def may_execute_again(route: Route, executions: int, remaining_ms: float) -> bool:
    """May a request that may have been executed be sent again?"""
    return route.idempotent and executions < route.max_attempts and remaining_ms > MIN_REMAINING_MS


def may_restart(route: Route, executions: int) -> bool:
    """May the attempt that follows so many executions be abandoned for another one? Not the route's last."""
    return route.idempotent and executions + 1 < route.max_attempts


def restart_is_worthwhile(endpoint: EndpointState, remaining_ms: float) -> bool:
    """Are the restart budget and the remaining time enough to abandon an attempt at the endpoint?"""
    if endpoint.restart_tokens < RESTART_TOKEN:
        return False
    return remaining_ms >= MIN_REMAINING_MEDIANS_TO_RESTART * endpoint.sample.median


def queue_wait_s(remaining_ms: float, route: Route) -> float:
    """How long a request may wait for a slot, in seconds."""
    return QUEUE_WAIT_SHARE * min(remaining_ms, route.timeout_ms) / 1000.0
