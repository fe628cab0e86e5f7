"""The route table of a configuration."""

import msgspec
import pytest

from lab.tier.simulated_tier import HOST, MODEL, TOOLS, default_configuration
from lynxscale.dataplane.exceptions import UnusableConfigurationError
from lynxscale.dataplane.routing import decode_route_table
from lynxscale.exceptions import LynxscaleError


def test_the_longest_prefix_wins_whatever_the_hosts_port_and_case():
    configuration = default_configuration()
    configuration["routes"].append(configuration["routes"][2] | {"name": "all", "path-prefix": "/"})
    table = decode_route_table(msgspec.Raw(msgspec.json.encode(configuration)))
    assert table.find(HOST.upper() + ":8080", "/look/1").name == "look"
    assert table.find(HOST, "/other").name == "all"
    assert table.find("elsewhere", "/look/1") is None
    assert (table.tokens_per_event(MODEL), table.tokens_per_event(TOOLS), table.tokens_per_event("none")) == (10, 1, 1)


def test_a_configuration_of_an_unknown_form_is_an_error_that_names_the_field():
    configuration = default_configuration() | {"generation": "three"}
    with pytest.raises(UnusableConfigurationError, match="generation") as caught:
        decode_route_table(msgspec.Raw(msgspec.json.encode(configuration)))
    assert isinstance(caught.value, LynxscaleError)
