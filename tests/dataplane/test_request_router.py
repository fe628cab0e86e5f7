"""Requests at a relay whose route table is, or may be, older than the newest configuration (issue 72, review/3)."""

from __future__ import annotations

from random import Random

import msgspec
import pytest

from lab.tier.fakes import ClientResponse
from lab.tier.simulated_tier import INTERNAL_PORT, SimulatedTier, default_configuration
from lynxscale.controlplane.configuration_endpoint import PreparedChange
from lynxscale.controlplane.newest_configuration import stored_configuration
from lynxscale.coordination.messages import AdmitTurn, Call, Message, ReadConfigurationVersion, TopicUpdate
from lynxscale.dataplane.service import RelayService
from lynxscale.dataplane.status import render
from lynxscale.runtime.responder import Responder
from tests.simulated_tier import OUTPUT, endpoints_that_ran, executed_request, settled_tier

# Duration of a freeze, and when the change comes. The relay is isolated after 1.6 s; its parent drops it after 2 s.
FREEZES_S = ((0.5, 0.0), (1.5, 1.0), (3.5, 3.0), (9.0, 0.5), (9.0, 8.0))
ADDED_PATH = "/added/stream"


def added_route(**fields: object) -> dict:
    """A route for retained turns that the first configuration lacks."""
    return default_configuration()["routes"][0] | {"name": "added", "path-prefix": "/added/"} | fields


def configuration_with(generation: int, *routes: dict) -> dict:
    """The first configuration with further routes."""
    configuration = default_configuration(generation)
    configuration["routes"] += routes
    return configuration


def freeze(tier: SimulatedTier, host: str, seconds: float) -> None:
    tier.world.machine(f"{host}:{INTERNAL_PORT}").freeze(seconds)


def partition_from_members(tier: SimulatedTier, host: str, *others: str, both_ways: bool = True) -> None:
    """Cut a relay from all control members and the given relays; one way: only what it would receive is lost."""
    for other in (*tier.control_hosts, *others):
        tier.world.partition(f"{other}:{INTERNAL_PORT}", f"{host}:{INTERNAL_PORT}", both_ways)


def turn(tier: SimulatedTier, name: str, relay: str, previous: str = "", path: str = ADDED_PATH) -> ClientResponse:
    """Send a turn without waiting for its response."""
    fields = {"program": "p", "budget": "1000", "lynxscale_token_count": "100,40"}
    fields |= {"previous": previous} if previous else {}
    response, _ = tier.start_request(path, relay, f"say {name} ".encode(), request_id=name, **fields)
    return response


def wait_for_end(tier: SimulatedTier, response: ClientResponse) -> int:
    assert tier.world.run_until(lambda: response.ended, 15.0), "the response did not end in time"
    return response.status


def add_route_and_answer_first_turn(tier: SimulatedTier, relay: str, *routes: dict) -> None:
    """Acknowledge a configuration with added routes, and run turn ``t1`` on the first of them through a relay."""
    assert tier.push(configuration_with(3, *(routes or (added_route(),))), 1).status == 200
    first = turn(tier, "t1", relay)
    assert wait_for_end(tier, first) == 200 and first.complete


@pytest.mark.parametrize("wake_seed", range(6))
@pytest.mark.parametrize(("frozen_s", "change_after_s"), FREEZES_S)
def test_a_relay_that_wakes_never_answers_404_to_a_turn_on_a_route_added_meanwhile(frozen_s, change_after_s, wake_seed):
    """Regression, review/3: it answered by its old routes 404, which ends the program (LOST)."""
    tier = settled_tier()
    tier.world.wake_random = Random(wake_seed)
    frozen, other = tier.relay_hosts[:2]
    freeze(tier, frozen, frozen_s)
    tier.world.run(tier.world.time + change_after_s)
    add_route_and_answer_first_turn(tier, other)
    second = turn(tier, "t2", frozen, previous="t1")
    assert wait_for_end(tier, second) == 200
    assert executed_request(tier, "t2").body == b"say t1 " + OUTPUT + b"say t2 "


def test_a_relay_whose_topics_were_just_confirmed_knows_no_more_than_its_table():
    """Regression: an age is no proof. The change is acknowledged and used right after the relay was confirmed."""
    tier = settled_tier()
    relay, other = tier.relay_hosts[:2]
    service = tier.relays[relay]
    assert tier.world.run_until(lambda: service.tree.age_s < 0.02, 2.0)
    partition_from_members(tier, relay, *tier.relay_hosts[1:])
    add_route_and_answer_first_turn(tier, other)
    assert not service.isolated
    assert wait_for_end(tier, turn(tier, "t2", relay, previous="t1")) == 503
    assert endpoints_that_ran(tier, "t2") == []


