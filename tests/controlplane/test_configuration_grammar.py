"""Configurations drawn by their grammar, with faults put in: what is acknowledged is read by relays, and in force.

``CONFIGURATION_EXAMPLES`` sets how many are drawn.
"""

import os
import sys
from copy import deepcopy

import msgspec
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st
from returns.result import Failure, Success

from lab.tier.simulated_tier import default_configuration
from lynxscale.configuration.constrained_types import has_valid_fields
from lynxscale.configuration.document import comparable_form, published_form
from lynxscale.configuration.field_check import struct_findings
from lynxscale.configuration.field_rules import field_rules
from lynxscale.configuration.model import ROUTE_TYPES, Configuration, Route
from lynxscale.controlplane.configuration_check import check_configuration
from lynxscale.controlplane.configuration_update import (
    EMPTY_CONFIGURATION,
    apply_update,
    check_update,
    decode_acknowledged,
)
from lynxscale.controlplane.newest_configuration import CURRENT_KEY, CurrentConfiguration, stored_configuration
from lynxscale.dataplane.routing import decode_route_table
from tests import earlier_configuration
from tests.simulated_tier import settled_tier

EXAMPLES = int(os.environ.get("CONFIGURATION_EXAMPLES", "300"))
DRAWN = settings(max_examples=EXAMPLES, deadline=None, derandomize=True, suppress_health_check=list(HealthCheck))


def whole(minimum):
    """A whole number, written as one or with a fraction of 0."""
    return st.integers(minimum, 10_000).flatmap(lambda number: st.sampled_from([number, float(number)]))


def optional(**fields):
    """An object with some of the fields."""
    return st.fixed_dictionaries({}, optional={name.replace("_", "-"): field for name, field in fields.items()})


SERVICES = ("a", "b", "c")
NUMBERS = st.one_of(whole(1), st.floats(0.5, 1e6))
TARGETS = st.fixed_dictionaries({"backend": st.sampled_from(SERVICES), "weight": NUMBERS})
TARGET = st.one_of(
    st.fixed_dictionaries({"backend": st.sampled_from(SERVICES)}),
    st.fixed_dictionaries({"weighted-backends": st.lists(TARGETS, min_size=1, max_size=3)}),
)
REQUIRED = {"name": st.text(max_size=4), "route-type": st.sampled_from(ROUTE_TYPES), "timeout-ms": NUMBERS}
ROUTE = st.builds(
    lambda required, target, rest: required | target | rest,
    st.fixed_dictionaries(REQUIRED),
    TARGET,
    optional(
        target_latency_ms=NUMBERS,
        priority=whole(0),
        max_attempts=whole(1),
        retained=st.booleans(),
        retention_s=NUMBERS,
        session_affinity=st.booleans(),
        resumable=st.booleans(),
        unknown=st.none(),
    ),
)
ENGINE = st.one_of(st.none(), optional(slots=whole(1), stream_stride=whole(1), kv_capacity_tokens=whole(0)))
SERVICE = optional(max_connections=whole(1), engine=ENGINE)
LIMITS = optional(
    max_header_bytes=whole(1), max_body_bytes=whole(0), header_timeout_ms=NUMBERS, idle_timeout_ms=NUMBERS
)
CONFIGURATION = st.builds(
    lambda generation, routes, services, rest: {
        "generation": generation,
        "routes": [route | {"host": f"h{n}", "path-prefix": "/"} for n, route in enumerate(routes)],
        "services": [service | {"name": name} for name, service in zip(SERVICES, services, strict=True)],
    }
    | rest,
    whole(1),
    st.lists(ROUTE, max_size=4),
    st.tuples(SERVICE, SERVICE, SERVICE),
    optional(limits=LIMITS),
)
OTHER_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from(["", "x", 0, -1, 2**64, -0.5, 1.5, 1e300, 10**400, [], {}, [[]], [{}], [None], {"name": []}]),
)


def places(value, path=()):
    """The path of each value within a JSON value."""
    yield path
    entries = value.items() if isinstance(value, dict) else enumerate(value) if isinstance(value, list) else ()
    for key, entry in entries:
        yield from places(entry, (*path, key))


def parent_of(configuration, path):
    """The object or list that holds the value at a path."""
    for key in path[:-1]:
        configuration = configuration[key]
    return configuration


@st.composite
def changed_configurations(draw):
    """A configuration in which some values are replaced by ones of any kind, or left out."""
    configuration = deepcopy(draw(CONFIGURATION))
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from([path for path in places(configuration) if path] or [("generation",)]))
        if draw(st.booleans()):
            parent_of(configuration, path)[path[-1]] = deepcopy(draw(OTHER_VALUES))
        elif path in places(configuration):
            del parent_of(configuration, path)[path[-1]]
    return configuration


