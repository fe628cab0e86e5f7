"""Hosts of routes and requests are compared without their case and port, at relays and by the check."""

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from lab.tier.simulated_tier import HOST, default_configuration
from lynxscale.configuration.document import published_form
from lynxscale.configuration.hosts import normalized_host
from lynxscale.controlplane.configuration_check import check_configuration
from lynxscale.controlplane.newest_configuration import CurrentConfiguration, stored_configuration
from lynxscale.dataplane.routing import decode_route_table
from tests.simulated_tier import settled_tier

INVALID_HOSTS = (
    "a b", "a.example/", "user@a.example", "a.example:abc", "a.example:80:90", ":80", "::1", "[::1", "[:::]",
    "[fe80::1%25eth0]", "[v1.a]", "http://a.example", "a%zz.example", "m\u00fcnchen.example",
    "\u212a.example", "a:\u0663",
)  # fmt: skip


@pytest.mark.parametrize(
    ("host", "compared"),
    [
        ("Mesas.Santander.example", "mesas.santander.example"),
        ("h.example:8080", "h.example"),
        ("h.example:", "h.example"),
        ("[2001:DB8::1]:80", "[2001:db8::1]"),
        ("[::1]", "[::1]"),
        ("[0:0::0:1]:", "[::1]"),
        ("10.0.0.1:80", "10.0.0.1"),
        ("XN--MNCHEN-3YA.example", "xn--mnchen-3ya.example"),
        ("a_b.example.", "a_b.example."),
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


@pytest.mark.parametrize("host", INVALID_HOSTS)
def test_an_invalid_host_has_no_form(host):
    assert normalized_host(host) is None


@given(st.one_of(st.text(), st.text(alphabet="aA:.[]%0159 -", max_size=12), st.sampled_from(INVALID_HOSTS)))
def test_the_form_of_a_form_is_the_form_itself(host):
    """Regression: hosts are published as they are compared, and compared again by relays."""
    form = normalized_host(host)
    assert form is None or normalized_host(form) == form


def configuration_with_taken_place() -> dict:
    """A configuration as the program before acknowledged it: the last route has an invalid host."""
    configuration = default_configuration(2)
    taking = {"name": "taking", "host": f"{HOST}:80:90", "path-prefix": "/look/most/"}
    configuration["routes"].append(configuration["routes"][2] | taking)
    return configuration


def test_a_route_with_an_invalid_host_takes_no_requests_of_another():
    """Regression: ``tier.example:80:90`` was published as ``tier.example:80`` and found as ``tier.example``."""
    body = msgspec.json.encode(configuration_with_taken_place())
    table = decode_route_table(msgspec.Raw(published_form(body)))
    assert table.find(HOST, "/look/most/1").name == "look"
    assert table.find(f"{HOST}:80:90", "/look/most/1") is None


def test_relays_are_not_sent_the_hosts_that_the_program_before_derived():
    """It stored ``tier.example:80`` as what relays read, beside ``tier.example:80:90`` as it was written."""
    written = configuration_with_taken_place()
    derived = configuration_with_taken_place()
    derived["routes"][-1]["host"] = f"{HOST}:80"
    stored = CurrentConfiguration(2, *(msgspec.Raw(msgspec.json.encode(form)) for form in (derived, written)))
    table = decode_route_table(msgspec.Raw(stored.published))
    assert table.find(HOST, "/look/most/1").name == "look"


class EarlierRecord(msgspec.Struct):
    """The configuration in force as the program before stores and reads it."""

    generation: int
    body: msgspec.Raw
    written: msgspec.Raw | msgspec.UnsetType = msgspec.UNSET


def test_the_program_before_reads_what_is_stored_and_is_understood_in_turn():
    """Amid an upgrade and after a roll back: it ignores ``form``, and what it stores has none."""
    configuration = default_configuration(2)
    configuration["routes"][2]["host"] = f"{HOST.upper()}:80"
    written = msgspec.json.encode(configuration)
    stored = stored_configuration(2, written)
    record = msgspec.json.decode(msgspec.json.encode(stored), type=EarlierRecord)
    assert (record.generation, bytes(record.written)) == (2, written)
    assert bytes(record.body) == stored.published
    read_again = msgspec.json.decode(msgspec.json.encode(record), type=CurrentConfiguration)
    assert read_again.form is msgspec.UNSET
    assert (read_again.as_written, read_again.published) == (written, stored.published)
