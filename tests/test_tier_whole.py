"""Whole tiers on a simulated network, clock and disk: each test causes the failure that a mechanism is meant for."""

from lab.tier.simulated_tier import SimulatedTier
from lab.tier.world import World
from lynxscale.runtime.http_types import Request

EVENTS = b"".join(b"id: %d\ndata: word%d\n\n" % (number, number) for number in range(1, 5))
OUTPUT = b"word1\nword2\nword3\nword4\n"


def tier(seed: int = 1, **more) -> SimulatedTier:
    return SimulatedTier(World(seed), **more).start_serving()


def runs(one: SimulatedTier, request_id: str) -> list[str]:
    """Endpoints that ran a request."""
    wanted = request_id.encode()
    return [
        name
        for name, endpoint in one.endpoints.items()
        for request in endpoint.executed
        if request.head.get(b"lynxscale-request-id") == wanted
    ]


# Requests ---------------------------------------------------------------------------------------------


# Turns ------------------------------------------------------------------------------------------------


def run_of(one: SimulatedTier, request_id: str) -> Request:
    """The request of that id as an endpoint ran it."""
    runs = [request for endpoint in one.endpoints.values() for request in endpoint.executed]
    return next(request for request in runs if request.head.text(b"lynxscale-request-id") == request_id)


# Configuration ----------------------------------------------------------------------------------------


# Endpoints and membership -----------------------------------------------------------------------------