def settled_tree(relays: int) -> SimulatedTier:
    tier = settled_tier(relays=relays)
    tier.world.run(tier.world.time + 5.0)  # the primary has dropped the relays that have a parent
    return tier


def child_and_parent(tier: SimulatedTier) -> tuple[str, str]:
    """The hosts of a relay and of its parent, which is a relay too."""
    for host, relay in tier.relays.items():
        parent = relay.tree._parent.partition(":")[0]
        if parent in tier.relays:
            return host, parent
    raise AssertionError("no relay has a parent among the relays")


@pytest.mark.parametrize("how", ["frozen", "cut off", "cut off one way", "behind"])
def test_a_turn_is_served_by_a_relay_whose_parent_cannot_bring_it_the_new_route(how):
    tier = settled_tree(relays=8)
    child, parent = child_and_parent(tier)
    other = next(host for host in tier.relay_hosts if host not in (child, parent))
    if how == "frozen":
        freeze(tier, parent, 6.0)
    elif how == "behind":
        freeze(tier, parent, 0.5)
        freeze(tier, child, 0.4)
    else:
        partition_from_members(tier, parent, other, both_ways=how == "cut off")
    add_route_and_answer_first_turn(tier, other)
    second = turn(tier, "t2", child, previous="t1")
    assert wait_for_end(tier, second) == 200
    assert executed_request(tier, "t2").body == b"say t1 " + OUTPUT + b"say t2 "


@pytest.mark.parametrize("one_way", [False, True])
@pytest.mark.parametrize("cut_s", [0.05, 0.5, 3.0])
def test_a_relay_without_a_primary_answers_503_and_runs_no_turn_without_its_history(cut_s, one_way):
    tier = settled_tier()
    cut, other = tier.relay_hosts[:2]
    partition_from_members(tier, cut, *tier.relay_hosts[1:], both_ways=not one_way)
    add_route_and_answer_first_turn(tier, other)
    tier.world.run(tier.world.time + cut_s)
    second = turn(tier, "t2", cut, previous="t1")
    assert wait_for_end(tier, second) == 503
    assert float(second.head.text(b"retry-after")) > 0
    assert endpoints_that_ran(tier, "t2") == []


OLD_KINDS = {
    "plain stream": {"retained": False},
    "safe call": {"retained": False, "route-type": "safe"},
}


@pytest.mark.parametrize("wake_seed", range(4))
@pytest.mark.parametrize("budget", [True, False])
@pytest.mark.parametrize("kind", OLD_KINDS)
def test_a_turn_on_a_route_that_is_retained_now_gets_its_history_at_a_relay_that_wakes(kind, budget, wake_seed):
    """Regression: by its old routes a relay ran the turn without the turns before it (UNASKED)."""
    tier = settled_tier()
    frozen, other = tier.relay_hosts[:2]
    assert tier.push(configuration_with(2, added_route(**OLD_KINDS[kind])), 1).status == 200
    assert tier.world.run_until(lambda: all(relay.route_table.generation == 2 for relay in tier.relays.values()), 2.0)
    tier.world.wake_random = Random(wake_seed)
    freeze(tier, frozen, 1.0)
    assert tier.push(configuration_with(3, added_route()), 2).status == 200
    assert wait_for_end(tier, turn(tier, "t1", other)) == 200
    fields = {"program": "p", "lynxscale_token_count": "100,40", "previous": "t1"} | (
        {"budget": "1000"} if budget else {}
    )
    second, _ = tier.start_request(ADDED_PATH, frozen, b"say t2 ", request_id="t2", **fields)
    assert wait_for_end(tier, second) == 200
    assert executed_request(tier, "t2").body == b"say t1 " + OUTPUT + b"say t2 "


@pytest.mark.parametrize("wake_seed", range(4))
def test_a_first_turn_on_a_route_that_is_retained_now_is_retained_by_a_relay_that_wakes(wake_seed):
    """Regression: by its old routes a relay did not retain the turn, so the next one got 404 elsewhere (LOST)."""
    tier = settled_tier()
    frozen, other = tier.relay_hosts[:2]
    assert tier.push(configuration_with(2, added_route(retained=False)), 1).status == 200
    assert tier.world.run_until(lambda: all(relay.route_table.generation == 2 for relay in tier.relays.values()), 2.0)
    tier.world.wake_random = Random(wake_seed)
    freeze(tier, frozen, 1.0)
    assert tier.push(configuration_with(3, added_route()), 2).status == 200
    assert wait_for_end(tier, turn(tier, "t1", frozen)) == 200
    assert wait_for_end(tier, turn(tier, "t2", other, previous="t1")) == 200


