"""The laboratory's configurations: what it takes for proper is acknowledged and means the same, the rest is refused."""

import msgspec
from returns.result import Failure, Success

from lab.tier.configuration_grammar import ConfigurationGrammar
from lab.tier.simulated_tier import default_configuration
from lynxscale.controlplane.configuration_check import check_configuration
from lynxscale.controlplane.newest_configuration import stored_configuration
from lynxscale.dataplane.routing import decode_route_table

SEEDS = range(200)


def routes_of(configuration):
    """What a relay makes of a configuration: its routes by host and path, and the services of each."""
    table = decode_route_table(stored_configuration(2, msgspec.json.encode(configuration)).body)
    return {
        (host, route.path_prefix): (
            {backend.backend for backend in route.weighted_backends} or {route.backend},
            msgspec.structs.replace(route, host="", backend="", weighted_backends=()),
        )
        for host, routes in table.routes_by_host.items()
        for route in routes
    }


def test_a_varied_configuration_is_acknowledged_and_means_the_same():
    configuration = default_configuration(2)
    texts = set()
    for seed in SEEDS:
        varied = ConfigurationGrammar(str(seed)).varied(configuration)
        text = msgspec.json.encode(varied)
        assert isinstance(check_configuration(text), Success), check_configuration(text)
        assert routes_of(varied) == routes_of(configuration)
        texts.add(text)
    assert len(texts) == len(SEEDS)


def test_a_configuration_with_a_fault_is_refused_also_if_it_is_varied():
    findings = set()
    for seed in SEEDS:
        grammar = ConfigurationGrammar(str(seed))
        faulty = grammar.with_fault(grammar.varied(default_configuration(2)))
        checked = check_configuration(msgspec.json.encode(faulty))
        assert isinstance(checked, Failure), faulty
        findings |= {finding.message for finding in checked.failure()}
    assert len(findings) > 10
