"""Endpoints that repeat an earlier answer where the next one on the connection is due.

The request id in an answer identifies the attempt only if no connection carries two attempts of one request.
"""

import msgspec
import pytest

from lab.tier.fakes import FakeEndpoint
from lab.tier.simulated_tier import SimulatedTier
from lynxscale.dataplane.endpoint_state import EndpointState
from tests.simulated_tier import EVENTS, endpoints_that_ran, settled_tier

MODELS, TOOLS = ("i-0", "i-1"), ("i-2", "i-3")
FULL_S = tuple(0.01 * number for number in range(1, 26))
"""Times for which all endpoints are full; requests are sent again each 50 ms or so, so some end between attempts."""


def tier_with_late_answers(endpoints: tuple[str, ...], listed: int) -> tuple[SimulatedTier, list[FakeEndpoint]]:
    """A tier of one relay in which only the first ``listed`` of the endpoints are ready; all of them repeat answers."""
    tier = settled_tier(relays=1)
    for name in endpoints[listed:]:
        index = next(index for index, endpoint in enumerate(tier.platform.listed) if endpoint.id == name)
        tier.platform.listed[index] = msgspec.structs.replace(tier.platform.listed[index], state="draining")
    tier.world.run(tier.world.time + 3.0)
    chosen = [tier.endpoints[name] for name in endpoints]
    for endpoint in chosen:
        endpoint.repeats_late = lambda: True
    return tier, chosen


def fill(tier: SimulatedTier, endpoints: list[FakeEndpoint], seconds: float) -> None:
    """Let the endpoints reject all requests for some time from now on."""

    def free() -> None:
        for endpoint in endpoints:
            endpoint.rejects = False

    for endpoint in endpoints:
        endpoint.rejects = True
    tier.world.call_at(tier.world.time + seconds, free)


def idle_connections(tier: SimulatedTier, name: str) -> list:
    """The first relay's idle connections to an endpoint."""
    state: EndpointState = tier.relays[tier.relay_hosts[0]].balancer.states[name]
    return state.connections._idle


@pytest.mark.parametrize("listed", [1, 2])
@pytest.mark.parametrize("deadline_ms", ["4000", "700"])
def test_an_unsafe_request_runs_once_and_not_behind_a_503_beside_late_copies_of_its_rejections(listed, deadline_ms):
    """Guards against review case 2, TWICE and REFUSED: an earlier rejection was taken for a later attempt's answer."""
    tier, endpoints = tier_with_late_answers(TOOLS, listed)
    for number, full_s in enumerate(FULL_S):
        fill(tier, endpoints, full_s)
        name = f"b{number}"
        status = tier.request("/book/1", request_id=name, lynxscale_deadline_ms=deadline_ms).status
        runs = len(endpoints_that_ran(tier, name))
        assert runs <= 1 and (status != 503 or not runs), (name, full_s, status, runs)
        tier.world.run(tier.world.time + max(FULL_S))


def test_each_attempt_of_a_request_has_a_connection_that_has_not_carried_it():
    """Guards against review case 2: not the last connection alone counts, but every one that carried the request."""
    tier, (endpoint, _) = tier_with_late_answers(TOOLS, 1)
    endpoint.repeats_late = lambda: False
    endpoint.rejects = True
    tier.request("/book/1", request_id="full")
    sent_once_each = len(idle_connections(tier, "i-2"))
    assert sent_once_each >= 3
    assert tier.request("/book/1", request_id="other").status == 503
    assert len(idle_connections(tier, "i-2")) == sent_once_each  # another request reuses them all


def test_a_safe_request_is_not_answered_by_a_late_copy_of_its_error():
    """Guards against the fault of review case 2 after a 5xx answer: its copy was passed on, not the retry's answer."""
    tier, (endpoint, _) = tier_with_late_answers(TOOLS, 1)
    endpoint.status = 500
    tier.world.call_at(tier.world.time + endpoint.service_time_s * 1.5, lambda: setattr(endpoint, "status", 200))
    answer = tier.request("/look/1", request_id="s")
    assert (answer.status, len(endpoints_that_ran(tier, "s"))) == (200, 2)


def test_a_resumed_stream_does_not_repeat_events_from_a_late_copy_of_its_beginning():
    """Guards against the fault of review case 2 in streams, ORDER: a copy of the first part was joined to it."""
    tier, (endpoint, _) = tier_with_late_answers(MODELS, 1)
    endpoint.events, endpoint.ends_within_event = 2, True

    def mend() -> None:
        endpoint.events, endpoint.ends_within_event = 4, False

    answer, _ = tier.start_request("/open/stream", request_id="o")
    assert tier.world.run_until(lambda: endpoint.executed and not endpoint.running, 2.0)
    mend()
    assert tier.world.run_until(lambda: answer.ended, 4.0)
    assert (answer.complete, answer.body) == (True, EVENTS)