@pytest.mark.parametrize("wake_seed", range(4))
def test_a_turn_follows_its_route_to_another_service_at_a_relay_that_wakes(wake_seed):
    tier = settled_tier()
    frozen, other = tier.relay_hosts[:2]
    tier.add_endpoint("moved", "10.2.0.9:90", "i-9", slots=8)
    assert wait_for_end(tier, turn(tier, "t1", other, path="/kept/stream")) == 200
    changed = default_configuration(3)
    changed["routes"][0]["backend"] = "moved"
    changed["services"].append({"name": "moved", "engine": {"slots": 8, "stream-stride": 10}})
    tier.world.run(tier.world.time + 2.0)
    tier.world.wake_random = Random(wake_seed)
    freeze(tier, frozen, 1.0)
    assert tier.push(changed, 1).status == 200
    assert wait_for_end(tier, turn(tier, "t2", frozen, previous="t1", path="/kept/stream")) == 200
    assert endpoints_that_ran(tier, "t2") == ["i-9"]


def test_a_turn_that_ends_under_a_newer_configuration_is_retained_for_as_long_as_that_says():
    """Regression: the turn expired after the retention of the routes by which it had begun (LOST)."""
    tier = settled_tier()
    relay, other = tier.relay_hosts[:2]
    assert tier.push(configuration_with(2, added_route(**{"retention-s": 1.0})), 1).status == 200
    assert tier.world.run_until(lambda: all(one.route_table.generation == 2 for one in tier.relays.values()), 2.0)
    first = turn(tier, "t1", relay)
    assert tier.world.run_until(lambda: first.body, 2.0)
    partition = [(f"{host}:{INTERNAL_PORT}", f"{relay}:{INTERNAL_PORT}") for host in tier.relay_hosts[1:]]
    freeze(tier, relay, 0.5)
    assert tier.push(configuration_with(3, added_route(**{"retention-s": 120.0})), 2).status == 200
    assert partition and wait_for_end(tier, first) == 200 and first.complete
    tier.world.run(tier.world.time + 60.0)
    assert wait_for_end(tier, turn(tier, "t2", other, previous="t1")) == 200


def test_a_route_that_is_gone_from_the_newest_configuration_is_404_for_a_turn_too():
    tier = settled_tier()
    frozen, other = tier.relay_hosts[:2]
    add_route_and_answer_first_turn(tier, other)
    assert tier.world.run_until(lambda: all(relay.route_table.generation == 3 for relay in tier.relays.values()), 2.0)
    freeze(tier, frozen, 1.0)
    assert tier.push(default_configuration(5), 3).status == 200
    assert wait_for_end(tier, turn(tier, "t2", frozen, previous="t1")) == 404


# In touch ------------------------------------------------------------------------------------------------


class MessageCounter:
    """Counts the calls that relays send to the primary, by the class of their body."""

    def __init__(self, tier: SimulatedTier) -> None:
        self.bodies: list[type] = []
        self._deliver = tier.world.deliver
        tier.world.deliver = self._watch

    def _watch(self, source: str, target: str, message: Message) -> None:
        if isinstance(message, Call):
            self.bodies.append(type(message.body))
        self._deliver(source, target, message)


def test_in_touch_an_unknown_route_is_404_at_once_and_asks_nobody():
    tier = settled_tier()
    calls = MessageCounter(tier)
    began = tier.world.time
    assert tier.request("/nowhere/").status == 404
    assert tier.world.time - began < 0.02 and calls.bodies == []


def test_in_touch_a_retained_turn_costs_an_admission_and_a_commit_and_no_further_call():
    tier = settled_tier()
    calls = MessageCounter(tier)
    assert wait_for_end(tier, turn(tier, "t1", tier.relay_hosts[0], path="/kept/stream")) == 200
    assert wait_for_end(tier, turn(tier, "t2", tier.relay_hosts[1], previous="t1", path="/kept/stream")) == 200
    assert [kind.__name__ for kind in calls.bodies] == ["AdmitTurn", "FinishTurn"] * 2