def is_read(body):
    """Whether relays of this program and of the one before read a configuration that is acknowledged."""
    published = published_form(body)
    decode_route_table(msgspec.Raw(published))
    return earlier_configuration.is_readable(published)


@DRAWN
@given(CONFIGURATION)
def test_a_proper_configuration_is_acknowledged_and_read_by_relays(configuration):
    body = msgspec.json.encode(configuration)
    assert isinstance(check_configuration(body), Success), check_configuration(body)
    assert is_read(body)


@DRAWN
@given(changed_configurations())
def test_what_is_acknowledged_is_read_by_relays_and_the_rest_has_findings(configuration):
    """Regression (review case 6): of 116 such configurations 50 were acknowledged that no relay could read."""
    body = msgspec.json.encode(configuration)
    checked = check_configuration(body)
    if isinstance(checked, Success):
        assert is_read(body)
    else:
        assert all(finding.path and finding.message for finding in checked.failure())


@DRAWN
@given(changed_configurations())
def test_all_fields_at_once_are_valid_if_and_only_if_there_are_no_findings(configuration):
    """The fast check of fields and the one that tells all findings must not differ."""
    document = comparable_form(msgspec.json.decode(msgspec.json.encode(configuration)))
    assert has_valid_fields(document, Configuration) == (not struct_findings("", document, Configuration))


def python_calls(function):
    """The number of calls of Python functions that a call makes."""
    count = 0

    def on_event(frame, event, argument):
        nonlocal count
        count += event == "call"

    sys.setprofile(on_event)
    try:
        function()
    finally:
        sys.setprofile(None)
    return count


@pytest.mark.parametrize("attempts", [2, 2.0])
def test_a_large_change_is_checked_and_stored_without_a_call_for_each_field(attempts):
    """Regression: 8,000 routes with numbers like 2.0 held the primary for longer than its lease, so it lost it."""
    configuration = default_configuration(2)
    route = configuration["routes"][0] | {"max-attempts": attempts}
    count = 1000
    configuration["routes"] = [route | {"name": f"r{n}", "host": f"h{n}"} for n in range(count)]
    body = msgspec.json.encode(configuration)
    assert isinstance(check_configuration(body), Success)
    fields = count * len(field_rules(Route))
    assert python_calls(lambda: check_configuration(body)) < fields
    assert python_calls(lambda: stored_configuration(2, body)) < fields
    assert python_calls(lambda: decode_acknowledged(stored_configuration(2, body))) < fields


@DRAWN
@given(CONFIGURATION, changed_configurations())
def test_an_update_is_checked_like_a_replacement(configuration, changed):
    lists = {name: changed[name] for name in ("routes", "services") if name in changed}
    body = msgspec.json.encode({"generation": 10_001, "upsert": lists})
    updated = check_update(body).bind(lambda update: apply_update(configuration, update))
    if isinstance(updated, Success):
        assert is_read(msgspec.json.encode(updated.unwrap()))


