"""The tier's own checkers: histories find nothing, mistakes put in are found, and small parts by themselves."""

import msgspec
import pytest

from lab.tier import mutations
from lab.tier.histories import History
from lab.tier.simulated_tier import SimulatedTier
from lab.tier.world import World
from lynxscale.controlplane.configuration_check import check_configuration
from lynxscale.controlplane.configuration_update import apply_update, check_update
from lynxscale.coordination.acceptor import Acceptor
from lynxscale.coordination.acceptor_state import AcceptorState, AcceptorStateFile, MemberIdentity
from lynxscale.coordination.messages import (
    EpochRecord,
    LeaseRequest,
    Position,
    Prepare,
    PrepareRejected,
    Promise,
)
from lynxscale.discovery.topics import ENDPOINT_SHARD_PREFIX, shard_count


@pytest.mark.parametrize("seed", range(1, 41))
def test_a_drawn_history_breaks_no_rule(seed):
    assert not History(seed).play(), seed


QUICKLY_FOUND = (
    "lease_is_never_checked",
    "settled_at_nothing",
    "chain_lacks_its_oldest",
    "cached_history_is_taken_for_any_chain",
    "unsafe_call_is_sent_again",
    "leaving_member_goes_at_once",
    "one_copy_is_left",
    "vote_goes_and_copy_stays",
    "resend_is_judged_by_its_number",
    "resend_is_refused",
    "update_goes_by_any_version",
    "refusal_rests_on_what_is_undecided",
    "snapshot_is_mixed_of_two",
    "batches_between_parts_are_lost",
    "given_up_dial_was_not_sent",
    "nameless_answer_is_the_own",
    "any_refusal_is_the_own",
)


@pytest.mark.parametrize(
    "mistake", [one for one in mutations.ALL if one.name in QUICKLY_FOUND], ids=lambda one: one.name
)
def test_a_mistake_put_in_is_found(mistake):
    """All of them, within more histories: python -m lab.tier.mutations."""
    assert mutations.detect(mistake, most=20)


def test_a_witness_promises_nobody_else_while_its_lease_may_run():
    world = World(4)
    machine = world.machine("a:1")
    clock = machine.clock()
    record = EpochRecord(3, "b#0", ("b#0",), ("a#0", "b#0", "c#0"))
    register = AcceptorStateFile(MemberIdentity("a:1", True, ("a:1",)), machine.files, world.random)
    register.save(AcceptorState("a#0", record))
    witness = Acceptor(register, clock, 0.4)
    start = Position(0, 0)
    assert witness.grant(LeaseRequest(record, 1))
    assert isinstance(witness.prepare(Prepare(4, "c#0"), start), PrepareRejected)
    assert isinstance(witness.prepare(Prepare(4, "b#0"), start), Promise)
    # Its holder asks for its own next epoch: the lease goes on. Nobody else gets a promise or a lease meanwhile.
    assert witness.grant(LeaseRequest(record, 2))
    assert isinstance(witness.prepare(Prepare(5, "c#0"), start), PrepareRejected)
    assert not witness.grant(LeaseRequest(EpochRecord(3, "c#0", ("c#0",), record.voters), 1))
    restarted = Acceptor(AcceptorStateFile(MemberIdentity("a:1", False, ()), machine.files, world.random), clock, 0.4)
    assert isinstance(restarted.prepare(Prepare(5, "c#0"), start), PrepareRejected)
    world.run(world.time + 0.41)
    assert isinstance(restarted.prepare(Prepare(5, "c#0"), start), Promise)
    assert restarted.accept(EpochRecord(4, "b#0", ("b#0",), ("a#0", "b#0", "c#0"))) is None


def test_a_long_list_goes_in_parts_and_a_change_costs_one():
    one = SimulatedTier(World(6)).start_serving()
    template = one.platform.listed[0]
    for number in range(350):
        one.platform.listed.append(msgspec.structs.replace(template, id=f"x{number}", address=f"10.9.0.{number}:1"))
    one.world.run(one.world.time + 2.0)
    relay = one.relays[one.relay_hosts[0]]
    assert len(relay.balancer.states) == 354
    before = dict(relay.tree.publisher.versions())
    assert sum(name.startswith(ENDPOINT_SHARD_PREFIX) for name in before) == shard_count(354) == 4
    del one.platform.listed[-1]
    one.world.run(one.world.time + 2.0)
    assert len(relay.balancer.states) == 353
    changed = [name for name, version in relay.tree.publisher.versions().items() if before.get(name) != version]
    assert len(changed) == 1