def test_in_touch_a_turn_on_an_unknown_route_is_404_after_one_read():
    tier = settled_tier()
    calls = MessageCounter(tier)
    assert wait_for_end(tier, turn(tier, "t2", tier.relay_hosts[0], previous="t1", path="/nowhere/stream")) == 404
    assert calls.bodies == [ReadConfigurationVersion]


def test_a_turn_that_is_admitted_again_after_a_change_is_reserved_and_charged_once():
    """The reply to the first admission is lost, and the configuration changes before the call is repeated."""
    tier = settled_tier()
    relay = tier.relay_hosts[0]
    address, primary = f"{relay}:{INTERNAL_PORT}", tier.primary().publisher.address
    tier.world.partition(primary, address, both_ways=False)
    answer = turn(tier, "t1", relay, path="/kept/stream")
    tier.world.run(tier.world.time + 0.1)
    assert tier.push(default_configuration(2), 1).status == 200
    tier.world.heal()
    assert wait_for_end(tier, answer) == 200
    tier.world.run(tier.world.time + 0.5)
    program = msgspec.json.decode(tier.primary().member.store.values["program/p"])
    assert program["spent"] == 40 and program["open"] == {}


def test_a_turn_that_was_admitted_runs_though_its_route_is_gone_when_the_call_is_repeated():
    """The reply to its admission is lost; compared again, the turn would get 404 and leave its reservation."""
    tier = settled_tier()
    relay, other = tier.relay_hosts[:2]
    add_route_and_answer_first_turn(tier, other)
    assert tier.world.run_until(lambda: all(one.route_table.generation == 3 for one in tier.relays.values()), 2.0)
    address, primary = f"{relay}:{INTERNAL_PORT}", tier.primary().publisher.address
    tier.world.partition(primary, address, both_ways=False)
    answer = turn(tier, "t2", relay, previous="t1")
    tier.world.run(tier.world.time + 0.1)
    assert tier.push(default_configuration(5), 3).status == 200
    tier.world.heal()
    assert wait_for_end(tier, answer) == 200
    tier.world.run(tier.world.time + 0.5)
    assert msgspec.json.decode(tier.primary().member.store.values["program/p"])["open"] == {}


def test_a_client_that_leaves_while_its_turn_waits_for_a_newer_configuration_is_not_served():
    tier = settled_tier()
    relay = tier.relay_hosts[0]
    deliver = tier.world.deliver
    held: list[tuple[str, str, Message]] = []

    def hold_updates(source: str, target: str, message: Message) -> None:
        if isinstance(message, TopicUpdate):
            held.append((source, target, message))
        else:
            deliver(source, target, message)

    tier.world.deliver = hold_updates
    assert tier.push(configuration_with(3, added_route()), 1).status == 200
    fields = {"program": "p", "budget": "1000", "lynxscale_token_count": "100,40"}
    _, connection = tier.start_request("/kept/stream", relay, b"say t1 ", request_id="t1", **fields)
    pending = tier.relays[relay]._router._until_newer
    assert tier.world.run_until(lambda: bool(pending._pending), 1.0)
    connection.close()
    tier.world.run(tier.world.time + 0.1)
    tier.world.deliver = deliver
    for source, target, message in held:
        deliver(source, target, message)
    tier.world.run(tier.world.time + 5.0)
    assert tier.relays[relay].route_table.generation == 3
    assert endpoints_that_ran(tier, "t1") == []


def test_a_client_that_leaves_while_its_request_waits_for_a_newer_configuration_is_not_served():
    tier = settled_tier()
    frozen, other = tier.relay_hosts[:2]
    partition_from_members(tier, frozen, *tier.relay_hosts[1:])
    add_route_and_answer_first_turn(tier, other)
    fields = {"program": "p", "budget": "1000", "lynxscale_token_count": "100,40", "previous": "t1"}
    _, connection = tier.start_request(ADDED_PATH, frozen, b"say t2 ", request_id="t2", **fields)
    tier.world.run(tier.world.time + 0.05)
    connection.close()
    tier.world.heal()
    tier.world.run(tier.world.time + 5.0)
    assert endpoints_that_ran(tier, "t2") == []


def acknowledge_unreadable(tier: SimulatedTier, generation: int) -> None:
    """Acknowledge a configuration that no relay can read, as the program before this one did."""
    unreadable = default_configuration(generation)
    unreadable["routes"][0]["max-attempts"] = None
    endpoint = tier.primary().operator_api.configuration
    value = stored_configuration(generation, msgspec.json.encode(unreadable))
    endpoint._submit(PreparedChange("", "an order of its own", value), Responder(None))
    relays = tier.relays.values()
    assert tier.world.run_until(lambda: all(r._configuration.received_version == generation for r in relays), 2.0)


