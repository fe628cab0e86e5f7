"""The operator's requests that change the configuration, on a simulated tier."""

import msgspec

from lab.tier.simulated_tier import SimulatedTier, default_configuration
from lab.tier.world import World
from tests.simulated_tier import settled_tier


def test_of_two_changes_on_one_version_one_is_committed():
    tier = settled_tier()
    assert tier.push(default_configuration(3), 1).status == 200
    other = default_configuration(3)
    other["routes"][0]["timeout-ms"] = 99
    assert tier.push(other, 1).status == 412
    assert tier.push(default_configuration(2), 3).status == 400


def test_an_update_is_committed_like_a_replacement_and_read_back_completely():
    """Seen on the Stadtwerke Steyr days: POST /config/update was answered 404, and every day missed a duty."""
    tier = settled_tier()
    route = default_configuration()["routes"][0] | {"timeout-ms": 1234}
    update = {"generation": 4, "upsert": {"routes": [route]}, "remove": {"routes": ["look"]}}
    assert tier.update(update, 1).status == 200
    assert tier.update(update, 1).status == 200
    wanted = default_configuration(4)
    wanted["routes"] = [route, wanted["routes"][1], wanted["routes"][3]]
    assert msgspec.json.decode(tier.operator_call("GET", "/config/read").body) == wanted
    assert tier.world.run_until(lambda: all(r.route_table.generation == 4 for r in tier.relays.values()), 2.0)
    tier.kill_control(tier.primary().publisher.address.partition(":")[0], power=True)
    assert tier.update(update, 1).status == 200
    assert tier.push(default_configuration(6), 4).status == 200
    assert tier.update(update, 1).status == 200
    assert msgspec.json.decode(tier.operator_call("GET", "/config/read").body)["generation"] == 6


def test_an_update_may_be_the_first_configuration():
    tier = SimulatedTier(World(1))
    table = default_configuration()
    items = {"routes": table["routes"], "services": table["services"]}
    assert tier.update({"generation": 4, "remove": {"routes": ["look"]}}, 0).status == 400
    assert tier.update({"generation": 4, "upsert": items}, 0).status == 200
    read = msgspec.json.decode(tier.operator_call("GET", "/config/read").body)
    assert read == {"generation": 4, **items}
    assert tier.world.run_until(lambda: all(relay.ready for relay in tier.relays.values()), 5.0)


def test_an_update_and_a_replacement_on_one_version_are_never_both_committed():
    tier = settled_tier()
    update = {"generation": 3, "remove": {"routes": ["look"]}}
    assert tier.update(update, 1).status == 200
    assert tier.push(default_configuration(3), 1).status == 412
    assert tier.push(default_configuration(5), 3).status == 200
    assert tier.update({"generation": 6}, 3).status == 412
    assert tier.update({"generation": 5}, 5).status == 400
    answer = tier.update({"generation": 7, "remove": {"routes": ["nobody"]}}, 5)
    assert answer.status == 400
    assert [found["place"] for found in msgspec.json.decode(answer.body)["findings"]] == ["remove.routes[0]"]
    # The same bytes under the other kind are another order.
    assert tier.operator_call("POST", "/config/replace", msgspec.json.encode(update), "1").status == 400


def test_findings_of_an_invalid_configuration_are_returned_together_with_their_paths():
    tier = settled_tier()
    broken = default_configuration(9)
    broken["routes"][0]["backend"] = "nobody"
    broken["routes"][1]["timeout-ms"] = 0
    broken["routes"][3]["path-prefix"] = "/look/"
    answer = tier.push(broken, 1)
    places = [finding["place"] for finding in msgspec.json.decode(answer.body)["findings"]]
    assert answer.status == 400
    assert places == ["routes[0].backend", "routes[1].timeout-ms", "routes[3]"]
    assert tier.primary().operator_api.configuration.current().generation == 1
