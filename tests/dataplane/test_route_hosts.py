"""Hosts of routes and requests are compared without their case and port, at relays and by the check."""

import msgspec
import pytest

from lab.tier.simulated_tier import default_configuration
from lynxscale.configuration.hosts import normalized_host
from lynxscale.controlplane.configuration_check import check_configuration
from tests.simulated_tier import settled_tier


@pytest.mark.parametrize(
    ("host", "compared"),
    [
        ("Mesas.Santander.example", "mesas.santander.example"),
        ("h.example:8080", "h.example"),
        ("h.example:", "h.example"),
        ("[2001:DB8::1]:80", "[2001:db8::1]"),
        ("[::1]", "[::1]"),
        ("", ""),
    ],
)
def test_a_host_is_compared_in_lower_case_without_its_port(host, compared):
    assert normalized_host(host) == compared


@pytest.mark.parametrize("host", ["Mesas.Santander.example", "mesas.santander.example:443"])
def test_a_route_is_found_however_its_host_is_written(host):
    """Regression (review case 8): a route whose host has a capital letter or a port got 404 for good."""
    tier = settled_tier()
    configuration = default_configuration(2)
    configuration["routes"][2] |= {"host": host}
    assert tier.push(configuration, 1).status == 200
    tier.world.run(tier.world.time + 1.0)
    for sent in (host, "mesas.santander.example", "MESAS.santander.example:8149"):
        for relay in tier.relays.values():
            assert relay.route_table.find(sent, "/look/1").name == "look"
    assert b'"host":"%b"' % host.encode() in tier.operator_call("GET", "/config/read").body
    published = msgspec.json.decode(tier.primary().publisher.topics["config"].value)  # for relays of the program before
    assert published["routes"][2]["host"] == "mesas.santander.example"


def test_routes_of_one_host_written_in_two_ways_are_the_same_place():
    configuration = default_configuration()
    configuration["routes"].append(configuration["routes"][0] | {"host": "TIER.example:80"})
    (finding,) = check_configuration(msgspec.json.encode(configuration)).failure()
    assert str(finding) == "routes[4]: host and path-prefix are those of routes[0]"
