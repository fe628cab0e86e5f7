"""Polling of the platform's endpoint list by the primary, and by isolated relays, on a simulated tier."""

import msgspec
import pytest

from lab.tier.simulated_tier import SimulatedTier
from lynxscale.discovery.endpoint import Endpoint
from lynxscale.discovery.endpoint_poller import MAX_PAGES, EndpointPoller
from lynxscale.runtime.http_server import ServerConnection
from lynxscale.runtime.http_types import Head, Request, Response
from lynxscale.runtime.responder import Responder
from lynxscale.runtime.server_limits import ServerLimits
from tests.simulated_tier import settled_tier


def test_a_draining_endpoint_gets_no_more_requests_although_the_polling_primary_is_lost():
    tier = settled_tier()
    index = next(n for n, e in enumerate(tier.platform.listed) if e.id == "i-2")
    tier.platform.listed[index] = msgspec.structs.replace(tier.platform.listed[index], state="draining")
    tier.kill_control(tier.primary().publisher.address.partition(":")[0])
    tier.world.run(tier.world.time + 3.0)
    before = len(tier.endpoints["i-2"].executed)
    for _ in range(6):
        assert tier.request("/book/1").status == 200
    assert len(tier.endpoints["i-2"].executed) == before


def test_relays_without_any_primary_poll_the_list_themselves():
    tier = settled_tier()
    tier.world.run(tier.world.time + 1)
    for host in tier.control_hosts[:2]:
        tier.kill_control(host)
    index = next(n for n, e in enumerate(tier.platform.listed) if e.id == "i-2")
    tier.platform.listed[index] = msgspec.structs.replace(tier.platform.listed[index], state="draining")
    calls = tier.platform.calls
    tier.world.run(tier.world.time + 3.0)
    before = len(tier.endpoints["i-2"].executed)
    for _ in range(6):
        assert tier.request("/book/1").status == 200
    assert len(tier.endpoints["i-2"].executed) == before
    assert tier.platform.calls - calls < 20


def test_only_the_primary_polls_the_list():
    tier = settled_tier()
    calls, start = tier.platform.calls, tier.world.time
    tier.world.run(start + 6)
    assert tier.platform.calls - calls <= 11


class PagedPlatform:
    """Serves a list with one endpoint per page and ``last`` pages."""

    def __init__(self, tier: SimulatedTier, last: int) -> None:
        self.address = "10.9.0.1:80"
        self.pages = 0
        self._last = last
        clock = tier.world.machine(self.address).clock()
        listen = tier.listener(self.address)
        listen(self.address, lambda: ServerConnection(self._handle, ServerLimits(), clock, set()))

    def _handle(self, request: Request, responder: Responder) -> None:
        self.pages += 1
        number = int(request.target.rpartition("=")[2]) if "=" in request.target else 1
        token = str(number + 1) if number < self._last else None
        endpoint = Endpoint(f"e{number:04d}", "model", "10.0.0.1:1", "north", 1, "ready")
        body = msgspec.json.encode({"instances": [endpoint], "next-page-token": token})
        responder.respond(Response(200, Head(()), body))


@pytest.mark.parametrize(("pages", "lists"), [(MAX_PAGES, 1), (MAX_PAGES + 1, 0)])
def test_a_list_that_is_longer_than_all_pages_replaces_nothing(pages, lists):
    """Guards against applying a partial list: relays would remove the endpoints of the missing pages."""
    tier = settled_tier()
    world = tier.world
    platform = PagedPlatform(tier, pages)
    received: list[list[Endpoint]] = []
    clock = world.machine("10.9.0.2:1").clock()
    poller = EndpointPoller(platform.address, clock, tier.tcp.dialer("10.9.0.2:1"), received.append)
    poller.start()
    assert world.run_until(lambda: platform.pages >= MAX_PAGES, 30.0)
    world.run(world.time + 0.1)
    poller.stop()
    assert [len(endpoints) for endpoints in received] == [pages] * lists
