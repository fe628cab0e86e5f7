"""A relay's own responses, its status, and its behaviour without a primary."""

import msgspec

from lab.tier.simulated_tier import INTERNAL_PORT, SimulatedTier
from lab.tier.world import World
from lynxscale.dataplane.service import DIRECT_POLL_RATE_SHARE, MIN_DIRECT_POLL_INTERVAL_S
from lynxscale.dataplane.status import RelayStatus
from lynxscale.discovery.endpoint_poller import POLL_INTERVAL_S
from lynxscale.runtime.http_types import Head, Request, Response
from lynxscale.runtime.settings import Listen
from tests.simulated_tier import settled_tier


def test_no_route_is_404_and_no_configuration_is_503_after_a_wait():
    tier = settled_tier()
    assert tier.request("/nowhere/").status == 404
    empty = SimulatedTier(World(2))
    empty.world.run(2.0)
    answer = empty.request("/look/1")
    assert answer.status == 503
    assert float(answer.head.text(b"retry-after")) > 0


class RecordingResponder:
    """Records the last response. Implements the part of Responder that is used here."""

    def __init__(self) -> None:
        self.response = Response(0)

    def respond(self, response: Response) -> None:
        """Part of Responder."""
        self.response = response


def readiness(tier: SimulatedTier, target: str = "/ready") -> Response:
    """Return the first relay's response on its readiness address."""
    responder = RecordingResponder()
    relay = tier.relays[tier.relay_hosts[0]]
    relay.handle_readiness(Request("GET", target, Head(())), responder)
    return responder.response


def test_the_readiness_address_tells_whether_the_relay_may_get_requests():
    tier = settled_tier()
    relay = tier.relays[tier.relay_hosts[0]]
    assert readiness(tier).status == 200
    relay.stopping = True
    assert readiness(tier).status == 503
    empty = SimulatedTier(World(2))
    empty.world.run(1.0)
    assert readiness(empty).status == 503


def test_the_status_page_tells_the_configuration_and_every_endpoint():
    tier = settled_tier()
    response = readiness(tier, "/status")
    status = msgspec.json.decode(response.body, type=RelayStatus)
    assert response.status == 200
    assert (status.ready, status.stopping, status.generation) == (True, False, 1)
    assert len(status.endpoints) == 4 and status.primary
    assert 0 <= status.confirmed_age_s < 2.0


def test_an_isolated_relay_closes_connections_polls_by_itself_and_stops_once_it_is_not():
    tier = settled_tier()
    relay = tier.relays[tier.relay_hosts[0]]
    own = relay.tree.address
    for host in (*tier.control_hosts, *tier.relay_hosts[1:]):
        tier.world.partition(own, f"{host}:{INTERNAL_PORT}")
    assert not relay.limits.closing
    assert tier.world.run_until(lambda: relay.isolated, 20.0)
    calls = tier.platform.calls
    tier.world.run(tier.world.time + 3)
    assert relay.limits.closing and not relay.ready and readiness(tier).status == 503
    polled_by_both = tier.platform.calls - calls
    tier.world.heal()
    assert tier.world.run_until(lambda: not relay.isolated, 20.0)
    tier.world.run(tier.world.time + 1)
    calls = tier.platform.calls
    tier.world.run(tier.world.time + 3)
    assert not relay.limits.closing and relay.ready
    assert tier.platform.calls - calls <= 3.0 / POLL_INTERVAL_S + 1 < polled_by_both  # the primary alone polls


def test_isolated_relays_keep_together_within_their_share_of_the_platforms_rate():
    tier = settled_tier()
    relay = tier.relays[tier.relay_hosts[0]]
    assert tier.world.run_until(lambda: len(relay.tree.roster) == 3, 10.0)
    assert relay._direct_poll_interval_s() == MIN_DIRECT_POLL_INTERVAL_S
    relay._platform_rate_per_s = 2.0
    assert relay._direct_poll_interval_s() == 3 / (DIRECT_POLL_RATE_SHARE * 2.0)


def test_a_relay_contacts_the_members_that_are_there_and_the_seeds_of_its_settings():
    tier = settled_tier(controls=4)
    host = tier.relay_hosts[0]
    relay = tier.relays[host]
    members = [f"{control}:{INTERNAL_PORT}" for control in tier.control_hosts]
    assert tier.world.run_until(lambda: set(members[:3]) <= set(relay.tree.contacts), 5.0)
    changed = msgspec.structs.replace(tier.settings(host, False, Listen(), 1), seeds=("10.9.9.9:8000",))
    relay.settings_changed(changed)
    assert f"10.9.9.9:{INTERNAL_PORT}" in relay.tree.contacts
    assert set(relay._members) <= set(relay.tree.contacts)


def test_a_relay_tells_its_ring_of_another_primary():
    tier = settled_tier()
    relay = tier.relays[tier.relay_hosts[0]]
    lost = tier.primary().publisher.address
    tier.world.run(tier.world.time + 2)
    assert relay.ring.primary == lost
    tier.kill_control(lost.partition(":")[0])
    assert tier.world.run_until(lambda: tier.primary() is not None, 5.0)
    tier.world.run(tier.world.time + 2)
    assert relay.ring.primary == tier.primary().publisher.address != lost
