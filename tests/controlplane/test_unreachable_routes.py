"""Regression (related to review case 8): routes that no request can match were acknowledged; each is a finding now."""

import msgspec
import pytest
from returns.result import Success

from lab.tier.configuration_grammar import INVALID_HOSTS, INVALID_PREFIXES
from lab.tier.simulated_tier import default_configuration
from lynxscale.controlplane.configuration_check import check_configuration
from tests.simulated_tier import settled_tier

UNREACHABLE = [("host", host) for host in (*INVALID_HOSTS, "a.example:abc", "m\u00fcnchen.example", "[:::]")]
UNREACHABLE += [("path-prefix", prefix) for prefix in (*INVALID_PREFIXES, "/x/\n", "//x")]
REACHABLE_HOSTS = ("Mesas.Santander.example:8080", "[2001:DB8::1]", "10.0.0.1:80", "xn--mnchen-3ya.example", "a_b.", "")
REACHABLE_PREFIXES = ("/", "//", "/a/b/", "/%20x/", "/a:b@c!$&'()*+,;=~._-/", '/{"x"}|/')


def with_field(name, value):
    """The default configuration, with one field of its first route changed."""
    configuration = default_configuration(2)
    configuration["routes"][0][name] = value
    return configuration


@pytest.mark.parametrize(("name", "value"), UNREACHABLE)
def test_a_route_that_no_request_can_match_is_refused_at_its_place(name, value):
    (finding,) = check_configuration(msgspec.json.encode(with_field(name, value))).failure()
    assert finding.path == f"routes[0].{name}"
    assert finding.message.startswith("want ")


@pytest.mark.parametrize(("name", "value"), [("host", "a b"), ("path-prefix", "/x")])
def test_an_update_with_such_a_route_is_refused_and_changes_nothing(name, value):
    tier = settled_tier()
    route = default_configuration(2)["routes"][0] | {name: value}
    response = tier.update({"generation": 2, "upsert": {"routes": [route]}}, 1)
    assert (response.status, b"result.routes[0].%b" % name.encode() in response.body) == (400, True)
    assert b'"generation":1' in tier.operator_call("GET", "/config/read").body


def test_what_is_wrong_with_a_route_is_told_together():
    configuration = with_field("host", "*.example")
    configuration["routes"][0] |= {"path-prefix": "x", "timeout-ms": 0}
    paths = [finding.path for finding in check_configuration(msgspec.json.encode(configuration)).failure()]
    assert paths == ["routes[0].timeout-ms", "routes[0].host", "routes[0].path-prefix"]


@pytest.mark.parametrize("host", REACHABLE_HOSTS)
@pytest.mark.parametrize("prefix", REACHABLE_PREFIXES)
def test_a_route_that_a_request_can_match_is_acknowledged_and_found(host, prefix):
    configuration = with_field("host", host)
    configuration["routes"][0]["path-prefix"] = prefix
    tier = settled_tier()
    assert isinstance(check_configuration(msgspec.json.encode(configuration)), Success)
    assert tier.push(configuration, 1).status == 200
    tier.world.run(tier.world.time + 1.0)
    assert all(r.route_table.find(host, f"{prefix}1").name == "kept" for r in tier.relays.values())


def test_a_change_that_the_program_before_acknowledged_is_acknowledged_again(monkeypatch):
    """Its operator may not have got the answer: an order that was taken is never refused."""
    tier = settled_tier()
    with monkeypatch.context() as before:
        before.setattr("lynxscale.controlplane.configuration_check.MATCH_VIOLATIONS", {})
        assert tier.push(with_field("host", "*.example"), 1).status == 200
    assert tier.push(with_field("host", "*.example"), 1).status == 200
    assert tier.push(with_field("host", "*.example") | {"generation": 3}, 2).status == 400
    assert tier.push(default_configuration(3), 2).status == 200
