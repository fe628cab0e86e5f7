"""The operator's requests that read or change the configuration, on a simulated tier."""

from collections.abc import Callable

import msgspec

from lab.tier.simulated_tier import INTERNAL_PORT, SimulatedTier, default_configuration
from lab.tier.world import World
from lynxscale.controlplane.idempotency import ChangeKind
from lynxscale.coordination.messages import put_value
from lynxscale.coordination.messages.distribution import Topic
from lynxscale.discovery.topics import CONFIGURATION_TOPIC
from lynxscale.runtime.http_types import Head, Request, Response
from tests.simulated_tier import settled_tier


def test_of_two_changes_on_one_version_one_is_committed():
    tier = settled_tier()
    assert tier.push(default_configuration(3), 1).status == 200
    other = default_configuration(3)
    other["routes"][0]["timeout-ms"] = 99
    assert tier.push(other, 1).status == 412
    assert tier.push(default_configuration(2), 3).status == 400


def test_an_update_is_committed_like_a_replacement_and_read_back_completely():
    """Guards against a missing route: ``POST /config/update`` was once answered 404, so operators could not update."""
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
    response = tier.update({"generation": 7, "remove": {"routes": ["nobody"]}}, 5)
    assert response.status == 400
    assert [finding["place"] for finding in msgspec.json.decode(response.body)["findings"]] == ["remove.routes[0]"]
    # The same body as a replacement is a different request.
    assert tier.operator_call("POST", "/config/replace", msgspec.json.encode(update), "1").status == 400


def test_findings_of_an_invalid_configuration_are_returned_together_with_their_paths():
    tier = settled_tier()
    broken = default_configuration(9)
    broken["routes"][0]["backend"] = "nobody"
    broken["routes"][1]["timeout-ms"] = 0
    broken["routes"][3]["path-prefix"] = "/look/"
    response = tier.push(broken, 1)
    paths = [finding["place"] for finding in msgspec.json.decode(response.body)["findings"]]
    assert response.status == 400
    assert paths == ["routes[0].backend", "routes[1].timeout-ms", "routes[3]"]
    assert tier.primary().operator_api.configuration.current().generation == 1


BATCH_SEND_DELAY_S = 0.0005  # a batch is in flight after it; puts submitted later go into the next batch


class RecordingResponder:
    """Records the response. Implements the part of Responder that is used here."""

    def __init__(self, on_response: Callable[[], object] = lambda: None) -> None:
        self.response: Response | None = None
        self._on_response = on_response

    def respond(self, response: Response) -> None:
        """Part of Responder."""
        self.response = response
        self._on_response()


def change_to(generation: int, base: int) -> Request:
    """A request that replaces the configuration of version ``base`` by that of version ``generation``."""
    body = msgspec.json.encode(default_configuration(generation))
    return Request("POST", "/config/replace", Head(((b"lynxscale-base-version", b"%d" % base),)), body)


def isolate(tier: SimulatedTier, host: str) -> None:
    """Drop all messages that a control member sends from now on."""
    own = f"{host}:{INTERNAL_PORT}"
    for address in list(tier.world.machines):
        if address != own:
            tier.world.partition(own, address, both_ways=False)


def test_a_read_never_shows_a_change_that_was_submitted_while_it_waited():
    """A read waits for all earlier batches. A change that is submitted meanwhile may never be committed.

    Showing it would not be linearizable: here the primary is isolated as it answers, and its change is lost.
    """
    tier = settled_tier()
    primary = tier.primary()
    host = primary.publisher.address.partition(":")[0]
    read, changed = RecordingResponder(lambda: isolate(tier, host)), RecordingResponder()
    primary.member.submit((put_value("turn", 1),), lambda outcome: None)  # so that the read has to wait for a batch
    tier.world.run(tier.world.time + BATCH_SEND_DELAY_S)
    primary.operator_api.configuration.read(read)
    primary.operator_api.configuration.change(ChangeKind.REPLACE, change_to(2, 1), changed)
    assert tier.world.run_until(lambda: read.response is not None, 1.0)
    assert changed.response is None
    tier.kill_control(host)
    newest = msgspec.json.decode(tier.operator_call("GET", "/config/read").body)
    assert newest["generation"] == 1
    assert msgspec.json.decode(read.response.body)["generation"] == 1


def test_relays_are_sent_no_change_that_is_not_committed_yet():
    """Relays never return to an earlier version: one that is lost would block the next change with the same number."""
    tier = settled_tier()
    primary = tier.primary()
    published: list[int] = []
    update = primary.publisher.update

    def watch(topics: dict[str, Topic]) -> None:
        published.extend(topic.version.number for name, topic in topics.items() if name == CONFIGURATION_TOPIC)
        update(topics)

    primary.publisher.update = watch
    first, second = RecordingResponder(), RecordingResponder()
    primary.operator_api.configuration.change(ChangeKind.REPLACE, change_to(2, 1), first)
    tier.world.run(tier.world.time + BATCH_SEND_DELAY_S)
    primary.operator_api.configuration.change(ChangeKind.REPLACE, change_to(3, 2), second)
    assert tier.world.run_until(lambda: first.response is not None, 1.0)
    assert second.response is None and published == [2]
    assert tier.world.run_until(lambda: second.response is not None, 1.0)
    assert published == [2, 3]