@settings(parent=DRAWN, max_examples=max(20, EXAMPLES // 10))
@given(st.binary(max_size=40))
def test_any_bytes_are_answered(body):
    assert isinstance(check_configuration(body), Failure)
    updated = check_update(body).bind(lambda update: apply_update(EMPTY_CONFIGURATION, update))
    assert isinstance(updated, (Success, Failure))


WRONG_VALUES = (None, "x", [], {}, True, -1, 2.5, [[]])
ONE_FAULT = [(path, value) for path in places(default_configuration(3)) if path for value in WRONG_VALUES]


def test_each_field_of_another_kind_is_refused_or_read():
    """Each value of a configuration, with one of each kind in its place."""
    acknowledged = 0
    for path, value in ONE_FAULT:
        configuration = deepcopy(default_configuration(3))
        parent_of(configuration, path)[path[-1]] = value
        body = msgspec.json.encode(configuration)
        if isinstance(check_configuration(body), Success):
            acknowledged += 1
            assert is_read(body), (path, value)
    assert len(ONE_FAULT) > 300 and 0 < acknowledged < len(ONE_FAULT) / 4


@pytest.mark.parametrize(
    ("body", "path"),
    [
        (b"[" * 100_000 + b"]" * 100_000, "body"),
        (b'{"a":' * 100_000 + b"1" + b"}" * 100_000, "body"),
        (b'{"generation":1,"generation":2,"routes":[],"services":[]}', "body"),
        (b'{"generation":1,"routes":[],"services":[{"name":"a","name":"b"}]}', "body"),
        (b'{"generation":1,"routes":[],"services":[{"name":"a:b","max-connections":1,"max-connections":2}]}', "body"),
        (b'{"generation":1,"routes":[],"services":[],"note":[{"a":{"b":1,"b":1}}]}', "body"),
        (b'{"generation":NaN,"routes":[],"services":[]}', "body"),
        (b'{"generation":1,"routes":[],"services":[{"name":"\xff"}]}', "body"),
        (b'{"generation":1,"routes":[],"services":[{"name":"\\ud800"}]}', "body"),
        (b'{"generation":18446744073709551616,"routes":[],"services":[]}', "generation"),
        (b'{"generation":1e300,"routes":[],"services":[]}', "generation"),
        (b'{"generation":7.5,"routes":[],"services":[]}', "generation"),
    ],
    ids=[
        "deep list",
        "deep object",
        "twice",
        "twice within",
        "twice beside a colon",
        "twice in depth",
        "nan",
        "utf-8",
        "surrogate",
        "64 bits",
        "huge",
        "fraction",
    ],
)
def test_a_body_that_cannot_be_read_in_full_is_a_finding(body, path):
    assert [finding.path for finding in check_configuration(body).failure()] == [path]


def test_colons_in_texts_are_no_names_that_occur_twice():
    configuration = default_configuration(2)
    configuration["routes"][0]["host"] = "tier.example:8080"
    configuration["note"] = ["::", {"a:": ":"}]
    assert isinstance(check_configuration(msgspec.json.encode(configuration)), Success)


def test_an_acknowledged_configuration_that_has_faults_is_checked_again():
    """A program before acknowledged it; an update tells them, and does not rely on its fields."""
    configuration = default_configuration(2)
    del configuration["routes"][0]["name"]
    configuration["routes"][1]["priority"] = None
    acknowledged = CurrentConfiguration(2, msgspec.Raw(msgspec.json.encode(configuration)))
    findings = decode_acknowledged(acknowledged).failure()
    assert [finding.path for finding in findings] == ["routes[0].name", "routes[1].priority"]


@pytest.mark.parametrize("operation", ["replace", "update"])
def test_what_is_stored_is_read_by_a_program_before_after_a_roll_back(operation):
    """It publishes the stored body as it is: with 2.0 in it, a relay that is started then would never be ready."""
    tier = settled_tier()
    changed = default_configuration(2)
    changed["routes"][2] |= {"max-attempts": 2.0, "host": "Tier.Example:80"}
    if operation == "replace":
        assert tier.push(changed, 1).status == 200
    else:
        assert tier.update({"generation": 2, "upsert": {"routes": [changed["routes"][2]]}}, 1).status == 200
    stored = msgspec.json.decode(tier.primary().member.store.values[CURRENT_KEY])
    body = msgspec.json.encode(stored["body"])
    assert earlier_configuration.is_readable(body) and b"Tier.Example" not in body
    read = tier.operator_call("GET", "/config/read").body
    assert b'"max-attempts":2.0' in read and b"Tier.Example:80" in read
    assert tier.update({"generation": 3, "upsert": {"services": [{"name": "more"}]}}, 2).status == 200
    assert b'"max-attempts":2.0' in tier.operator_call("GET", "/config/read").body


@pytest.mark.parametrize("operation", ["replace", "update"])
def test_a_change_that_writes_whole_numbers_with_a_fraction_comes_into_force(operation):
    """Regression (review case 6): it was acknowledged, and no relay took it up."""
    tier = settled_tier()
    changed = default_configuration(7)
    changed["generation"] = 7.0
    changed["routes"][2] |= {"max-attempts": 2.0, "priority": 1.0, "timeout-ms": 3000}
    if operation == "replace":
        assert tier.push(changed, 1).status == 200
    else:
        assert tier.update({"generation": 7.0, "upsert": {"routes": [changed["routes"][2]]}}, 1).status == 200
    tier.world.run(tier.world.time + 1.0)
    for relay in tier.relays.values():
        assert relay.route_table.generation == 7
        assert relay.route_table.find("tier.example", "/look/1").timeout_ms == 3000
    tier.kill_relay(tier.relay_hosts[0])
    relay = tier.start_relay(tier.relay_hosts[0])
    assert tier.world.run_until(lambda: relay.ready, 5.0)
    assert earlier_configuration.is_readable(bytes(tier.primary().publisher.topics["config"].value))
    assert b'"max-attempts":2.0' in tier.operator_call("GET", "/config/read").body  # as the operator wrote it
    assert tier.push(default_configuration(8), 7).status == 200