@pytest.mark.parametrize(
    ("body", "places"),
    [
        (b'{"generation":1,"routes":[', ["body"]),
        (b"[]", ["body"]),
        (b"{}", ["generation", "routes", "services"]),
        (b'{"generation":"x","routes":[7],"services":[{}]}', ["generation", "services[0].name", "routes[0]"]),
    ],
)
def test_what_cannot_be_read_is_told_by_place(body, places):
    assert [finding.path for finding in check_configuration(body).failure()] == places


def test_weights_that_sum_to_nothing_and_unknown_services_are_found():
    route = {"name": "r", "host": "h", "path-prefix": "/", "route-type": "safe", "timeout-ms": 5}
    split = [{"backend": "a", "weight": 0}, {"backend": "b", "weight": 0}]
    table = {"generation": 2, "routes": [route | {"weighted-backends": split}], "services": [{"name": "a"}]}
    findings = [str(finding) for finding in check_configuration(msgspec.json.encode(table)).failure()]
    assert findings == [
        "routes[0].weighted-backends[1].backend: no service 'b'",
        "routes[0].weighted-backends: the weights sum to 0",
    ]


@pytest.mark.parametrize(
    ("body", "places"),
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
def test_what_is_wrong_with_an_update_is_told_by_place(body, places):
    assert [finding.path for finding in check_update(body).failure()] == places


def test_an_update_changes_only_what_it_names_and_its_outcome_is_checked_whole():
    route = {"name": "r", "host": "h", "path-prefix": "/", "route-type": "safe", "timeout-ms": 5, "backend": "a"}
    other = route | {"name": "o", "path-prefix": "/o/"}
    limits = {"idle-timeout-ms": 9}
    table = {"generation": 2, "routes": [route, other], "services": [{"name": "a"}], "limits": limits}

    def outcome(**parts):
        return check_update(msgspec.json.encode({"generation": 5} | parts)).bind(lambda one: apply_update(table, one))

    changed, added = route | {"timeout-ms": 7.5}, route | {"name": "n", "path-prefix": "/n/"}
    whole = outcome(upsert={"routes": [added, changed]}, remove={"routes": ["o"]}).unwrap()
    assert whole == {"generation": 5, "routes": [changed, added], "services": [{"name": "a"}], "limits": limits}
    refused = {
        "remove.routes[0]": outcome(remove={"routes": ["nobody"]}),
        "result.routes[0].backend": outcome(remove={"services": ["a"]}),
        "result.routes[2]": outcome(upsert={"routes": [added | {"path-prefix": "/o/"}]}),
        "result.routes[0].timeout-ms": outcome(upsert={"routes": [route | {"timeout-ms": 0}]}),
    }
    assert {place: answer.failure()[0].path for place, answer in refused.items()} == {place: place for place in refused}


def test_an_update_never_drops_one_of_two_items_with_one_name_in_silence():
    """Configurations may hold such items: they are told apart by place."""
    route = {"name": "r", "host": "h", "path-prefix": "/", "route-type": "safe", "timeout-ms": 5, "backend": "a"}
    twin = route | {"path-prefix": "/twin/"}
    table = {"generation": 2, "routes": [route, twin], "services": [{"name": "a"}]}
    other = {"generation": 3, "upsert": {"services": [{"name": "b"}]}}
    assert apply_update(table, other).unwrap()["routes"] == [route, twin]
    both = apply_update(table, {"generation": 3, "upsert": {"routes": [route | {"timeout-ms": 9}]}})
    assert [finding.path for finding in both.failure()] == ["result.routes[1]"]
    assert apply_update(table, {"generation": 3, "remove": {"routes": ["r"]}}).unwrap()["routes"] == []
