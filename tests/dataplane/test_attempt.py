"""Attempts at endpoints."""

from lab.tier.simulated_tier import MODEL
from tests.simulated_tier import endpoints_that_ran, settled_tier


def test_an_address_that_another_endpoint_has_now_executes_nothing():
    tier = settled_tier()
    for name in ("i-2", "i-3"):
        address = tier.endpoints[name].endpoint.address
        tier.platform.rejects = True
        tier.add_endpoint(MODEL, address, f"new-{name}", slots=8)
    answer = tier.request("/book/1", request_id="m")
    assert answer.status == 503
    assert endpoints_that_ran(tier, "m") == []
