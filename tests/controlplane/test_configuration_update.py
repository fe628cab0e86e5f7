"""Updates of the configuration: their findings and their results."""

import msgspec
import pytest

from lynxscale.controlplane.configuration_update import apply_update, check_update


@pytest.mark.parametrize(
    ("body", "paths"),
    [
        (b"7", ["body"]),
        (b'{"upsert":[],"remove":{"limits":[]},"routes":[]}', ["generation", "routes", "upsert", "remove.limits"]),
        (
            b'{"generation":2,"upsert":{"routes":[7,{}]},"remove":{"services":[1]}}',
            ["upsert.routes[0]", "upsert.routes[1].name", "remove.services[0]"],
        ),
        (
            b'{"generation":2,"upsert":{"routes":[{"name":"a"},{"name":"a"}]},"remove":{"routes":["a","b","b"]}}',
            ["upsert.routes", "remove.routes", "remove.routes"],
        ),
    ],
)
def test_findings_of_an_update_are_reported_by_path(body, paths):
    assert [finding.path for finding in check_update(body).failure()] == paths


def test_an_update_changes_only_what_it_names_and_its_result_is_checked_completely():
    route = {"name": "r", "host": "h", "path-prefix": "/", "route-type": "safe", "timeout-ms": 5, "backend": "a"}
    other = route | {"name": "o", "path-prefix": "/o/"}
    limits = {"idle-timeout-ms": 9}
    table = {"generation": 2, "routes": [route, other], "services": [{"name": "a"}], "limits": limits}

    def outcome(**parts):
        return check_update(msgspec.json.encode({"generation": 5} | parts)).bind(
            lambda update: apply_update(table, update)
        )

    changed, added = route | {"timeout-ms": 7.5}, route | {"name": "n", "path-prefix": "/n/"}
    complete = outcome(upsert={"routes": [added, changed]}, remove={"routes": ["o"]}).unwrap()
    assert complete == {"generation": 5, "routes": [changed, added], "services": [{"name": "a"}], "limits": limits}
    rejected = {
        "remove.routes[0]": outcome(remove={"routes": ["nobody"]}),
        "result.routes[0].backend": outcome(remove={"services": ["a"]}),
        "result.routes[2]": outcome(upsert={"routes": [added | {"path-prefix": "/o/"}]}),
        "result.routes[0].timeout-ms": outcome(upsert={"routes": [route | {"timeout-ms": 0}]}),
    }
    assert {path: result.failure()[0].path for path, result in rejected.items()} == {path: path for path in rejected}


def test_an_update_never_silently_drops_one_of_two_entries_with_one_name():
    """A configuration may contain two entries of the same name at different positions of a list."""
    route = {"name": "r", "host": "h", "path-prefix": "/", "route-type": "safe", "timeout-ms": 5, "backend": "a"}
    duplicate = route | {"path-prefix": "/twin/"}
    table = {"generation": 2, "routes": [route, duplicate], "services": [{"name": "a"}]}
    other = {"generation": 3, "upsert": {"services": [{"name": "b"}]}}
    assert apply_update(table, other).unwrap()["routes"] == [route, duplicate]
    both = apply_update(table, {"generation": 3, "upsert": {"routes": [route | {"timeout-ms": 9}]}})
    assert [finding.path for finding in both.failure()] == ["result.routes[1]"]
    assert apply_update(table, {"generation": 3, "remove": {"routes": ["r"]}}).unwrap()["routes"] == []