def test_a_turn_is_not_admitted_by_a_version_that_its_relay_cannot_use():
    """Regression (review case 6): admissions stated the version received, so turns ran by the routes before it."""
    tier = settled_tier()
    acknowledge_unreadable(tier, 3)
    relay = tier.relays[tier.relay_hosts[0]]
    assert relay.route_table.generation == 1
    assert wait_for_end(tier, turn(tier, "t1", tier.relay_hosts[0], path="/kept/stream")) == 503
    assert endpoints_that_ran(tier, "t1") == []
    assert tier.request("/nowhere/").status == 503  # the unreadable version may contain the route
    assert wait_for_end(tier, turn(tier, "t2", tier.relay_hosts[0], previous="t1", path="/nowhere/stream")) == 503
    assert tier.request("/look/1").status == 200
    assert tier.push(default_configuration(4), 3).status == 200
    tier.world.run(tier.world.time + 1.0)
    assert wait_for_end(tier, turn(tier, "t3", tier.relay_hosts[0], path="/kept/stream")) == 200


def test_status_tells_which_version_cannot_be_used_and_why():
    """Also of a relay that starts then: it has no version that it can read, and is not ready."""
    tier = settled_tier()
    acknowledge_unreadable(tier, 3)
    tier.kill_relay(tier.relay_hosts[0])
    relay = tier.start_relay(tier.relay_hosts[0])
    assert tier.world.run_until(lambda: isinstance(relay.status().configuration_error, str), 5.0)
    assert not relay.ready
    for status in (relay.status(), tier.relays[tier.relay_hosts[1]].status(), tier.primary().status()):
        assert "max-attempts" in status.configuration_error
    assert "max-attempts" in render(relay.status())
    assert tier.push(default_configuration(4), 3).status == 200
    tier.world.run(tier.world.time + 2.0)
    assert relay.ready and relay.status().configuration_error is msgspec.UNSET
    assert tier.primary().status().configuration_error is msgspec.UNSET


def test_the_primary_of_an_earlier_version_admits_turns_though_it_compares_nothing():
    """Rolling upgrade: such a primary ignores the version, and its reply carries none."""
    tier = settled_tier()
    deliver = tier.world.deliver

    def strip(source: str, target: str, message: Message) -> None:
        if isinstance(message, Call) and isinstance(message.body, AdmitTurn):
            body = msgspec.structs.replace(message.body, configuration=msgspec.UNSET)
            message = msgspec.structs.replace(message, body=body)
        deliver(source, target, message)

    tier.world.deliver = strip
    assert wait_for_end(tier, turn(tier, "t1", tier.relay_hosts[0], path="/kept/stream")) == 200


# Without a proof -----------------------------------------------------------------------------------------


def isolated_relay(tier: SimulatedTier) -> RelayService:
    """Cut the first relay off until it counts as isolated."""
    relay = tier.relays[tier.relay_hosts[0]]
    partition_from_members(tier, tier.relay_hosts[0], *tier.relay_hosts[1:])
    assert tier.world.run_until(lambda: relay.isolated, 5.0)
    return relay


def test_an_isolated_relay_answers_an_unknown_route_503_and_serves_calls_on_known_ones():
    tier = settled_tier()
    isolated_relay(tier)
    refused = tier.request("/nowhere/")
    assert refused.status == 503 and float(refused.head.text(b"retry-after")) > 0
    assert tier.request("/look/1").status == 200
    assert tier.request("/open/stream", program="p").status == 200


def test_a_body_beyond_the_limit_is_503_at_an_isolated_relay_and_413_in_touch():
    tier = settled_tier()
    large = b"x" * 200_000
    assert tier.request("/look/1", body=large).status == 413
    isolated_relay(tier)
    assert tier.request("/look/1", body=large).status == 503


def test_an_isolated_relay_that_wakes_closes_the_connection_of_its_first_response():
    """Regression: only a timer, which the freeze had stopped too, told responses to close their connections."""
    tier = settled_tier()
    tier.world.wake_random = Random(1)
    frozen = tier.relay_hosts[0]
    freeze(tier, frozen, 4.0)
    tier.world.run(tier.world.time + 0.5)
    partition_from_members(tier, frozen, *tier.relay_hosts[1:])
    answer = tier.request("/nowhere/")
    assert answer.status == 503
    assert answer.head.get(b"connection") == b"close"
