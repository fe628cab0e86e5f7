"""Helpers for tests on a simulated tier: start a tier, and find the requests that its endpoints executed."""

from typing import Any

from lab.tier.simulated_tier import SimulatedTier
from lab.tier.world import World
from lynxscale.dataplane.headers import REQUEST_ID
from lynxscale.runtime.http_types import Request

EVENTS = b"".join(b"id: %d\ndata: word%d\n\n" % (number, number) for number in range(1, 5))
OUTPUT = b"word1\nword2\nword3\nword4\n"


def settled_tier(seed: int = 1, **sizes: Any) -> SimulatedTier:
    """A tier whose relays all have the first configuration and serve."""
    return SimulatedTier(World(seed), **sizes).start_serving()


def endpoints_that_ran(tier: SimulatedTier, request_id: str) -> list[str]:
    """The id of the executing endpoint for each execution of a request."""
    return [
        name
        for name, endpoint in tier.endpoints.items()
        for request in endpoint.executed
        if request.head.text(REQUEST_ID) == request_id
    ]


def executed_request(tier: SimulatedTier, request_id: str) -> Request:
    """The request with an id, as an endpoint received it."""
    executed = [request for endpoint in tier.endpoints.values() for request in endpoint.executed]
    return next(request for request in executed if request.head.text(REQUEST_ID) == request_id)
