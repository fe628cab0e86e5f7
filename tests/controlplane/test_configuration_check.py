"""The configuration check reports all findings together, each with its path."""

import msgspec
import pytest

from lynxscale.controlplane.configuration_check import check_configuration


@pytest.mark.parametrize(
    ("body", "paths"),
    [
        (b'{"generation":1,"routes":[', ["body"]),
        (b"[]", ["body"]),
        (b"{}", ["generation", "routes", "services"]),
        (b'{"generation":"x","routes":[7],"services":[{}]}', ["generation", "services[0].name", "routes[0]"]),
    ],
)
def test_unreadable_parts_are_reported_by_path(body, paths):
    assert [finding.path for finding in check_configuration(body).failure()] == paths


def test_zero_weights_and_unknown_services_are_reported():
    route = {"name": "r", "host": "h", "path-prefix": "/", "route-type": "safe", "timeout-ms": 5}
    split = [{"backend": "a", "weight": 0}, {"backend": "b", "weight": 0}]
    table = {"generation": 2, "routes": [route | {"weighted-backends": split}], "services": [{"name": "a"}]}
    findings = [str(finding) for finding in check_configuration(msgspec.json.encode(table)).failure()]
    assert findings == [
        "routes[0].weighted-backends[1].backend: no service 'b'",
        "routes[0].weighted-backends: the weights sum to 0",
    ]
